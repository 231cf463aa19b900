#include "bilberry/runtime/signals.h"

#include <csignal>
#include <ctime>

namespace bilberry::runtime {

static sigset_t handledSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  sigaddset(&Set, SIGHUP);
  return Set;
}

void blockSignals() {
  sigset_t Set = handledSignals();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

std::optional<StopSignal> waitForSignal(std::chrono::milliseconds Timeout) {
  sigset_t Set = handledSignals();
  auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Timeout);
  std::chrono::nanoseconds SubsecondPart = Timeout - Seconds;
  timespec Limit = {Seconds.count(), SubsecondPart.count()};
  int SignalNumber = sigtimedwait(&Set, nullptr, &Limit);
  if (SignalNumber < 0) {
    return std::nullopt;
  }
  return SignalNumber == SIGHUP ? StopSignal::Restart : StopSignal::Stop;
}

} // namespace bilberry::runtime
