// What client accounts are entitled to, and what they have running.
//
//   AccountLimits limits(0.1);
//   limits.SetTerms({ { shop, { .mMaximum = { 0, 0, 8 } } } });
//   const auto tasks = limits.Room(shop, need, 3);  // may start now
//   limits.Add(shop, need);                         // one of them is assigned
//   limits.Remove(shop, need);                      // it is known to have
//   ended
//
// A task counts from its assignment until it is known to have ended, so that
// starts whose outcome is unknown, and stops that are under way, cannot bring
// an account above its maximum. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/jobs/job.h"

namespace flamingoloom::scheduler {

struct AccountTerms
{
  // Accelerators that can always be reclaimed for jobs of priority 0.
  std::int64_t mGuaranteedAccelerators = 0;
  // The account's share of the capacity when all of it is in use, relative to
  // those of the others, and the number of jobs a second that it may submit
  // with a claim to be served. 0 if there is neither.
  double mWeight = 0;
  // What the account may have running; 0 for no limit of that resource.
  jobs::Resources mMaximum;

  friend bool operator==(const AccountTerms&, const AccountTerms&) = default;
};

using AccountTermsMap = std::map<base::AccountId, AccountTerms>;

// Returns whether aTerms limit what the account may have running.
bool HasMaximum(const AccountTerms& aTerms);

// Returns whether a step may run at all: an account that has nothing else
// running may exceed its maximum by one task, and by the share aTolerance for a
// gang. Other steps run in waves.
bool MayEverRun(const jobs::StepSpec& aStep,
                const jobs::Resources& aMaximum,
                double aTolerance);

class AccountLimits
{
public:
  // aTolerance is the share of the maximum by which a gang may exceed it that
  // could not run otherwise.
  explicit AccountLimits(double aTolerance);

  // Replaces the terms of all accounts. What runs is not affected.
  void SetTerms(AccountTermsMap aTerms);
  // Returns nullptr for an unknown account.
  const AccountTerms* Find(const base::AccountId& aAccount) const;

  void Add(const base::AccountId& aAccount, const jobs::Resources& aTask);
  // aTask must have been added before.
  void Remove(const base::AccountId& aAccount, const jobs::Resources& aTask);
  jobs::Resources Used(const base::AccountId& aAccount) const;

  // Returns how many of aTasks tasks the account may start now.
  std::int64_t Room(const base::AccountId& aAccount,
                    const jobs::Resources& aPerTask,
                    std::int64_t aTasks) const;
  // Returns whether the account may start all tasks of the gang now.
  bool Admits(const base::AccountId& aAccount,
              const jobs::StepSpec& aGang) const;
  // Returns whether the account could start aTasks tasks if aFreed of what it
  // has running had ended.
  bool AdmitsAfter(const base::AccountId& aAccount,
                   const jobs::Resources& aPerTask,
                   std::int64_t aTasks,
                   const jobs::Resources& aFreed) const;

private:
  struct Usage
  {
    jobs::Resources mResources;
    std::int64_t mTasks = 0;
  };

  // Returns the account's maximum; all 0 if there is none.
  jobs::Resources Maximum(const base::AccountId& aAccount) const;

  const double mTolerance;
  AccountTermsMap mTerms;
  std::map<base::AccountId, Usage> mUsage;
};

} // namespace flamingoloom::scheduler
