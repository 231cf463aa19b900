// bilberry-agent: the process beside one upstream.
//
//   SIGTERM, SIGINT  take no new work, finish what is carried, leave; a second
//                    one ends at once and says what was cut
//   SIGHUP           restart: leave the flows with peers for the next run

#include "bilberry/agent/agent_daemon.h"
#include "bilberry/log/log.h"
#include "bilberry/runtime/signals.h"
#include "bilberry/settings/options.h"

#include <iostream>

using namespace bilberry;

namespace {

// Requests in hand are waited for this long before a restart; what has not
// ended by then is handed over as possibly run.
constexpr std::chrono::seconds MaxRestartWait(10);

// Returns when draining is done, or at the second signal.
void drainUntilDone(agent::AgentDaemon &Daemon) {
  log::info("event=draining remaining=\"" + Daemon.remaining().text() + "\"");
  Daemon.drain();
  while (!Daemon.remaining().none()) {
    if (runtime::awaitSignal(runtime::SignalPollInterval)) {
      log::warn("event=stopped-early cut=\"" + Daemon.remaining().text() +
                "\"");
      return;
    }
  }
  log::info("event=drained cut=\"" + Daemon.remaining().text() + "\"");
}

void restart(agent::AgentDaemon &Daemon) {
  log::info("event=restarting remaining=\"" + Daemon.remaining().text() + "\"");
  Daemon.drain();
  std::chrono::milliseconds Waited(0);
  while (Daemon.remaining().Requests > 0 && Waited < MaxRestartWait) {
    if (runtime::awaitSignal(runtime::SignalPollInterval)) {
      break;
    }
    Waited += runtime::SignalPollInterval;
  }
  if (Daemon.handOver()) {
    log::info("event=handed-over remaining=\"" + Daemon.remaining().text() +
              "\"");
  } else {
    log::error("event=hand-over-failed cut=\"" + Daemon.remaining().text() +
               "\"");
  }
}

} // namespace

int main(int Argc, char **Argv) {
  settings::DaemonStart Start = settings::parseDaemonOptions(
      Argc, Argv, members::MemberRole::Agent, std::cout, std::cerr);
  if (const auto *Now = std::get_if<settings::ExitNow>(&Start)) {
    return Now->Code;
  }
  const auto &Settings = std::get<settings::ProcessSettings>(Start);
  runtime::blockSignals();
  log::configure(Settings.Name.text(), Settings.LogLevel, Settings.LogLayout);

  agent::AgentDaemon Daemon(Settings);
  if (base::Result<void> Started = Daemon.start(); !Started) {
    std::cerr << "bilberry-agent: " << Started.error().Message << "\n";
    return settings::ExitFailure;
  }
  std::optional<runtime::StopSignal> Signal;
  while (!Signal) {
    Signal = runtime::awaitSignal(runtime::SignalPollInterval);
  }
  if (*Signal == runtime::StopSignal::Restart) {
    restart(Daemon);
    return settings::ExitSuccess;
  }
  drainUntilDone(Daemon);
  Daemon.leave();
  return settings::ExitSuccess;
}
