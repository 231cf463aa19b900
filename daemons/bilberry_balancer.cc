// bilberry-balancer: the balancer process on an entry VM.
//
//   SIGTERM, SIGINT, SIGHUP  withdraw from the member list, forward until the
//                            fabric stops sending, then exit; a second signal
//                            exits at once

#include "bilberry/balancer/balancer_daemon.h"
#include "bilberry/log/log.h"
#include "bilberry/runtime/signals.h"
#include "bilberry/settings/daemon_options.h"

#include <iostream>

using namespace bilberry;

namespace {

// The fabric is taken to have stopped sending after this long without a
// datagram.
constexpr std::chrono::seconds IdleTimeBeforeExit(1);
// The balancer exits after this time even if the fabric keeps sending: callers
// retransmit the packets that are lost then.
constexpr std::chrono::seconds MaxIdleWait(30);

void forwardUntilIdle(balancer::BalancerDaemon &Daemon) {
  std::chrono::milliseconds Waited(0);
  while (Daemon.timeSinceLastDatagram() < IdleTimeBeforeExit) {
    if (Waited >= MaxIdleWait ||
        runtime::waitForSignal(runtime::SignalPollInterval)) {
      log::warn("event=stopped-early reason=\"the fabric still sends\"");
      return;
    }
    Waited += runtime::SignalPollInterval;
  }
  log::info("event=drained");
}

} // namespace

int main(int Argc, char **Argv) {
  settings::DaemonOptionsResult Start = settings::parseDaemonOptions(
      Argc, Argv, members::MemberRole::Balancer, std::cout, std::cerr);
  if (const auto *Now = std::get_if<settings::ExitNow>(&Start)) {
    return Now->Code;
  }
  const auto &Settings = std::get<settings::ProcessSettings>(Start);
  runtime::blockSignals();
  log::configure(Settings.Name.text(), Settings.LogLevel, Settings.LogLayout);

  balancer::BalancerDaemon Daemon(Settings);
  if (base::Result<void> Started = Daemon.start(); !Started) {
    log::error("event=start-failed reason=\"" + Started.error().Message + "\"");
    return settings::ExitFailure;
  }
  while (!runtime::waitForSignal(runtime::SignalPollInterval)) {
  }
  log::info("event=draining");
  Daemon.leave();
  forwardUntilIdle(Daemon);
  return settings::ExitSuccess;
}
