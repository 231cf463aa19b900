// bilberry-balancer: the process on an entry VM.
//
//   SIGTERM, SIGINT, SIGHUP  leave the member list, go on forwarding until the
//                            fabric sends nothing more, end; a second signal
//                            ends at once

#include "bilberry/balancer/balancer_daemon.h"
#include "bilberry/log/log.h"
#include "bilberry/runtime/signals.h"
#include "bilberry/settings/options.h"

#include <iostream>

using namespace bilberry;

namespace {

// Without a datagram for this long, the fabric no longer sends to us.
constexpr std::chrono::seconds QuietBeforeEnd(1);
// A fabric that never stops sending doesn't keep a balancer for ever: callers
// send again what is lost when it ends.
constexpr std::chrono::seconds MaxDrain(30);

void forwardUntilQuiet(balancer::BalancerDaemon &Daemon) {
  std::chrono::milliseconds Waited(0);
  while (Daemon.quietFor() < QuietBeforeEnd) {
    if (Waited >= MaxDrain ||
        runtime::awaitSignal(runtime::SignalPollInterval)) {
      log::warn("event=stopped-early reason=\"the fabric still sends\"");
      return;
    }
    Waited += runtime::SignalPollInterval;
  }
  log::info("event=drained");
}

} // namespace

int main(int Argc, char **Argv) {
  settings::DaemonStart Start = settings::parseDaemonOptions(
      Argc, Argv, members::MemberRole::Balancer, std::cout, std::cerr);
  if (const auto *Now = std::get_if<settings::ExitNow>(&Start)) {
    return Now->Code;
  }
  const auto &Settings = std::get<settings::ProcessSettings>(Start);
  runtime::blockSignals();
  log::configure(Settings.Name.text(), Settings.LogLevel, Settings.LogLayout);

  balancer::BalancerDaemon Daemon(Settings);
  if (base::Result<void> Started = Daemon.start(); !Started) {
    std::cerr << "bilberry-balancer: " << Started.error().Message << "\n";
    return settings::ExitFailure;
  }
  while (!runtime::awaitSignal(runtime::SignalPollInterval)) {
  }
  log::info("event=draining");
  Daemon.leave();
  forwardUntilQuiet(Daemon);
  return settings::ExitSuccess;
}
