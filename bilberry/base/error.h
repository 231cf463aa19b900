// Errors as types. A function that can fail returns Result<T>; a check that
// looks at a whole document collects Findings and reports them together.

#ifndef BILBERRY_BASE_ERROR_H
#define BILBERRY_BASE_ERROR_H

#include <boost/outcome/result.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::base {

enum class ErrorCode {
  /// Bytes or text that don't follow the format.
  Malformed,
  /// A value outside the range that the format allows.
  OutOfRange,
  /// Nothing is there under that name.
  NotFound,
  /// A compare-and-swap found another value than expected.
  Conflict,
  /// The other side didn't answer, and the call had no effect.
  Unavailable,
  /// The other side didn't answer; the call may have had its effect.
  OutcomeUnknown,
  /// The lease that the call needs has expired.
  LeaseExpired,
  /// The change would break a rule, and wasn't asked for by name.
  Unsafe,
  /// The operating system refused a call.
  System,
};

/// The code as a word for logs and messages. Never fails.
std::string_view errorCodeText(ErrorCode Code);

/// One failure: what kind, and what a person needs to know to act on it.
struct Error {
  ErrorCode Code;
  std::string Message;
};

template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

/// Where a finding lies. Line counts from 1; 0 means the whole document.
struct Place {
  std::string File;
  int Line = 0;
  std::string Section;
  std::string Key;
};

/// One thing that is wrong with a document.
struct Finding {
  Place Where;
  std::string Message;
};

/// All that is wrong with a document. Not safe for use by two threads at once.
class Findings {
public:
  /// Adds a finding. Keeps the order in which they are added.
  void add(Place Where, std::string Message);
  /// True while nothing is wrong.
  bool empty() const { return this->List.empty(); }
  /// The findings in the order in which they were added.
  const std::vector<Finding> &list() const { return this->List; }
  /// One line a finding: "FILE:LINE: [SECTION] KEY: MESSAGE".
  std::string text() const;

private:
  std::vector<Finding> List;
};

} // namespace bilberry::base

#endif
