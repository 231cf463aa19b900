// The signals by which a daemon is asked to stop, taken by one thread.

#ifndef BILBERRY_RUNTIME_SIGNALS_H
#define BILBERRY_RUNTIME_SIGNALS_H

#include <chrono>
#include <cstdint>
#include <optional>

namespace bilberry::runtime {

enum class StopSignal : uint8_t {
  /// SIGTERM or SIGINT: finish, then leave.
  Stop,
  /// SIGHUP: hand over to the next run of the same process.
  Restart,
};

/// How often a main thread that also waits for something else looks up.
inline constexpr std::chrono::milliseconds SignalPollInterval(50);

/// Blocks the stop signals, and ignores SIGPIPE. Call before any thread is
/// started, so that every thread inherits it.
void blockSignals();

/// Waits for a stop signal. Empty where none has come within Timeout.
/// Precondition: blockSignals was called.
std::optional<StopSignal> awaitSignal(std::chrono::milliseconds Timeout);

} // namespace bilberry::runtime

#endif
