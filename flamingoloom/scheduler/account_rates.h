// Tells what accounts submit beyond their rates, jobs or requests, from the
// rest.
//
//   AccountRates rates(window);
//   rates.SetRate(shop, 3.0);
//   rates.IsBeyond(shop, acceptedMs);
//
// A token bucket for each account: it fills at the account's rate, up to what
// arrives within the window at that rate. A job that finds no token is beyond
// the rate and takes none, so a burst does not use up the claim of later jobs.
// Not thread-safe.
#pragma once

#include <cstdint>
#include <map>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::scheduler {

class AccountRates
{
public:
  explicit AccountRates(base::Duration aWindow);

  // Sets the jobs a second of an account; 0 for no limit.
  void SetRate(const base::AccountId& aAccount, double aJobsPerSecond);
  // Records a job and returns whether it is beyond the account's rate.
  // aAcceptedMs is a time of day in Unix milliseconds. Jobs are to be recorded
  // in the order of these times; a time before the last one counts as that one.
  bool IsBeyond(const base::AccountId& aAccount, std::int64_t aAcceptedMs);
  // Forgets the recorded jobs.
  void Reset();

private:
  struct Bucket
  {
    double mRate = 0;
    double mTokens = 0;
    // 0 before the first job.
    std::int64_t mFilledMs = 0;
  };

  const double mWindowSeconds;
  std::map<base::AccountId, Bucket> mBuckets;
};

} // namespace flamingoloom::scheduler
