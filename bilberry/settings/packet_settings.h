// Settings of the packet-forwarding processes, bilberry-packet-balancer and
// bilberry-packet-agent. Read at startup and again on SIGHUP.

#ifndef BILBERRY_SETTINGS_PACKET_SETTINGS_H
#define BILBERRY_SETTINGS_PACKET_SETTINGS_H

#include "bilberry/admission/new_flow_admission.h"
#include "bilberry/admission/overload_options.h"
#include "bilberry/members/member.h"
#include "bilberry/routing/placement_options.h"
#include "bilberry/settings/process_settings.h"

#include <string>
#include <string_view>

namespace bilberry::settings {

/// Settings of one packet-forwarding process. A plain value.
struct PacketSettings {
  base::MemberName Name;
  base::DataCentreName DataCentre;
  /// IPv4 address of this machine, in host byte order.
  uint32_t Ip = 0;
  /// UDP address for packets from callers, received directly or from a
  /// balancer. Callers receive their packets on the same port.
  base::Address Callers;
  /// Address of the HTTP server that reports the readiness of this process.
  base::Address Health;
  /// First of two consecutive UDP ports for traffic between bilberry
  /// processes. The TCP port of the same number serves the metrics.
  uint16_t FirstPort = 0;
  /// HTTP address for heartbeats from the upstream. For a balancer, this
  /// address, FromUpstream and Upstream have port 0.
  base::Address Heartbeats;
  /// UDP address for packets from the upstream.
  base::Address FromUpstream;
  base::Address Upstream;
  /// Service of the upstream. Heartbeats of another one are ignored.
  base::ServiceName Service;
  /// Limit on new flows per second while the upstream is cold. Factor
  /// multiplies the operators' rate; Tolerance is a number of flows per second
  /// added to it.
  admission::ColdRateLimit Cold;
  /// An agent detects an upstream that alternates between up and down.
  bool DampsFlapping = false;
  /// For balancers.
  routing::PlacementOptions Placement;
  admission::OverloadOptions Overload;
  /// The time from the stop signal until the platform kills the process.
  base::Duration StopGrace = std::chrono::seconds(6);
  /// Capacity of a balancer's flow table.
  size_t MaxFlows = 300000;
  StoreSettings Store;
  LogSettings Log;

  /// UDP: messages between bilberry processes.
  base::Address messageAddress() const { return {this->Ip, this->FirstPort}; }
  /// UDP: packets forwarded between balancers and agents.
  base::Address forwardingAddress() const {
    return {this->Ip, static_cast<uint16_t>(this->FirstPort + 1)};
  }
  /// HTTP: metrics, and the operators' documents for peers to fetch.
  base::Address httpAddress() const { return {this->Ip, this->FirstPort}; }
};

/// Parses settings. Every finding is added to Problems; the result is valid
/// only if there are none. Thread-safe.
PacketSettings parsePacketSettings(std::string_view Text,
                                   const std::string &File,
                                   members::MemberRole Role,
                                   base::Findings &Problems);

/// Calls parsePacketSettings on the contents of a file. An unreadable file is
/// also reported in Problems.
PacketSettings loadPacketSettings(const std::string &Path,
                                  members::MemberRole Role,
                                  base::Findings &Problems);

} // namespace bilberry::settings

#endif
