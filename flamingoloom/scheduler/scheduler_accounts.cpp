// What client accounts may have running, and their claims when room is short.
#include "flamingoloom/scheduler/scheduler.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace flamingoloom::scheduler {

using base::AccountId;
using base::Time;

namespace {

// Interval between searches for own work to stop for one step. A search visits
// every task of the account.
constexpr base::Duration kOwnWorkSearchInterval =
  std::chrono::milliseconds(150);

std::string ResourcesText(const jobs::Resources& aResources)
{
  return std::to_string(aResources.mCpuMilli) + "," +
         std::to_string(aResources.mMemoryMb) + "," +
         std::to_string(aResources.mAccelerators);
}

} // namespace

void Scheduler::SetAccountTerms(AccountTermsMap aTerms)
{
  for (const auto& [account, terms] : aTerms) {
    mRates.SetRate(account, terms.mWeight);
  }
  mLimits.SetTerms(std::move(aTerms));
}

void Scheduler::SetAccountTermsValidUntil(Time aUntil)
{
  mTermsValidUntil = aUntil;
}

std::int64_t Scheduler::GuaranteedAccelerators(const AccountId& aAccount) const
{
  const AccountTerms* terms = mLimits.Find(aAccount);
  return terms == nullptr ? -1 : terms->mGuaranteedAccelerators;
}

void Scheduler::RecordRates()
{
  mRates.Reset();
  struct Accepted
  {
    std::int64_t mAcceptedMs;
    const base::AccountId* mAccount;
    // Null for a job that has ended.
    Job* mJob;
  };
  std::vector<Accepted> byAcceptance;
  byAcceptance.reserve(mJobs.size() + mEndedJobs.size());
  for (const auto& [id, job] : mJobs) {
    byAcceptance.push_back(
      { job->mSpec.mAcceptedMs, &job->mSpec.mAccount, job.get() });
  }
  for (const auto& [id, job] : mEndedJobs) {
    byAcceptance.push_back(
      { job.mAcceptedMs, &job.mMemoryClass.mAccount, nullptr });
  }
  std::stable_sort(byAcceptance.begin(),
                   byAcceptance.end(),
                   [](const Accepted& aLeft, const Accepted& aRight) {
                     return aLeft.mAcceptedMs < aRight.mAcceptedMs;
                   });
  for (const auto& accepted : byAcceptance) {
    const bool beyond =
      mRates.IsBeyond(*accepted.mAccount, accepted.mAcceptedMs);
    if (accepted.mJob != nullptr) {
      accepted.mJob->mBeyondRate = beyond;
    }
  }
}

void Scheduler::CountAttempt(const StepState& aStep)
{
  mLimits.Add(aStep.mJob->mSpec.mAccount, aStep.Spec().mPerTask);
}

void Scheduler::UncountAttempt(const StepState& aStep)
{
  mLimits.Remove(aStep.mJob->mSpec.mAccount, aStep.Spec().mPerTask);
}

void Scheduler::AddStray(Time aNow,
                         ServerState& aServer,
                         const jobs::TaskAttempt& aAttempt,
                         const StepState& aStep)
{
  const auto& account = aStep.mJob->mSpec.mAccount;
  const auto [entry, added] = aServer.mStrays.insert_or_assign(
    aAttempt, StrayAttempt{ account, aStep.Spec().mPerTask, aNow });
  if (added) {
    mLimits.Add(account, entry->second.mResources);
  }
}

void Scheduler::ForgetStrays(
  ServerState& aServer,
  const std::function<bool(const jobs::TaskAttempt&, const StrayAttempt&)>&
    aHasEnded)
{
  std::erase_if(aServer.mStrays, [&](const auto& aEntry) {
    const auto& [attempt, stray] = aEntry;
    const bool ended = aHasEnded(attempt, stray);
    if (ended) {
      mLimits.Remove(stray.mAccount, stray.mResources);
    }
    return ended;
  });
}

std::vector<int> Scheduler::StartableTasks(Time aNow, StepState& aStep)
{
  std::vector<int> indices;
  for (std::size_t i = 0; i < aStep.mTasks.size(); ++i) {
    if (aStep.mTasks[i].mPhase == TaskPhase::eWaiting) {
      indices.push_back(static_cast<int>(i));
    }
  }
  aStep.mHeldByMaximum = false;
  const auto& account = aStep.mJob->mSpec.mAccount;
  const auto waiting = indices.size();
  const AccountTerms* terms = mLimits.Find(account);
  if (terms == nullptr || !HasMaximum(*terms)) {
    return indices;
  }
  const auto first = mFirstHeld.find(account);
  const bool othersFirst = first != mFirstHeld.end() && first->second != &aStep;
  if (aNow >= mTermsValidUntil || othersFirst) {
    indices.clear();
  } else if (aStep.Spec().mGang) {
    if (!mLimits.Admits(account, aStep.Spec())) {
      indices.clear();
    }
  } else {
    indices.resize(static_cast<std::size_t>(
      mLimits.Room(account,
                   aStep.Spec().mPerTask,
                   static_cast<std::int64_t>(indices.size()))));
  }
  aStep.mHeldByMaximum = indices.size() < waiting;
  if (aStep.mHeldByMaximum) {
    mAtMaximum.insert(account);
    // Otherwise small tasks would take each part of the maximum that becomes
    // free, and a gang would never find its whole.
    if (MayEverRun(aStep.Spec(), terms->mMaximum, mSettings.mLimitTolerance)) {
      mFirstHeld.emplace(account, &aStep);
    }
  }
  return indices;
}

bool Scheduler::MayStartPlan(Time aNow, StepState& aStep)
{
  return StartableTasks(aNow, aStep).size() >= aStep.mPlan.size();
}

std::vector<Scheduler::OwnWork> Scheduler::LessUrgentOwnWork(
  Time aNow,
  const StepState& aStep,
  jobs::Resources& aStopping) const
{
  std::vector<OwnWork> work;
  const auto& account = aStep.mJob->mSpec.mAccount;
  for (const auto& [id, job] : mActiveJobs) {
    if (job->mSpec.mAccount != account) {
      continue;
    }
    const bool lessUrgent =
      job->mSpec.mRules.mPriority > aStep.mJob->mSpec.mRules.mPriority;
    for (const auto& [number, occurrence] : job->mOccurrences) {
      for (const auto& step : occurrence.mSteps) {
        AddOwnWork(aNow, *step, lessUrgent, work, aStopping);
      }
    }
  }
  std::stable_sort(
    work.begin(), work.end(), [](const OwnWork& aLeft, const OwnWork& aRight) {
      return aLeft.mCost < aRight.mCost;
    });
  return work;
}

void Scheduler::AddOwnWork(Time aNow,
                           StepState& aStep,
                           bool aMayStop,
                           std::vector<OwnWork>& aWork,
                           jobs::Resources& aStopping) const
{
  const auto& spec = aStep.Spec();
  const bool stoppable = aMayStop && !spec.mLongRunning;
  OwnWork gang{ &aStep, {}, {}, 0 };
  for (std::size_t i = 0; i < aStep.mTasks.size(); ++i) {
    const Task& task = aStep.mTasks[i];
    if (!IsPlaced(task.mPhase)) {
      continue;
    }
    if (task.mStopRequested) {
      aStopping += spec.mPerTask;
      continue;
    }
    if (!stoppable || (task.mPhase != TaskPhase::eRunning &&
                       task.mPhase != TaskPhase::eDispatching)) {
      continue;
    }
    const double cost = LostWork(aNow, spec, task);
    if (spec.mGang) {
      gang.mIndices.push_back(static_cast<int>(i));
      gang.mFreed += spec.mPerTask;
      gang.mCost += cost;
    } else {
      aWork.push_back({ &aStep, { static_cast<int>(i) }, spec.mPerTask, cost });
    }
  }
  if (!gang.mIndices.empty()) {
    aWork.push_back(std::move(gang));
  }
}

void Scheduler::PreemptOwnWork(Time aNow, StepState& aStep)
{
  if (aNow - aStep.mOwnWorkSearchedAt < kOwnWorkSearchInterval) {
    return;
  }
  aStep.mOwnWorkSearchedAt = aNow;
  const auto& account = aStep.mJob->mSpec.mAccount;
  const auto& need = aStep.Spec().mPerTask;
  jobs::Resources freed;
  const auto work = LessUrgentOwnWork(aNow, aStep, freed);
  const auto admitted = [&] {
    return mLimits.AdmitsAfter(account, need, aStep.mWaitingTasks, freed);
  };
  std::vector<const OwnWork*> chosen;
  for (const OwnWork& candidate : work) {
    if (admitted()) {
      break;
    }
    chosen.push_back(&candidate);
    freed += candidate.mFreed;
  }
  if (!admitted() || chosen.empty()) {
    // Nothing would be gained, or what is being stopped is enough.
    return;
  }
  Log("preempt_own_work",
      aStep.mJob->mSpec.mId,
      { { "account", account.Value() },
        { "tasks", std::to_string(aStep.mWaitingTasks) },
        { "victims", std::to_string(chosen.size()) } });
  for (const OwnWork* victim : chosen) {
    if (victim->mStep->Spec().mGang) {
      AbortGang(*victim->mStep);
    } else {
      RequestStop(*victim->mStep, victim->mIndices.front(), "account maximum");
    }
  }
}

void Scheduler::LogAccountsAtMaximum()
{
  for (const auto& account : mAtMaximum) {
    const AccountTerms* terms = mLimits.Find(account);
    if (mWereAtMaximum.count(account) == 0 && terms != nullptr) {
      Log("account_at_maximum",
          "",
          { { "account", account.Value() },
            { "used", ResourcesText(mLimits.Used(account)) },
            { "maximum", ResourcesText(terms->mMaximum) } });
    }
  }
  mWereAtMaximum = mAtMaximum;
}

std::set<AccountId> Scheduler::AccountsOverShare() const
{
  std::set<AccountId> competing;
  double weights = 0;
  for (const auto& [id, job] : mActiveJobs) {
    const AccountTerms* terms = mLimits.Find(job->mSpec.mAccount);
    if (terms != nullptr && terms->mWeight > 0 &&
        competing.insert(job->mSpec.mAccount).second) {
      weights += terms->mWeight;
    }
  }
  if (competing.empty()) {
    return {};
  }
  const double capacity = std::accumulate(
    mFleet.Servers().begin(),
    mFleet.Servers().end(),
    0.0,
    [](double aSum, const auto& aEntry) {
      const ServerState& server = aEntry.second;
      return server.mListed && server.mResponsive && !server.mInfo.mDraining
               ? aSum + server.mInfo.mCapacity.WeightedCores()
               : aSum;
    });
  std::erase_if(competing, [&](const AccountId& aAccount) {
    return mLimits.Used(aAccount).WeightedCores() <=
           capacity * mLimits.Find(aAccount)->mWeight / weights;
  });
  return competing;
}

} // namespace flamingoloom::scheduler
