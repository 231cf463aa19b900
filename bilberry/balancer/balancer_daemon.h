// The balancer process: runs a BalancerCore with its sockets and threads.

#ifndef BILBERRY_BALANCER_BALANCER_DAEMON_H
#define BILBERRY_BALANCER_BALANCER_DAEMON_H

#include "bilberry/base/error.h"
#include "bilberry/settings/process_settings.h"

#include <chrono>
#include <memory>

namespace bilberry::balancer {

/// Not thread-safe: call from one thread only.
class BalancerDaemon {
public:
  explicit BalancerDaemon(const settings::ProcessSettings &Settings);
  /// Stops at once.
  ~BalancerDaemon();
  BalancerDaemon(const BalancerDaemon &) = delete;
  BalancerDaemon &operator=(const BalancerDaemon &) = delete;

  /// Opens the sockets and starts forwarding. Errors: System.
  base::Result<void> start();

  /// Withdraws this balancer's announcement from the store. It continues to
  /// forward, since the fabric may still send packets to it for a while.
  void leave();

  /// Time since the last caller's datagram was received, or since the start.
  base::Duration timeSinceLastDatagram() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace bilberry::balancer

#endif
