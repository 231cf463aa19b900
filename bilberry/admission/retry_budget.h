// Bounds how much work is passed on, so that overload can't multiply itself:
// a token bucket that fresh work fills, one token a fixed number of pieces of
// work. Whatever happens, what was passed on stays within
//
//   fresh work / FreshWorkPerToken + burst
//
// One for one by default: an agent whose upstream is slow or cold has to pass
// on nearly all that comes to it, while others have room. A tenth, which is
// common for retries that run work again, refused a tenth of all requests with
// one upstream of nine slow (docs/ADMISSION.md). Passing on runs nothing twice;
// it costs a message.
//
// The idea is the retry budget of Finagle and of "Site Reliability
// Engineering" (Beyer et al., 2016), chapter 22.

#ifndef BILBERRY_ADMISSION_RETRY_BUDGET_H
#define BILBERRY_ADMISSION_RETRY_BUDGET_H

#include <cstdint>

namespace bilberry::admission {

struct RetryRule {
  /// Pieces of fresh work that earn one token; 0 is taken as 1.
  uint32_t FreshWorkPerToken = 1;
  /// The most tokens that are kept, and those at the start.
  uint32_t Burst = 10;
};

/// A pure object: not safe for two threads at once.
class RetryBudget {
public:
  explicit RetryBudget(const RetryRule &Rule = RetryRule());

  /// A piece of work has come that nobody has passed on before.
  void noteFreshWork();
  /// Takes a token for passing one piece of work on. False where none is left.
  bool take();

private:
  /// Counted in pieces of fresh work, so that nothing is rounded.
  uint64_t Credit;
  uint64_t TokenCost;
  uint64_t MaxCredit;
};

} // namespace bilberry::admission

#endif
