#include "flamingoloom/scheduler/account_limits.h"

#include <algorithm>
#include <limits>

namespace flamingoloom::scheduler {

using jobs::Resources;

namespace {

// What is left of one resource; a maximum of 0 is no limit.
std::int64_t Left(std::int64_t aMaximum, std::int64_t aUsed)
{
  return aMaximum == 0 ? std::numeric_limits<std::int64_t>::max()
                       : aMaximum - aUsed;
}

Resources Left(const Resources& aMaximum, const Resources& aUsed)
{
  return { Left(aMaximum.mCpuMilli, aUsed.mCpuMilli),
           Left(aMaximum.mMemoryMb, aUsed.mMemoryMb),
           Left(aMaximum.mAccelerators, aUsed.mAccelerators) };
}

Resources Scaled(const Resources& aResources, double aFactor)
{
  const auto scale = [aFactor](std::int64_t aValue) {
    return static_cast<std::int64_t>(static_cast<double>(aValue) * aFactor);
  };
  return { scale(aResources.mCpuMilli),
           scale(aResources.mMemoryMb),
           scale(aResources.mAccelerators) };
}

// Whether a gang may run beside nothing else: its members but one have to fit
// into the maximum with its tolerance.
bool MayRunAlone(const Resources& aPerTask,
                 std::int64_t aTasks,
                 const Resources& aMaximum,
                 double aTolerance)
{
  return aPerTask.Times(aTasks - 1)
    .FitsIn(Left(Scaled(aMaximum, 1.0 + aTolerance), Resources{}));
}

} // namespace

bool HasMaximum(const AccountTerms& aTerms)
{
  return aTerms.mMaximum != Resources{};
}

bool MayEverRun(const jobs::StepSpec& aStep,
                const Resources& aMaximum,
                double aTolerance)
{
  return !aStep.mGang ||
         MayRunAlone(aStep.mPerTask, aStep.mTaskCount, aMaximum, aTolerance);
}

AccountLimits::AccountLimits(double aTolerance)
  : mTolerance(aTolerance)
{
}

void AccountLimits::SetTerms(AccountTermsMap aTerms)
{
  mTerms = std::move(aTerms);
}

const AccountTerms* AccountLimits::Find(const base::AccountId& aAccount) const
{
  const auto terms = mTerms.find(aAccount);
  return terms == mTerms.end() ? nullptr : &terms->second;
}

Resources AccountLimits::Maximum(const base::AccountId& aAccount) const
{
  const AccountTerms* terms = Find(aAccount);
  return terms == nullptr ? Resources{} : terms->mMaximum;
}

void AccountLimits::Add(const base::AccountId& aAccount, const Resources& aTask)
{
  auto& usage = mUsage[aAccount];
  usage.mResources += aTask;
  ++usage.mTasks;
}

void AccountLimits::Remove(const base::AccountId& aAccount,
                           const Resources& aTask)
{
  const auto usage = mUsage.find(aAccount);
  if (usage == mUsage.end()) {
    return;
  }
  usage->second.mResources -= aTask;
  if (--usage->second.mTasks == 0) {
    mUsage.erase(usage);
  }
}

Resources AccountLimits::Used(const base::AccountId& aAccount) const
{
  const auto usage = mUsage.find(aAccount);
  return usage == mUsage.end() ? Resources{} : usage->second.mResources;
}

std::int64_t AccountLimits::Room(const base::AccountId& aAccount,
                                 const Resources& aPerTask,
                                 std::int64_t aTasks) const
{
  const auto left = Left(Maximum(aAccount), Used(aAccount));
  const auto room =
    aPerTask.FitsIn(left) ? std::min(aTasks, aPerTask.CountIn(left)) : 0;
  // A task that is larger than the maximum runs alone.
  const bool idle = mUsage.find(aAccount) == mUsage.end();
  return room == 0 && idle ? std::min<std::int64_t>(aTasks, 1) : room;
}

bool AccountLimits::Admits(const base::AccountId& aAccount,
                           const jobs::StepSpec& aGang) const
{
  if (mUsage.find(aAccount) == mUsage.end()) {
    return MayEverRun(aGang, Maximum(aAccount), mTolerance);
  }
  return AdmitsAfter(aAccount, aGang.mPerTask, aGang.mTaskCount, {});
}

bool AccountLimits::AdmitsAfter(const base::AccountId& aAccount,
                                const Resources& aPerTask,
                                std::int64_t aTasks,
                                const Resources& aFreed) const
{
  auto used = Used(aAccount);
  used -= aFreed;
  return aPerTask.Times(aTasks).FitsIn(Left(Maximum(aAccount), used));
}

} // namespace flamingoloom::scheduler
