// The command line of bilberryctl.

#ifndef BILBERRY_CONTROL_CONTROL_OPTIONS_H
#define BILBERRY_CONTROL_CONTROL_OPTIONS_H

#include "bilberry/base/address.h"
#include "bilberry/base/clock.h"
#include "bilberry/base/error.h"
#include "bilberry/base/ids.h"
#include "bilberry/targets/change_safety.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace bilberry::control {

enum class Command : uint8_t {
  Check,
  Show,
  Diff,
  Apply,
  DataCentreOut,
  DataCentreIn,
  Status,
  Change,
};

/// The command's words, as "data-centre out". Never fails.
std::string_view commandText(Command Kind);

struct ControlOptions {
  bool IsHelp = false;
  bool IsVersion = false;
  Command Kind = Command::Status;
  /// The file, data centre or change id that the command names.
  std::string Operand;
  /// Unset for a command that needs no store.
  std::optional<base::Address> Store;
  base::Duration StoreTimeout = std::chrono::seconds(1);
  /// How long to wait until the change is in force.
  std::optional<base::Duration> Wait;
  bool IsJson = false;
  std::string Author;
  /// Empty where one is to be drawn.
  std::string ChangeId;
  /// The revision that the document was made from, or that the change in
  /// question was to become.
  std::optional<base::Revision> Revision;
  std::set<targets::UnsafeKind> Forced;
};

/// Reads the command line and, with --settings, the address of the store.
/// Login is the author where none is named. Every finding is added to
/// Problems. Precondition: called from one thread only, since getopt_long
/// keeps state.
ControlOptions parseControlOptions(int Argc, char **Argv,
                                   const std::string &Login,
                                   base::Findings &Problems);

/// What --help prints.
std::string_view controlHelp();

} // namespace bilberry::control

#endif
