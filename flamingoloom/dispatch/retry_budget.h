// Limits retries to a fraction of the first attempts, so that retries do not
// amplify an overload. Not thread-safe.
#pragma once

#include <algorithm>

namespace flamingoloom::dispatch {

class RetryBudget
{
public:
  // Number of retries that each first attempt adds to the budget.
  static constexpr double kRetriesPerFirstAttempt = 0.1;
  // Maximum number of retries that the budget can accumulate, and its initial
  // balance.
  static constexpr double kMaxBalance = 10;

  void OnFirstAttempt()
  {
    mBalance = std::min(mBalance + kRetriesPerFirstAttempt, kMaxBalance);
  }

  // Takes one retry from the budget. Returns false when there is none.
  bool TakeRetry()
  {
    if (mBalance < 1) {
      return false;
    }
    mBalance -= 1;
    return true;
  }

private:
  double mBalance = kMaxBalance;
};

} // namespace flamingoloom::dispatch
