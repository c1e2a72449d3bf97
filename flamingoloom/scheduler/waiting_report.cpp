#include "flamingoloom/scheduler/waiting_report.h"

#include <algorithm>

namespace flamingoloom::scheduler {
namespace {

// Whether an attempt of the step works, as far as is known.
bool HasRunningTask(const StepState& aStep)
{
  return std::any_of(
    aStep.mTasks.begin(), aStep.mTasks.end(), [](const Task& aTask) {
      return aTask.mPhase == TaskPhase::eRunning && !aTask.mStopRequested;
    });
}

} // namespace

const char* WaitReasonName(WaitReason aReason)
{
  switch (aReason) {
    case WaitReason::eStopping:
      return "stopping";
    case WaitReason::eUnresolved:
      return "unresolved";
    case WaitReason::eStarting:
      return "starting";
    case WaitReason::eAccountMaximum:
      return "account_maximum";
    case WaitReason::ePlanned:
      return "planned";
    case WaitReason::eLocalCapacity:
      return "local_capacity";
    case WaitReason::ePlannedByOthers:
      return "planned_by_others";
    case WaitReason::eQuarantine:
      return "quarantine";
    case WaitReason::eUnusableServers:
      return "unusable_servers";
    case WaitReason::eNoCapacity:
      return "no_capacity";
  }
  return "no_capacity";
}

WaitingReport::WaitingReport(
  const Fleet& aFleet,
  const std::set<base::DataCentreId>& aOutOfServiceDataCentres,
  const std::map<std::string, Job*>& aJobs,
  base::Time aNow)
{
  AddServers(aFleet, aOutOfServiceDataCentres, aNow);
  AddPlans(aJobs);
  for (const auto& [id, job] : aJobs) {
    for (auto& [number, occurrence] : job->mOccurrences) {
      for (auto& step : occurrence.mSteps) {
        if (step->mReady && step->mUnfinishedTasks > 0) {
          AddWaiting(*step, aNow);
        }
      }
    }
  }
}

WaitingReport::Usability WaitingReport::UsabilityOf(
  const ServerState& aServer,
  const std::set<base::DataCentreId>& aOutOfServiceDataCentres,
  base::Time aNow)
{
  if (aOutOfServiceDataCentres.count(aServer.mInfo.mDataCentre) > 0) {
    return Usability::eOutOfService;
  }
  if (aServer.mInfo.mDraining) {
    return Usability::eDraining;
  }
  if (!aServer.mFenced) {
    return Usability::eUnfenced;
  }
  if (!aServer.mResponsive) {
    return Usability::eSilent;
  }
  return aServer.mQuarantinedUntil > aNow ? Usability::eQuarantined
                                          : Usability::eUsable;
}

void WaitingReport::AddServers(
  const Fleet& aFleet,
  const std::set<base::DataCentreId>& aOutOfServiceDataCentres,
  base::Time aNow)
{
  for (const auto& [id, server] : aFleet.Servers()) {
    if (!server.mListed) {
      continue;
    }
    const auto usability = UsabilityOf(server, aOutOfServiceDataCentres, aNow);
    mServers.emplace_back(&server, usability);
    ++mSummary.mServers;
    switch (usability) {
      case Usability::eOutOfService:
        ++mSummary.mOutOfService;
        break;
      case Usability::eDraining:
        ++mSummary.mDraining;
        break;
      case Usability::eUnfenced:
        ++mSummary.mUnfenced;
        break;
      case Usability::eSilent:
        ++mSummary.mSilent;
        break;
      case Usability::eQuarantined:
        ++mSummary.mQuarantined;
        break;
      case Usability::eUsable:
        ++mSummary.mUsable;
        mSummary.mUsableAccelerators += server.mInfo.mCapacity.mAccelerators;
        mSummary.mFreeAccelerators += server.FreeCapacity().mAccelerators;
        break;
    }
  }
}

void WaitingReport::AddPlans(const std::map<std::string, Job*>& aJobs)
{
  for (const auto& [id, job] : aJobs) {
    for (const auto& [number, occurrence] : job->mOccurrences) {
      for (const auto& step : occurrence.mSteps) {
        const auto need = step->Spec().Footprint();
        for (const auto& [index, server] : step->mPlan) {
          mPlanned[server] += need;
          mSummary.mPlannedAccelerators += need.mAccelerators;
        }
      }
    }
  }
}

void WaitingReport::AddWaiting(StepState& aStep, base::Time aNow)
{
  if (HasRunningTask(aStep)) {
    aStep.mWaitingSince.reset();
    return;
  }
  if (!aStep.mWaitingSince) {
    aStep.mWaitingSince = aNow;
  }
  WaitingStepReport report;
  report.mStep = &aStep;
  report.mWaited = aNow - *aStep.mWaitingSince;
  report.mRoom = RoomFor(aStep);
  report.mReason = ReasonOf(aStep, report.mRoom);
  const auto& account = aStep.mJob->mSpec.mAccount;
  auto entry = std::find_if(mAccounts.begin(),
                            mAccounts.end(),
                            [&account](const WaitingAccountReport& aAccount) {
                              return aAccount.mAccount == account;
                            });
  if (entry == mAccounts.end()) {
    mAccounts.push_back({ account, {}, report });
    entry = std::prev(mAccounts.end());
  } else if (report.mWaited > entry->mLongest.mWaited) {
    entry->mLongest = report;
  }
  ++entry->mSteps[report.mReason];
}

StepRoom WaitingReport::RoomFor(const StepState& aStep) const
{
  const auto& spec = aStep.Spec();
  const auto need = spec.Footprint();
  StepRoom room;
  std::map<std::string, std::int64_t> byRack;
  for (const auto& [server, usability] : mServers) {
    const auto& info = server->mInfo;
    const bool eligible =
      info.mService == aStep.mJob->mSpec.mRules.mService &&
      (spec.mRequiredLabel.empty() ||
       std::find(info.mLabels.begin(),
                 info.mLabels.end(),
                 spec.mRequiredLabel) != info.mLabels.end());
    if (!eligible) {
      continue;
    }
    const auto tasksIn = [&](const jobs::Resources& aFree) {
      const auto count = need.FitsIn(aFree) ? need.CountIn(aFree) : 0;
      return spec.mMaxPerServer > 0
               ? std::min<std::int64_t>(count, spec.mMaxPerServer)
               : count;
    };
    auto free = server->FreeCapacity();
    const auto tasks = tasksIn(free);
    if (usability == Usability::eQuarantined) {
      room.mQuarantined += tasks;
    } else if (usability != Usability::eUsable) {
      room.mUnusable += tasks;
    } else {
      room.mFree += tasks;
      byRack[info.mRack] += tasks;
      if (const auto planned = mPlanned.find(info.mId);
          planned != mPlanned.end()) {
        free -= planned->second;
      }
      room.mUnplanned += tasksIn(free);
    }
  }
  if (!spec.mDataRack.empty()) {
    room.mNear = byRack[spec.mDataRack];
  } else if (spec.mGang && spec.mSameRack) {
    for (const auto& [rack, tasks] : byRack) {
      room.mNear = std::max(room.mNear, tasks);
    }
  } else {
    room.mNear = room.mFree;
  }
  return room;
}

WaitReason WaitingReport::ReasonOf(const StepState& aStep,
                                   const StepRoom& aRoom) const
{
  const auto any = [&aStep](auto aCondition) {
    return std::any_of(aStep.mTasks.begin(), aStep.mTasks.end(), aCondition);
  };
  if (aStep.mGangAborting ||
      any([](const Task& aTask) { return aTask.mStopRequested; })) {
    return WaitReason::eStopping;
  }
  if (any([](const Task& aTask) {
        return aTask.mPhase == TaskPhase::eUnresolved;
      })) {
    return WaitReason::eUnresolved;
  }
  if (any([](const Task& aTask) {
        return aTask.mPhase == TaskPhase::eAssigned ||
               aTask.mPhase == TaskPhase::eDispatching;
      })) {
    return WaitReason::eStarting;
  }
  if (aStep.mHeldByMaximum) {
    return WaitReason::eAccountMaximum;
  }
  if (!aStep.mPlan.empty()) {
    return WaitReason::ePlanned;
  }
  const std::int64_t needed = aStep.Spec().mGang ? aStep.mWaitingTasks : 1;
  if (aRoom.mUnplanned >= needed) {
    return WaitReason::eLocalCapacity;
  }
  if (aRoom.mFree >= needed) {
    return WaitReason::ePlannedByOthers;
  }
  if (aRoom.mFree + aRoom.mQuarantined >= needed) {
    return WaitReason::eQuarantine;
  }
  return aRoom.mFree + aRoom.mQuarantined + aRoom.mUnusable >= needed
           ? WaitReason::eUnusableServers
           : WaitReason::eNoCapacity;
}

} // namespace flamingoloom::scheduler
