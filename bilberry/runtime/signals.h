// The signals that stop or restart a daemon, handled synchronously by one
// thread.

#ifndef BILBERRY_RUNTIME_SIGNALS_H
#define BILBERRY_RUNTIME_SIGNALS_H

#include <chrono>
#include <cstdint>
#include <optional>

namespace bilberry::runtime {

enum class StopSignal : uint8_t {
  /// SIGTERM or SIGINT: drain, then exit.
  Stop,
  /// SIGHUP: hand over to the next run of the same process, or reload.
  Restart,
};

/// The poll interval of a main thread that also waits for other events.
inline constexpr std::chrono::milliseconds SignalPollInterval(50);

/// Blocks SIGTERM, SIGINT and SIGHUP, and ignores SIGPIPE. Call before any
/// thread is started, so that every thread inherits the mask.
void blockSignals();

/// Waits for one of these signals. Returns nothing if none arrives within
/// Timeout. Precondition: blockSignals() was called.
std::optional<StopSignal> waitForSignal(std::chrono::milliseconds Timeout);

} // namespace bilberry::runtime

#endif
