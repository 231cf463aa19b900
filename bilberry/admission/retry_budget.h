// Limits how many requests and flows an agent forwards to other agents, so that
// forwarding can't amplify an overload. A token bucket is refilled by new
// work, one token per NewWorkPerToken items. The number of forwarded items
// never exceeds
//
//   new items / NewWorkPerToken + burst
//
// The default is one token per item: an agent whose upstream is slow or cold
// has to forward nearly everything it receives while others have capacity. A
// ratio of one tenth, which is common for retries that run work again, refused
// a tenth of all requests with one slow upstream of nine (docs/ADMISSION.md).
// Forwarding runs nothing twice; it costs one message.
//
// This is the retry budget of Finagle and of "Site Reliability Engineering"
// (Beyer et al., 2016), chapter 22.

#ifndef BILBERRY_ADMISSION_RETRY_BUDGET_H
#define BILBERRY_ADMISSION_RETRY_BUDGET_H

#include <cstdint>

namespace bilberry::admission {

/// The parameters of a retry budget.
struct RetryRule {
  /// New items that add one token; 0 is treated as 1.
  uint32_t NewWorkPerToken = 1;
  /// The capacity of the bucket, which starts full.
  uint32_t Burst = 10;
};

/// The token bucket. Not thread-safe.
class RetryBudget {
public:
  explicit RetryBudget(const RetryRule &Rule = RetryRule());

  /// Records a new item, which no agent has forwarded before.
  void recordNewWork();
  /// Takes a token for forwarding one item. Returns false if none is left.
  bool takeToken();

private:
  /// In units of new items rather than tokens, to avoid rounding.
  uint64_t Credit;
  uint64_t TokenCost;
  uint64_t MaxCredit;
};

} // namespace bilberry::admission

#endif
