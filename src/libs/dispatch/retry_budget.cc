#include "dispatch/retry_budget.h"

#include <algorithm>

namespace hawthornwheel::dispatch {

void RetryBudget::OnStart(double share) {
  this->tokens = std::min(this->tokens + share, kMaxTokens);
}

bool RetryBudget::TryTake() {
  if (this->tokens < 1) return false;
  this->tokens -= 1;
  return true;
}

}  // namespace hawthornwheel::dispatch
