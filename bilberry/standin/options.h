// Command-line parsing for the stand-ins: long options and flags, parsed with
// getopt_long.

#ifndef BILBERRY_STANDIN_OPTIONS_H
#define BILBERRY_STANDIN_OPTIONS_H

#include "bilberry/base/address.h"
#include "bilberry/base/clock.h"
#include "bilberry/base/name.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bilberry::standin {

/// One option. Parse stores the value and returns false for an invalid one.
struct Option {
  std::string Name;
  /// Placeholder for the value in the usage text; empty for a flag.
  std::string Placeholder;
  std::string Help;
  std::function<bool(const std::string &)> Parse;
};

/// Options that store their value in Target, which must outlive them.
Option numberOption(std::string Name, std::string Help, uint32_t &Target);
Option millisecondsOption(std::string Name, std::string Help,
                          base::Duration &Target);
Option secondsOption(std::string Name, std::string Help,
                     base::Duration &Target);
Option textOption(std::string Name, std::string Help, std::string &Target);
Option addressOption(std::string Name, std::string Help, base::Address &Target);
Option flagOption(std::string Name, std::string Help, bool &Target);

/// "--service NAME=IP:PORT", which may be repeated; calls Add for each.
Option serviceOption(std::string Help,
                     std::function<void(base::ServiceName, base::Address)> Add);

/// Parses the command line. On an invalid option, prints the error or the usage
/// text to stderr and returns false; --help is handled in the same way. The
/// program should then exit with status 2. Not thread-safe: getopt_long keeps
/// global state.
bool parseOptions(int Count, char **Arguments,
                  const std::vector<Option> &Options);

/// Installs handlers that set a flag on SIGTERM and SIGINT, and ignores
/// SIGPIPE.
void installStopSignalHandlers();
/// True once SIGTERM or SIGINT was received. Thread-safe.
bool isStopRequested();

} // namespace bilberry::standin

#endif
