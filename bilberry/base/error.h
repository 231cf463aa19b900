// Error types. A function that can fail returns Result<T>; a check of a whole
// document collects all Findings and reports them together.

#ifndef BILBERRY_BASE_ERROR_H
#define BILBERRY_BASE_ERROR_H

#include <boost/outcome/result.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::base {

enum class ErrorCode {
  /// The input does not conform to the format.
  Malformed,
  /// A value is outside the range that the format allows.
  OutOfRange,
  /// No entry exists under the given name.
  NotFound,
  /// A compare-and-swap found a different value than expected.
  Conflict,
  /// The remote side did not respond, and the call had no effect.
  Unavailable,
  /// The remote side did not respond; the call may have taken effect.
  OutcomeUnknown,
  /// The lease that the call requires has expired.
  LeaseExpired,
  /// The change violates a safety rule and was not forced explicitly.
  Unsafe,
  /// A system call failed.
  System,
};

/// Returns the name of the code for logs and messages. Never fails.
std::string_view errorCodeText(ErrorCode Code);

/// A failure: its kind, and a message that tells an operator what to correct.
struct Error {
  ErrorCode Code;
  std::string Message;
};

template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

/// The location of a finding. Lines are numbered from 1; 0 means the whole
/// document.
struct DocumentLocation {
  std::string File;
  int Line = 0;
  std::string Section;
  std::string Key;
};

/// One error in a document.
struct Finding {
  DocumentLocation Location;
  std::string Message;
};

/// All errors in a document. Not thread-safe.
class Findings {
public:
  /// Appends a finding.
  void add(DocumentLocation Location, std::string Message);
  /// True if there are no findings.
  bool empty() const { return this->List.empty(); }
  /// The findings in the order in which they were added.
  const std::vector<Finding> &list() const { return this->List; }
  /// Formats one line for each finding: "FILE:LINE: [SECTION] KEY: MESSAGE".
  std::string text() const;

private:
  std::vector<Finding> List;
};

} // namespace bilberry::base

#endif
