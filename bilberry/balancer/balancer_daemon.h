// The balancer as a process: sockets and threads around a BalancerCore.

#ifndef BILBERRY_BALANCER_BALANCER_DAEMON_H
#define BILBERRY_BALANCER_BALANCER_DAEMON_H

#include "bilberry/base/error.h"
#include "bilberry/settings/process_settings.h"

#include <chrono>
#include <memory>

namespace bilberry::balancer {

/// Not thread-safe: one thread owns it.
class BalancerDaemon {
public:
  explicit BalancerDaemon(const settings::ProcessSettings &Settings);
  /// Stops at once.
  ~BalancerDaemon();
  BalancerDaemon(const BalancerDaemon &) = delete;
  BalancerDaemon &operator=(const BalancerDaemon &) = delete;

  /// Opens the sockets and begins to serve. Errors: System.
  base::Result<void> start();

  /// Tells the store that this process leaves. It goes on forwarding, since
  /// the fabric may send to it for a while yet.
  void leave();

  /// How long no caller's datagram has come.
  base::Duration quietFor() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace bilberry::balancer

#endif
