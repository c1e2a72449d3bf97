// Limits retries to a share of first attempts, so that an overload does not
// multiply itself. Not thread-safe.
#pragma once

#include <algorithm>

namespace flamingoloom::dispatch {

class RetryBudget
{
public:
  // Retries allowed for each first attempt.
  static constexpr double kShare = 0.1;
  // Retries that can be saved up, and the balance at the start.
  static constexpr double kMostSaved = 10;

  void OnFirstAttempt() { mBalance = std::min(mBalance + kShare, kMostSaved); }

  // Takes one retry from the budget, if there is one.
  bool TakeRetry()
  {
    if (mBalance < 1) {
      return false;
    }
    mBalance -= 1;
    return true;
  }

private:
  double mBalance = kMostSaved;
};

} // namespace flamingoloom::dispatch
