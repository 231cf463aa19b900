// Settings file of bilberry-balancer and bilberry-agent: name, data centre,
// listen addresses, and the addresses of the store and the upstream. Read once,
// at startup.

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

/// Settings of one daemon. A plain value.
struct ProcessSettings {
  base::MemberName Name;
  base::DataCentreName DataCentre;
  /// The service of the agent's upstream; empty for a balancer.
  base::ServiceName Service;
  /// UDP: packets from callers.
  base::Address Data;
  /// nng over TCP: messages between bilberry processes.
  base::Address Control;
  /// HTTP: metrics and status. Not served if empty.
  std::optional<base::Address> Metrics;
  /// Number of threads in the worker pool.
  unsigned Workers = 2;
  /// Capacity of a balancer's flow cache.
  size_t CacheFlows = 300000;
  base::Address Store;
  /// Maximum duration of one call to the store.
  base::Duration StoreTimeout = DefaultStoreTimeout;
  /// Port 0 for a balancer, which has no upstream.
  base::Address Upstream;
  /// Control addresses of other processes, queried for targets and members if
  /// the store is unavailable at startup.
  std::vector<base::Address> Seeds;
  log::Level LogLevel = log::Level::Info;
  log::Layout LogLayout = log::Layout::Text;
};

/// Parses the settings of a process with this role. Every finding is added to
/// Problems; the result is valid only if there are none. Thread-safe.
ProcessSettings parseProcessSettings(std::string_view Text,
                                     const std::string &File,
                                     members::MemberRole Role,
                                     base::Findings &Problems);

/// Settings of the store client. A plain value.
struct StoreSettings {
  base::Address Address;
  /// Maximum duration of one call to the store.
  base::Duration Timeout = DefaultStoreTimeout;
};

/// Reads the [store] section. Thread-safe, like all functions below.
StoreSettings readStoreSection(const IniDocument &Document,
                               base::Findings &Problems);

/// Settings of the log. A plain value.
struct LogSettings {
  log::Level Level = log::Level::Info;
  log::Layout Layout = log::Layout::Text;
};

/// Reads the [log] section.
LogSettings readLogSection(const IniDocument &Document,
                           base::Findings &Problems);

/// Reports every section whose name is not in Known.
void checkSections(const IniDocument &Document,
                   std::span<const std::string_view> Known,
                   base::Findings &Problems);

/// Parses an IP:PORT address to listen on or connect to. Errors: Malformed;
/// OutOfRange for port 0.
base::Result<base::Address> parseNonZeroPortAddress(std::string_view Text);

/// Reads only the [store] section and ignores all others, for a tool that is
/// given the settings file of another process.
StoreSettings parseStoreSettings(std::string_view Text, const std::string &File,
                                 base::Findings &Problems);

/// Calls parseProcessSettings on the contents of a file. An unreadable file is
/// also reported in Problems.
ProcessSettings loadProcessSettings(const std::string &Path,
                                    members::MemberRole Role,
                                    base::Findings &Problems);

} // namespace bilberry::settings

#endif
