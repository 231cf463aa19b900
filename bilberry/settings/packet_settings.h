// The settings of the processes that relay packets: bilberry-packet-balancer
// and bilberry-packet-agent. Read at start, and anew at SIGHUP.

#ifndef BILBERRY_SETTINGS_PACKET_SETTINGS_H
#define BILBERRY_SETTINGS_PACKET_SETTINGS_H

#include "bilberry/admission/opening_gate.h"
#include "bilberry/members/member.h"
#include "bilberry/settings/process_settings.h"

#include <string>
#include <string_view>

namespace bilberry::settings {

/// A plain value.
struct PacketSettings {
  base::MemberName Name;
  base::DataCentreName DataCentre;
  /// This machine's address.
  uint32_t Ip = 0;
  /// UDP: callers' packets, from callers or from balancers. Callers take
  /// theirs on the same port.
  base::Address Callers;
  /// HTTP: whether this process is ready.
  base::Address Health;
  /// The first of two UDP ports for our own processes; the same TCP port
  /// serves the metrics.
  uint16_t FirstPort = 0;
  /// HTTP: the upstream's heartbeats. Port 0 for a balancer, as all below.
  base::Address Heartbeats;
  /// UDP: the upstream's packets.
  base::Address FromUpstream;
  base::Address Upstream;
  /// The service that the upstream belongs to before it says so itself.
  base::ServiceName Service;
  admission::ColdAllowance Cold;
  /// Flows that a balancer remembers.
  size_t MaxFlows = 300000;
  StoreSettings Store;
  LogSettings Log;

  /// UDP: messages between our processes.
  base::Address messages() const { return {this->Ip, this->FirstPort}; }
  /// UDP: a balancer's packets to agents, and back.
  base::Address relay() const {
    return {this->Ip, static_cast<uint16_t>(this->FirstPort + 1)};
  }
  /// HTTP: metrics, and the operators' documents for peers.
  base::Address pages() const { return {this->Ip, this->FirstPort}; }
};

/// Reads settings from text. Every finding is added to Problems; the result is
/// of use only where it stays empty. Thread-safe.
PacketSettings parsePacketSettings(std::string_view Text,
                                   const std::string &File,
                                   members::MemberRole Role,
                                   base::Findings &Problems);

/// The same of a file. A file that can't be read is a finding too.
PacketSettings loadPacketSettings(const std::string &Path,
                                  members::MemberRole Role,
                                  base::Findings &Problems);

} // namespace bilberry::settings

#endif
