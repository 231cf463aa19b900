// The exit codes of bilberryctl, for scripts. docs/BILBERRYCTL.md lists them.

#ifndef BILBERRY_CONTROL_EXIT_CODES_H
#define BILBERRY_CONTROL_EXIT_CODES_H

namespace bilberry::control {

enum class ExitCode : int {
  /// The command succeeded, or there was nothing to change.
  Success = 0,
  /// Not accepted: a concurrent change was accepted first, or the change is
  /// unsafe.
  Refused = 1,
  /// The command line, the document or a name is invalid.
  BadInput = 2,
  /// It is not known whether the change was accepted.
  Unknown = 3,
  /// Accepted, but not in force within --wait.
  NotInForce = 4,
  /// The store could not be read; nothing was changed.
  StoreUnavailable = 5,
};

} // namespace bilberry::control

#endif
