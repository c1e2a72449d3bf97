#include "testing/scheduler_load/scheduler_load.h"

#include <algorithm>
#include <utility>

namespace flamingoloom::testing::scheduler_load {

using base::Time;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kServersPerRack = 8;
constexpr base::Duration kReportInterval = seconds(2);
// Time until a poll of a server that has left fails.
constexpr base::Duration kUnresponsiveAfter = milliseconds(1000);
// Leases of servers, on a clock that may be 2% slow.
constexpr base::Duration kLease = milliseconds(6123);
// How long leases of an earlier leader may last.
constexpr base::Duration kEarlierLeases = milliseconds(12245);
// An entry goes after three heartbeats of silence.
constexpr base::Duration kEntryLifetime = milliseconds(4500);
constexpr base::Duration kCalmTime = seconds(4);
constexpr std::int64_t kGuaranteedAccelerators = 120;

base::Time AfterInterval(Time aNow, base::Duration aInterval)
{
  return aInterval.count() > 0 ? aNow + aInterval : Time::max();
}

scheduler::AccountTermsMap GuaranteesOnly()
{
  constexpr int kAccounts = 10;
  scheduler::AccountTermsMap terms;
  for (int i = 0; i < kAccounts; ++i) {
    terms[base::AccountId("account" + std::to_string(i))] = {
      kGuaranteedAccelerators
    };
  }
  return terms;
}

// A maximum of 0 is none, so it is the highest one.
jobs::Resources Highest(const jobs::Resources& aLeft,
                        const jobs::Resources& aRight)
{
  const auto highest = [](std::int64_t aOne, std::int64_t aOther) {
    return aOne == 0 || aOther == 0 ? 0 : std::max(aOne, aOther);
  };
  return { highest(aLeft.mCpuMilli, aRight.mCpuMilli),
           highest(aLeft.mMemoryMb, aRight.mMemoryMb),
           highest(aLeft.mAccelerators, aRight.mAccelerators) };
}

bool IsWithin(const jobs::Resources& aUsed, const jobs::Resources& aMaximum)
{
  const auto within = [](std::int64_t aAmount, std::int64_t aLimit) {
    return aLimit == 0 || aAmount <= aLimit;
  };
  return within(aUsed.mCpuMilli, aMaximum.mCpuMilli) &&
         within(aUsed.mMemoryMb, aMaximum.mMemoryMb) &&
         within(aUsed.mAccelerators, aMaximum.mAccelerators);
}

} // namespace

SchedulerLoad::SchedulerLoad(LoadOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mServers(mRandom, mJobs, mOptions.mSettings.mRemoteSlowdown)
  , mNextHandOver(AfterInterval(mNow, mOptions.mHandOverInterval))
  , mNextDrain(AfterInterval(mNow, mOptions.mDrainInterval))
  , mNextFailing(AfterInterval(mNow, mOptions.mFailingInterval))
  , mNextCrash(AfterInterval(mNow, mOptions.mCrashInterval))
{
  for (int i = 0; i < mOptions.mServers; ++i) {
    AddServer(i / kServersPerRack);
  }
  for (const auto& queue : mOptions.mQueues) {
    mNextJobAt.push_back(
      mNow +
      milliseconds(static_cast<std::int64_t>(
        1000 * mRandom.WaitSeconds(queue.mJobsPerSecond * mOptions.mLoad))));
  }
}

void SchedulerLoad::AddServer(int aRack)
{
  scheduler::ServerInfo info;
  info.mId = base::ServerId("s" + std::to_string(10000 + mServerNumber++));
  info.mAddress = "model";
  info.mService = "desk";
  info.mDataCentre = base::DataCentreId("dc" + std::to_string(aRack % 6));
  info.mRack = "r" + std::to_string(aRack);
  info.mCapacity = { 128000, 262144, 8 };
  info.mStartedMs = 1;
  mServers.Add(std::move(info));
}

void SchedulerLoad::Run()
{
  SetTerms();
  Restore();
  while (mNow < mStart + mOptions.mTraffic + mOptions.mFinish) {
    mNow += kTick;
    SubmitJobs();
    CancelJobs();
    ChangeServers();
    ChangeLeader();
    mServers.Advance(mNow);
    SetTerms();
    CarryOutLateStarts();
    if (mScheduler) {
      PassReports();
      Decide();
    }
    Observe();
  }
}

void SchedulerLoad::SubmitJobs()
{
  for (std::size_t i = 0; i < mOptions.mQueues.size(); ++i) {
    const auto& queue = mOptions.mQueues[i];
    while (mNextJobAt[i] <= mNow && mNow < mStart + mOptions.mTraffic) {
      mNextJobAt[i] += milliseconds(static_cast<std::int64_t>(
        1000 * mRandom.WaitSeconds(queue.mJobsPerSecond * mOptions.mLoad)));
      auto job = MakeJob(mRandom,
                         queue,
                         static_cast<int>(mJobs.size()),
                         mOptions.mServers / kServersPerRack);
      const auto id = job.mSpec.mId;
      if (job.mCancelled) {
        mCancelAt.emplace(
          mNow + milliseconds(500 + static_cast<int>(mRandom.Below(4000))), id);
      }
      if (mScheduler) {
        mScheduler->AddJob(mNow, job.mSpec);
      }
      mAcceptedAt[id] = mNow;
      mJobs.emplace(id, std::move(job));
      mJudge.OnReady(id, 0);
    }
  }
}

void SchedulerLoad::CancelJobs()
{
  while (!mCancelAt.empty() && mCancelAt.begin()->first <= mNow) {
    const auto id = mCancelAt.begin()->second;
    mCancelAt.erase(mCancelAt.begin());
    mCancelSent.insert(id);
    mJudge.OnJobOver(id);
    mOver.insert(id);
    if (mScheduler) {
      mScheduler->Cancel(id);
    }
  }
}

void SchedulerLoad::ChangeServers()
{
  LetServersFail();
  LetServersLeave();
  CrashServers();
}

void SchedulerLoad::LetServersFail()
{
  if (mNow >= mNextFailing) {
    mNextFailing = mNow + mOptions.mFailingInterval;
    mFailingUntil = mNow + mOptions.mFailingTime;
    for (Server& server : mServers.Servers()) {
      server.mFailing = mRandom.Chance(mOptions.mFailingShare);
    }
  }
  if (mNow < mFailingUntil) {
    mDisturbedAt = mNow;
  } else {
    for (Server& server : mServers.Servers()) {
      server.mFailing = false;
    }
  }
}

void SchedulerLoad::LetServersLeave()
{
  for (auto leaves = mLeavesAt.begin(); leaves != mLeavesAt.end();) {
    if (leaves->second > mNow) {
      ++leaves;
      continue;
    }
    Server& server = *mServers.Find(leaves->first);
    const auto rack = std::stoi(server.mInfo.mRack.substr(1));
    mServers.Leave(server);
    server.mListed = false;
    AddServer(rack);
    leaves = mLeavesAt.erase(leaves);
    UpdateServerList();
  }
  if (mNow < mNextDrain) {
    return;
  }
  mNextDrain = mNow + mOptions.mDrainInterval;
  Server& server = mServers.Servers()[mRandom.Below(mServers.Servers().size())];
  if (server.mUp && !server.mInfo.mDraining) {
    server.mInfo.mDraining = true;
    server.mInfo.mTimeLeft = mOptions.mDrainTime;
    mLeavesAt[server.mInfo.mId] = mNow + mOptions.mDrainTime;
    UpdateServerList();
  }
}

void SchedulerLoad::CrashServers()
{
  if (mNow >= mNextCrash) {
    mNextCrash = mNow + mOptions.mCrashInterval;
    mDisturbedAt = mNow;
    for (Server& server : mServers.Servers()) {
      if (server.mUp && !server.mInfo.mDraining &&
          mRandom.Chance(mOptions.mCrashShare)) {
        mServers.Leave(server);
        mUnlistedAt[server.mInfo.mId] = mNow + kEntryLifetime;
        mBackAt[server.mInfo.mId] = mNow + mOptions.mCrashTime;
      }
    }
  }
  for (auto entry = mUnlistedAt.begin(); entry != mUnlistedAt.end();) {
    if (entry->second > mNow) {
      ++entry;
      continue;
    }
    mServers.Find(entry->first)->mListed = false;
    entry = mUnlistedAt.erase(entry);
    UpdateServerList();
  }
  for (auto entry = mBackAt.begin(); entry != mBackAt.end();) {
    if (entry->second > mNow) {
      ++entry;
      continue;
    }
    mServers.Restart(*mServers.Find(entry->first));
    entry = mBackAt.erase(entry);
    UpdateServerList();
  }
}

void SchedulerLoad::ChangeLeader()
{
  if (mNow >= mNextHandOver) {
    mNextHandOver = mNow + mOptions.mHandOverInterval;
    if (mScheduler && !mOptions.mLeadersKilled) {
      mLeasesLeft = mScheduler->LeasesAtRelease(mNow, mJobs.size());
    }
    mScheduler.reset();
    mRestoreAt = mNow + mOptions.mRecoveryTime;
  }
  if (!mScheduler && mNow >= mRestoreAt) {
    Restore();
  }
}

void SchedulerLoad::Restore()
{
  mScheduler =
    std::make_unique<scheduler::Scheduler>(mOptions.mSettings, mOptions.mSink);
  for (const auto& [id, job] : mJobs) {
    mScheduler->AddJob(mAcceptedAt.at(id), job.mSpec);
  }
  mScheduler->SetAccountTerms(mTermsInForce);
  for (const auto& [key, value] : mStateRows) {
    mScheduler->RestoreState(key, *jobs::DecodeState(value));
  }
  for (const auto& [key, value] : mStepRows) {
    mScheduler->RestoreStep(jobs::JobOfKey(key),
                            *jobs::DecodeStep(value),
                            mLeasesLeft.value_or(mNow + kEarlierLeases));
  }
  mScheduler->Resume(mNow);
  for (const auto& id : mCancelSent) {
    mScheduler->Cancel(id);
  }
  mReportedAt.clear();
  UpdateServerList();
}

void SchedulerLoad::SetTerms()
{
  if (!mTermsInForce.empty() && mNow - mTermsSetAt < kTermsApplyTime) {
    return;
  }
  mTermsSetAt = mNow;
  auto terms = mOptions.mTerms ? mOptions.mTerms(Elapsed()) : GuaranteesOnly();
  if (terms == mTermsInForce) {
    return;
  }
  mEarlierTerms = { { mNow, std::exchange(mTermsInForce, std::move(terms)) } };
  if (mScheduler) {
    mScheduler->SetAccountTerms(mTermsInForce);
  }
}

void SchedulerLoad::Start(const scheduler::StartCommand& aCommand)
{
  if (!mRandom.Chance(mOptions.mLostAnswerShare)) {
    mScheduler->OnStart(mNow, aCommand, StartAndCheck(aCommand), false);
    return;
  }
  constexpr int kMinDelayMs = 2000;
  constexpr int kDelayRangeMs = 10000;
  if (mRandom.Chance(0.5)) {
    StartAndCheck(aCommand);
  } else {
    mLateStarts.emplace(
      mNow + milliseconds(kMinDelayMs +
                          static_cast<int>(mRandom.Below(kDelayRangeMs))),
      aCommand);
  }
  mScheduler->OnStart(mNow, aCommand, scheduler::StartResult::eUnknown, false);
}

void SchedulerLoad::CarryOutLateStarts()
{
  while (!mLateStarts.empty() && mLateStarts.begin()->first <= mNow) {
    const auto command = mLateStarts.begin()->second;
    mLateStarts.erase(mLateStarts.begin());
    if (mStopped.count({ command.mServer, command.mAttempt }) == 0) {
      StartAndCheck(command);
    }
  }
}

scheduler::StartResult SchedulerLoad::StartAndCheck(
  const scheduler::StartCommand& aCommand)
{
  const auto result = mServers.Start(mNow, aCommand);
  if (result != scheduler::StartResult::eStarted) {
    return result;
  }
  ++mStarts;
  const auto& spec = mJobs.at(aCommand.mAttempt.mTask.mJob).mSpec;
  auto maximum = mTermsInForce[spec.mAccount].mMaximum;
  for (const auto& [replacedAt, terms] : mEarlierTerms) {
    const auto earlier = terms.find(spec.mAccount);
    if (mNow - replacedAt < kTermsApplyTime && earlier != terms.end()) {
      maximum = Highest(maximum, earlier->second.mMaximum);
    }
  }
  auto used = mServers.RunningOf(spec.mAccount);
  const auto step = static_cast<std::size_t>(aCommand.mAttempt.mTask.mStep);
  used -= spec.mSteps[step].mPerTask;
  mStartsAboveMaximum += IsWithin(used, maximum) ? 0 : 1;
  return result;
}

void SchedulerLoad::UpdateServerList()
{
  if (!mScheduler) {
    return;
  }
  std::vector<scheduler::ServerInfo> infos;
  for (const Server& server : mServers.Servers()) {
    if (server.mListed) {
      infos.push_back(server.mInfo);
    }
  }
  mScheduler->UpdateServers(
    mNow, infos, mLeasesLeft.value_or(mNow + kEarlierLeases));
}

void SchedulerLoad::PassReports()
{
  for (Server& server : mServers.Servers()) {
    const auto& id = server.mInfo.mId;
    auto& reportedAt = mReportedAt[id];
    if (!server.mUp) {
      if (mNow - reportedAt >= kUnresponsiveAfter) {
        mScheduler->OnServerUnresponsive(mNow, id);
      }
      continue;
    }
    if (!server.mChanged && mNow - reportedAt < kReportInterval) {
      continue;
    }
    server.mChanged = false;
    reportedAt = mNow;
    const auto report = mServers.Report(mNow, server);
    for (const auto& completion : report.mCompletions) {
      RecordDone(completion);
    }
    mScheduler->OnReport(mNow, id, report, mNow);
    mScheduler->RecordLease(id, mNow + kLease);
  }
}

void SchedulerLoad::RecordDone(const scheduler::TaskCompletion& aCompletion)
{
  const auto& task = aCompletion.mAttempt.mTask;
  const auto& steps = mJobs.at(task.mJob).mSpec.mSteps;
  const auto& step = steps[static_cast<std::size_t>(task.mStep)];
  if (aCompletion.mEndReason != scheduler::TaskEndReason::eDone ||
      step.mLongRunning) {
    return;
  }
  auto& done = mDone[{ task.mJob, task.mStep }];
  const auto before = done.size();
  done.insert(task.mIndex);
  const auto all = static_cast<std::size_t>(step.mTaskCount);
  if (before == all || done.size() < all) {
    return;
  }
  // Each step of a mix depends on the one before.
  mJudge.OnOver(task.mJob, task.mStep);
  if (static_cast<std::size_t>(task.mStep) + 1 < steps.size() &&
      mOver.count(task.mJob) == 0) {
    mJudge.OnReady(task.mJob, task.mStep + 1);
  }
}

void SchedulerLoad::Decide()
{
  mScheduler->Schedule(mNow, 0);
  for (;;) {
    while (mScheduler->HasChanges()) {
      const auto batch = mScheduler->TakeBatch(1000);
      for (const auto& row : batch.mRows) {
        auto& rows = row.mTable == jobs::kStateTable ? mStateRows : mStepRows;
        rows[row.mKey] = row.mValue.value_or("");
      }
      mScheduler->OnStored(mNow, batch);
    }
    const auto commands = mScheduler->TakeCommands();
    if (commands.mStarts.empty() && commands.mStops.empty()) {
      break;
    }
    for (const auto& stop : commands.mStops) {
      mStopped.insert({ stop.mServer, stop.mAttempt });
      mServers.Stop(stop);
      mScheduler->OnStop(mNow, stop, true);
    }
    for (const auto& start : commands.mStarts) {
      Start(start);
    }
  }
  for (Server& server : mServers.Servers()) {
    if (!server.mCompletions.empty()) {
      ServerModel::Acknowledge(
        server, mScheduler->AcknowledgedCompletions(server.mInfo.mId));
    }
  }
}

void SchedulerLoad::Observe()
{
  if (mScheduler) {
    for (const auto& [id, job] : mScheduler->Jobs()) {
      if (job->IsFinal() && mOver.insert(id).second) {
        mJudge.OnJobOver(id);
      }
    }
  }
  const bool calm = mDisturbedAt == Time() || mNow - mDisturbedAt >= kCalmTime;
  mJudge.Observe(base::Time(Elapsed()), calm, mServers, mJobs);
}

int SchedulerLoad::Unfinished() const
{
  return static_cast<int>(mJobs.size() - mOver.size());
}

} // namespace flamingoloom::testing::scheduler_load
