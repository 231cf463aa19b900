// bilberry-packet-agent: relays packets for the upstream on the same VM, on the
// users' platform.
//
//   SIGTERM, SIGINT  publish the open flows to the balancers, relay until a
//                    draining upstream has left, then exit
//   SIGHUP           reload the settings file

#include "bilberry/agent/packet_agent_process.h"
#include "platform/http_endpoints.h"
#include "platform/kv_store.h"
#include "platform/operator_documents.h"
#include "platform/packet_header.h"
#include "platform/packet_program.h"

using namespace bilberry;

int main(int Argc, char **Argv) {
  platform::PacketProgram PacketProgram("bilberry-packet-agent",
                                        members::MemberRole::Agent);
  if (std::optional<int> Code = PacketProgram.initialize(Argc, Argv)) {
    return *Code;
  }
  const settings::PacketSettings &Settings = PacketProgram.settings();
  platform::KvStore Store(Settings.Store.Address);
  agent::PacketAgentProcess<platform::PacketHeader, platform::KvStore> Agent(
      Settings, Store,
      {platform::OperatorKeyPrefix, platform::documentFormat()});
  if (base::Result<void> Started = Agent.start(); !Started) {
    return PacketProgram.logStartFailure(Started.error());
  }
  platform::HttpEndpoints Heartbeats;
  Heartbeats.serveHeartbeats(
      [&Agent](const members::UpstreamHeartbeat &Report) {
        return Agent.onReport(Report);
      },
      [&Agent](const std::string &Id) { return Agent.onLeave(Id); },
      [&Agent](const std::string &Reason) {
        Agent.onMalformedHeartbeat(Reason);
      });
  platform::HttpEndpoints Health;
  Health.serveHealth([] { return true; });
  for (auto [Server, At] : {std::pair(&Heartbeats, Settings.Heartbeats),
                            std::pair(&Health, Settings.Health)}) {
    if (base::Result<void> Started = Server->start(At); !Started) {
      return PacketProgram.logStartFailure(Started.error());
    }
  }
  Agent.run([&PacketProgram] { PacketProgram.reload(); });
  PacketProgram.exitImmediately();
}
