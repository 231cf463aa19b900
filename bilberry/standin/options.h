// Command lines of the stand-ins: long options with a value, by getopt_long.

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

/// One option. Read returns false for a value that it can't take.
struct Option {
  std::string Name;
  /// What the value stands for in the usage text; empty for a flag.
  std::string Value;
  std::string Help;
  std::function<bool(const std::string &)> Read;
};

/// Read a value into Target. The options refer to Target until they are gone.
Option numberOption(std::string Name, std::string Help, uint32_t &Target);
Option millisecondsOption(std::string Name, std::string Help,
                          base::Duration &Target);
Option secondsOption(std::string Name, std::string Help,
                     base::Duration &Target);
Option textOption(std::string Name, std::string Help, std::string &Target);
Option addressOption(std::string Name, std::string Help, base::Address &Target);
Option flagOption(std::string Name, std::string Help, bool &Target);

/// "--service NAME=IP:PORT", which may be repeated; each is given to Add.
Option serviceOption(std::string Help,
                     std::function<void(base::ServiceName, base::Address)> Add);

/// Reads the command line. False after printing what is wrong, or the usage
/// for --help, to stderr; the program then ends with status 2. Not
/// thread-safe: getopt_long keeps state.
bool readOptions(int Count, char **Arguments,
                 const std::vector<Option> &Options);

/// SIGTERM and SIGINT set a flag from now on, and SIGPIPE is ignored.
void catchStopSignals();
/// True once a stop signal has come. Thread-safe.
bool isStopRequested();

} // namespace bilberry::standin

#endif
