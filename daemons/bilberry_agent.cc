// bilberry-agent: the agent process that runs next to one upstream.
//
//   SIGTERM, SIGINT  drain: accept no new work, finish the work in progress,
//                    then exit; a second signal exits at once and logs the
//                    interrupted work
//   SIGHUP           restart: send the state to peers for the next run, then
//                    exit

#include "bilberry/agent/agent_daemon.h"
#include "bilberry/log/log.h"
#include "bilberry/runtime/signals.h"
#include "bilberry/settings/daemon_options.h"

#include <iostream>

using namespace bilberry;

namespace {

// How long a restart waits for requests in progress. Requests that haven't
// ended by then are handed over as possibly executed.
constexpr std::chrono::seconds MaxRestartWait(10);

// Blocks until draining is complete or a second signal arrives.
void drainUntilDone(agent::AgentDaemon &Daemon) {
  log::info("event=draining remaining=\"" + Daemon.remaining().text() + "\"");
  Daemon.drain();
  while (!Daemon.remaining().none()) {
    if (runtime::waitForSignal(runtime::SignalPollInterval)) {
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
    if (runtime::waitForSignal(runtime::SignalPollInterval)) {
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
  settings::DaemonOptionsResult Start = settings::parseDaemonOptions(
      Argc, Argv, members::MemberRole::Agent, std::cout, std::cerr);
  if (const auto *Now = std::get_if<settings::ExitNow>(&Start)) {
    return Now->Code;
  }
  const auto &Settings = std::get<settings::ProcessSettings>(Start);
  runtime::blockSignals();
  log::configure(Settings.Name.text(), Settings.LogLevel, Settings.LogLayout);

  agent::AgentDaemon Daemon(Settings);
  if (base::Result<void> Started = Daemon.start(); !Started) {
    log::error("event=start-failed reason=\"" + Started.error().Message + "\"");
    return settings::ExitFailure;
  }
  std::optional<runtime::StopSignal> Signal;
  while (!Signal) {
    Signal = runtime::waitForSignal(runtime::SignalPollInterval);
  }
  if (*Signal == runtime::StopSignal::Restart) {
    restart(Daemon);
    return settings::ExitSuccess;
  }
  drainUntilDone(Daemon);
  Daemon.leave();
  return settings::ExitSuccess;
}
