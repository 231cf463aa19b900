// bilberry-packet-balancer: relays callers' packets to the agents, on the
// users' platform.
//
//   SIGTERM, SIGINT  report not ready, forward until the fabric has had time to
//                    stop sending, then exit
//   SIGHUP           reload the settings file

#include "bilberry/balancer/packet_balancer.h"
#include "platform/http_endpoints.h"
#include "platform/kv_store.h"
#include "platform/operator_documents.h"
#include "platform/packet_head.h"
#include "platform/program.h"

using namespace bilberry;

int main(int Argc, char **Argv) {
  platform::Program Program("bilberry-packet-balancer",
                            members::MemberRole::Balancer);
  if (std::optional<int> Code = Program.begin(Argc, Argv)) {
    return *Code;
  }
  const settings::PacketSettings &Settings = Program.settings();
  platform::KvStore Store(Settings.Store.Address, Program.seed());
  balancer::PacketBalancer<platform::PacketHead, platform::KvStore> Balancer(
      Settings, Store, {platform::OperatorPrefix, platform::documentFormat()});
  if (base::Result<void> Started = Balancer.start(); !Started) {
    return Program.fail(Started.error());
  }
  platform::HttpEndpoints Health;
  Health.serveHealth([&Balancer] { return Balancer.isReady(); });
  if (base::Result<void> Started = Health.start(Settings.Health); !Started) {
    return Program.fail(Started.error());
  }
  Balancer.run([&Program] { Program.reload(); });
  Program.end();
}
