// Parses the command line of bilberryctl.

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

/// The command as written on the command line, for example "data-centre out".
/// Never fails. Thread-safe.
std::string_view commandText(Command Kind);

/// The parsed command line. A plain value.
struct ControlOptions {
  bool IsHelp = false;
  bool IsVersion = false;
  Command Kind = Command::Status;
  /// The file, data centre or change id given with the command.
  std::string Operand;
  /// Unset for a command that needs no store.
  std::optional<base::Address> Store;
  base::Duration StoreTimeout = std::chrono::seconds(1);
  /// How long to wait for the change to be in force; unset means no wait.
  std::optional<base::Duration> WaitTimeout;
  bool IsJson = false;
  std::string Author;
  /// Empty if the program is to generate one.
  std::string ChangeId;
  /// For apply, the revision that the document is based on. For change, the
  /// revision that the change would have if it was accepted.
  std::optional<base::Revision> Revision;
  /// The kinds of unsafe change that are allowed.
  std::set<targets::UnsafeKind> ForcedKinds;
};

/// Parses the command line and, with --settings, reads the address of the
/// store. Login is the default author. Every finding is added to Problems.
/// Precondition: called from one thread only, since getopt_long keeps state.
ControlOptions parseControlOptions(int Argc, char **Argv,
                                   const std::string &Login,
                                   base::Findings &Problems);

/// The text that --help prints. Thread-safe.
std::string_view controlHelp();

} // namespace bilberry::control

#endif
