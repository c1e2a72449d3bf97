#include "flamingoloom/admission/job_admission.h"

namespace flamingoloom::admission {

JobAdmission::JobAdmission(JobAdmissionSettings aSettings)
  : mSettings(aSettings)
{
  mLimits.mTotal = aSettings.mLimit;
}

void JobAdmission::SetAccounts(std::size_t aAccounts)
{
  // The urgent jobs of each, and its others.
  mLimits.mClasses = 2 * (static_cast<std::int64_t>(aAccounts) + 1);
}

void JobAdmission::OnCounted(base::Time aNow)
{
  while (!mUncounted.empty() &&
         aNow - mUncounted.begin()->second.mAt >= mSettings.mCountedAfter) {
    Withdraw(mUncounted.begin()->first);
  }
}

tl::expected<JobAdmission::Ticket, Refusal> JobAdmission::TryAdmit(
  base::Time aNow,
  const MemoryClass& aClass,
  std::int64_t aBytes)
{
  if (!MayEverFit(aBytes, mLimits)) {
    return tl::unexpected(Refusal::eTooLarge);
  }
  auto use = mPublished;
  use.Add(mUncountedUse);
  // The first job of a class is admitted whatever its size, so that a large one
  // is served in calm.
  const auto uncounted = mUncountedUse.Of(aClass);
  const bool hasPart =
    uncounted == 0 ||
    uncounted + aBytes <= mSettings.mLimit / mSettings.mUncountedDivisor;
  if (!hasPart || !HasRoom(use, aClass, aBytes, mLimits)) {
    return tl::unexpected(Refusal::eNoRoom);
  }
  mUncounted.emplace(++mLastTicket, Admitted{ aClass, aBytes, aNow });
  mUncountedUse.Add(aClass, aBytes);
  return mLastTicket;
}

void JobAdmission::Withdraw(Ticket aTicket)
{
  const auto entry = mUncounted.find(aTicket);
  if (entry != mUncounted.end()) {
    mUncountedUse.Add(entry->second.mClass, -entry->second.mBytes);
    mUncounted.erase(entry);
  }
}

} // namespace flamingoloom::admission
