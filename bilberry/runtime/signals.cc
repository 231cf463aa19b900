#include "bilberry/runtime/signals.h"

#include <csignal>
#include <ctime>

namespace bilberry::runtime {

static sigset_t stopSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  sigaddset(&Set, SIGHUP);
  return Set;
}

void blockSignals() {
  sigset_t Set = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

std::optional<StopSignal> awaitSignal(std::chrono::milliseconds Timeout) {
  sigset_t Set = stopSignals();
  auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Timeout);
  std::chrono::nanoseconds Rest = Timeout - Seconds;
  timespec Limit = {Seconds.count(), Rest.count()};
  int Number = sigtimedwait(&Set, nullptr, &Limit);
  if (Number < 0) {
    return std::nullopt;
  }
  return Number == SIGHUP ? StopSignal::Restart : StopSignal::Stop;
}

} // namespace bilberry::runtime
