// The exit codes of bilberryctl, for scripts. docs/BILBERRYCTL.md lists them.

#ifndef BILBERRY_CONTROL_EXIT_CODES_H
#define BILBERRY_CONTROL_EXIT_CODES_H

namespace bilberry::control {

enum class ExitCode : int {
  /// Accepted, in force, or already so.
  Success = 0,
  /// Not accepted: a lost race or an unsafe change.
  Refused = 1,
  /// The command line, the document or a name is wrong.
  BadInput = 2,
  /// The change may have been accepted.
  Unknown = 3,
  /// Accepted, and not in force within --wait.
  NotInForce = 4,
  /// The store didn't answer; nothing was changed.
  StoreUnavailable = 5,
};

} // namespace bilberry::control

#endif
