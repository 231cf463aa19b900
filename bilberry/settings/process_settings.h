// What a daemon learns from its settings file: its name, its data centre, its
// addresses, and where the store and its upstream are. Read once, at start.

#ifndef BILBERRY_SETTINGS_PROCESS_SETTINGS_H
#define BILBERRY_SETTINGS_PROCESS_SETTINGS_H

#include "bilberry/base/address.h"
#include "bilberry/base/clock.h"
#include "bilberry/base/error.h"
#include "bilberry/base/name.h"
#include "bilberry/log/log_options.h"
#include "bilberry/members/member.h"
#include "bilberry/settings/ini_document.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::settings {

inline constexpr base::Duration DefaultStoreTimeout = std::chrono::seconds(1);

/// A plain value.
struct ProcessSettings {
  base::MemberName Name;
  base::DataCentreName DataCentre;
  /// The service of the agent's upstream; empty for a balancer.
  base::ServiceName Service;
  /// UDP: callers' packets.
  base::Address Data;
  /// nng over TCP: messages between our processes.
  base::Address Control;
  /// HTTP.
  std::optional<base::Address> Metrics;
  /// Threads of the worker pool.
  unsigned Workers = 2;
  /// Flows that a balancer's cache holds.
  size_t CacheFlows = 300000;
  base::Address Store;
  /// How long one call to the store may take.
  base::Duration StoreTimeout = DefaultStoreTimeout;
  /// Port 0 for a balancer.
  base::Address Upstream;
  /// Control addresses of other processes, asked for targets and members
  /// where the store is down at start.
  std::vector<base::Address> Seeds;
  log::Level LogLevel = log::Level::Info;
  log::Layout LogLayout = log::Layout::Text;
};

/// Reads the settings of a process of that role from text. Every finding is
/// added to Problems; the result is of use only where it stays empty.
/// Thread-safe.
ProcessSettings parseProcessSettings(std::string_view Text,
                                     const std::string &File,
                                     members::MemberRole Role,
                                     base::Findings &Problems);

/// Where the store is. A plain value.
struct StoreSettings {
  base::Address Address;
  /// How long one call to the store may take.
  base::Duration Timeout = DefaultStoreTimeout;
};

/// Reads the [store] section. Thread-safe, as the readers below.
StoreSettings readStoreSection(const IniDocument &Document,
                               base::Findings &Problems);

/// How to log. A plain value.
struct LogSettings {
  log::Level Level = log::Level::Info;
  log::Layout Layout = log::Layout::Text;
};

/// Reads the [log] section.
LogSettings readLogSection(const IniDocument &Document,
                           base::Findings &Problems);

/// Reports every section that isn't one of Known.
void checkSections(const IniDocument &Document,
                   std::span<const std::string_view> Known,
                   base::Findings &Problems);

/// An address that a process can listen on or call. Errors: Malformed;
/// OutOfRange for port 0.
base::Result<base::Address> parsePort(std::string_view Text);

/// Reads the [store] section alone, whatever else stands in the text, for a
/// tool that is given the settings of another process. Thread-safe.
StoreSettings parseStoreSettings(std::string_view Text, const std::string &File,
                                 base::Findings &Problems);

/// parseProcessSettings() of a file. A file that can't be read is a finding
/// too.
ProcessSettings loadProcessSettings(const std::string &Path,
                                    members::MemberRole Role,
                                    base::Findings &Problems);

} // namespace bilberry::settings

#endif
