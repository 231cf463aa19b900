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
#include "platform/packet_header.h"
#include "platform/packet_program.h"

using namespace bilberry;

int main(int Argc, char **Argv) {
  platform::PacketProgram PacketProgram("bilberry-packet-balancer",
                                        members::MemberRole::Balancer);
  if (std::optional<int> Code = PacketProgram.initialize(Argc, Argv)) {
    return *Code;
  }
  const settings::PacketSettings &Settings = PacketProgram.settings();
  platform::KvStore Store(Settings.Store.Address);
  balancer::PacketBalancer<platform::PacketHeader, platform::KvStore> Balancer(
      Settings, Store,
      {platform::OperatorKeyPrefix, platform::documentFormat()});
  if (base::Result<void> Started = Balancer.start(); !Started) {
    return PacketProgram.logStartFailure(Started.error());
  }
  platform::HttpEndpoints Health;
  Health.serveHealth([&Balancer] { return Balancer.isReady(); });
  if (base::Result<void> Started = Health.start(Settings.Health); !Started) {
    return PacketProgram.logStartFailure(Started.error());
  }
  Balancer.run([&PacketProgram] { PacketProgram.reload(); });
  PacketProgram.exitImmediately();
}
