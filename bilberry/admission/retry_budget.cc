#include "bilberry/admission/retry_budget.h"

#include <algorithm>

namespace bilberry::admission {

RetryBudget::RetryBudget(const RetryRule &Rule)
    : TokenCost(std::max(1U, Rule.NewWorkPerToken)),
      MaxCredit(this->TokenCost * Rule.Burst) {
  this->Credit = this->MaxCredit;
}

void RetryBudget::recordNewWork() {
  this->Credit = std::min(this->Credit + 1, this->MaxCredit);
}

bool RetryBudget::takeToken() {
  if (this->Credit < this->TokenCost) {
    return false;
  }
  this->Credit -= this->TokenCost;
  return true;
}

} // namespace bilberry::admission
