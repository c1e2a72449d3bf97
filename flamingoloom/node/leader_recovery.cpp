// Recovery after a change of leader: restores the stored jobs, and then adds
// new ones as they are stored.
#include "flamingoloom/node/leader.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "flamingoloom/jobs/records.h"

namespace flamingoloom::node {

using base::Time;
using std::chrono::milliseconds;

namespace {

constexpr const char* kLoadedTables[] = { jobs::kStateTable,
                                          jobs::kStepTable,
                                          jobs::kBatchTable };
constexpr auto kReadRetryDelay = milliseconds(150);
// Far above the latency objective of any job.
constexpr base::Duration kMaxJobAge = std::chrono::minutes(10);

bool HasAssignedTask(const jobs::StepRecord& aStep)
{
  return std::any_of(aStep.mTasks.begin(),
                     aStep.mTasks.end(),
                     [](const jobs::TaskRecord& aTask) {
                       return aTask.mOutcome == jobs::TaskOutcome::eAssigned;
                     });
}

} // namespace

void Leader::Load(std::size_t aTableIndex, const std::string& aFrom)
{
  mPorts.mStore->Read(
    kLoadedTables[aTableIndex],
    jobs::kSchedulerPartition,
    aFrom,
    "",
    mTiming.mReadTimeout,
    [self = shared_from_this(), aTableIndex, aFrom](
      base::Expected<Rows> aPage) {
      if (self->mPhase != Phase::eLoading) {
        return;
      }
      if (!aPage) {
        self->mPorts.mLoop->After(kReadRetryDelay, [self, aTableIndex, aFrom] {
          if (self->mPhase == Phase::eLoading) {
            self->Load(aTableIndex, aFrom);
          }
        });
        return;
      }
      self->mStoreMs = aPage->mStoreNowMs;
      self->mStoreMsReadAt = self->mPorts.mLoop->Now();
      const auto next =
        aPage->mRows.empty() ? "" : aPage->mRows.back().mKey + '\0';
      const std::string table = kLoadedTables[aTableIndex];
      if (table == jobs::kBatchTable) {
        self->mBatchVersion =
          aPage->mRows.empty() ? 0 : aPage->mRows.front().mVersion;
      } else if (table == jobs::kStateTable) {
        self->LoadStates(aPage->mRows);
      } else {
        self->LoadSteps(std::move(aPage->mRows));
      }
      if (aPage->mMore && !next.empty()) {
        self->Load(aTableIndex, next);
      } else if (aTableIndex + 1 < std::size(kLoadedTables)) {
        self->Load(aTableIndex + 1, "");
      } else {
        self->FinishLoading();
      }
    });
}

void Leader::LoadStates(const std::vector<Row>& aRows)
{
  for (const auto& row : aRows) {
    const auto state = jobs::DecodeState(row.mValue.value_or(""));
    if (state) {
      mLoadedStates.insert_or_assign(row.mKey, *state);
    } else {
      mPorts.mLog->Write(
        "row_unreadable",
        { { "key", row.mKey }, { "error", state.error().ToString() } });
    }
  }
}

void Leader::LoadSteps(std::vector<Row> aRows)
{
  // The rows of one job follow one another.
  for (auto& row : aRows) {
    if (!mStepsOfLastJob.empty() &&
        jobs::JobOfKey(mStepsOfLastJob.back().mKey) !=
          jobs::JobOfKey(row.mKey)) {
      FinishLoadingSteps();
    }
    mStepsOfLastJob.push_back(std::move(row));
  }
}

void Leader::FinishLoadingSteps()
{
  if (mStepsOfLastJob.empty()) {
    return;
  }
  const auto job = jobs::JobOfKey(mStepsOfLastJob.front().mKey);
  std::vector<std::pair<int, int>> keys;
  bool ended = HasEndedLongAgo(job);
  for (auto row = mStepsOfLastJob.begin();
       ended && row != mStepsOfLastJob.end();
       ++row) {
    const auto step = jobs::DecodeStep(row->mValue.value_or(""));
    ended = step && !HasAssignedTask(*step);
    if (ended) {
      keys.emplace_back(step->mOccurrence, step->mStep);
    }
  }
  if (ended) {
    mEndedStepRows.emplace(job, std::move(keys));
  } else {
    mUnfinishedJobs.insert(job);
    mLoadedSteps.insert(mLoadedSteps.end(),
                        std::make_move_iterator(mStepsOfLastJob.begin()),
                        std::make_move_iterator(mStepsOfLastJob.end()));
  }
  mStepsOfLastJob.clear();
}

bool Leader::HasEndedLongAgo(const std::string& aJob) const
{
  const auto state = mLoadedStates.find(aJob);
  return state != mLoadedStates.end() && jobs::IsFinal(state->second.mState) &&
         state->second.mEndedAtStoreMs <
           StoreNowMs() - base::ToMilliseconds(mTiming.mFinalTaskRetention);
}

void Leader::FinishLoading()
{
  FinishLoadingSteps();
  // Jobs are read last, so that the job of each state that was read is found;
  // only an interrupted garbage collection leaves states without a job.
  std::weak_ptr<Leader> weak = shared_from_this();
  mJobWatch = std::make_shared<TableWatch>(
    mPorts,
    jobs::kJobTable,
    jobs::JobPartitions(),
    TableWatchTiming{},
    [weak](std::vector<Row> aRows) {
      if (const auto self = weak.lock()) {
        self->OnJobRows(std::move(aRows));
      }
    },
    [weak](Row& aRow) {
      if (const auto self = weak.lock()) {
        self->OnJobRowRead(aRow);
      }
    });
  mJobWatch->Start();
}

void Leader::OnJobRowRead(Row& aRow)
{
  if (!aRow.mValue || jobs::IsCancelKey(aRow.mKey)) {
    return;
  }
  if (mScheduler.IsKnownJob(aRow.mKey)) {
    aRow.mValue = "";
    return;
  }
  if (mPhase != Phase::eLoading || mUnfinishedJobs.count(aRow.mKey) > 0 ||
      !HasEndedLongAgo(aRow.mKey)) {
    return;
  }
  const auto job = jobs::DecodeJob(aRow.mKey, *aRow.mValue);
  if (!job) {
    return;
  }
  scheduler::EndedJob ended{ admission::ClassOf(job->mAccount,
                                                job->mRules.mPriority),
                             job->mAcceptedMs,
                             mLoadedStates.at(aRow.mKey).mEndedAtStoreMs,
                             false,
                             {} };
  const auto steps = mEndedStepRows.find(aRow.mKey);
  if (steps != mEndedStepRows.end()) {
    ended.mStepRows = steps->second;
  }
  mScheduler.AddEndedJob(aRow.mKey, std::move(ended));
  aRow.mValue = "";
}

void Leader::OnJobRows(std::vector<Row> aRows)
{
  if (mPhase == Phase::eStopped) {
    return;
  }
  const Time now = mPorts.mLoop->Now();
  for (auto& row : aRows) {
    if (!row.mValue || jobs::IsCancelKey(row.mKey) ||
        mScheduler.IsKnownJob(row.mKey)) {
      continue;
    }
    auto job = jobs::DecodeJob(row.mKey, *row.mValue);
    // The memory of the values and of the decoded jobs would add up.
    std::string().swap(*row.mValue);
    if (!job) {
      mPorts.mLog->Write(
        "row_unreadable",
        { { "key", row.mKey }, { "error", job.error().ToString() } });
      continue;
    }
    mPorts.mLog->Write(
      "job_seen",
      { { "job", row.mKey },
        { "queue", job->mRules.mQueue },
        { "priority", std::to_string(job->mRules.mPriority) },
        { "estimate_ms",
          std::to_string(base::ToMilliseconds(job->LongestChain())) },
        { "version", std::to_string(row.mVersion) } });
    // A new leader counts the job's age from its acceptance, not from the
    // change of leader. The age is clamped since wall clocks may jump.
    const auto age =
      std::clamp<std::int64_t>(mPorts.mLoop->UnixMs() - job->mAcceptedMs,
                               0,
                               base::ToMilliseconds(kMaxJobAge));
    mScheduler.AddJob(now - milliseconds(age), std::move(*job));
  }
  if (mPhase == Phase::eLoading) {
    RestoreRows(now, aRows);
    mPhase = Phase::eScheduling;
    mRestored = true;
    PollServerList();
    CollectGarbage();
  }
  for (const auto& row : aRows) {
    if (row.mValue && jobs::IsCancelKey(row.mKey)) {
      OnCancellation(row);
    }
  }
  RequestPass();
}

void Leader::RestoreRows(Time aNow, const std::vector<Row>& aRows)
{
  // The state and step rows of a job that cannot be decoded are kept.
  std::set<std::string> stored;
  for (const auto& row : aRows) {
    stored.insert(row.mKey);
  }
  const auto addOrphan = [this](const char* aTable, const std::string& aKey) {
    mOrphanedRows.push_back({ aTable, aKey, std::nullopt, std::nullopt });
  };
  for (const auto& [id, state] : mLoadedStates) {
    if (!mScheduler.IsEndedJob(id) && !mScheduler.RestoreState(id, state) &&
        stored.count(id) == 0) {
      addOrphan(jobs::kStateTable, id);
    }
  }
  for (const auto& [id, keys] : mEndedStepRows) {
    if (!mScheduler.IsEndedJob(id) && stored.count(id) == 0) {
      for (const auto& [occurrence, step] : keys) {
        addOrphan(jobs::kStepTable, jobs::StepKey(id, occurrence, step));
      }
    }
  }
  const auto steps = mLoadedSteps.size();
  for (auto& row : mLoadedSteps) {
    const auto id = jobs::JobOfKey(row.mKey);
    const auto step = jobs::DecodeStep(row.mValue.value_or(""));
    row.mValue.reset();
    if (!step) {
      mRowsUnreadable = true;
      mPorts.mLog->Write(
        "row_unreadable",
        { { "key", row.mKey }, { "error", step.error().ToString() } });
    } else if (!mScheduler.RestoreStep(id, *step, mEarlierLeases) &&
               stored.count(id) == 0) {
      addOrphan(jobs::kStepTable, row.mKey);
    }
  }
  mScheduler.Resume(aNow);
  mPorts.mLog->Write(
    "jobs_loaded",
    { { "jobs", std::to_string(mScheduler.Jobs().size()) },
      { "ended", std::to_string(mScheduler.EndedJobs().size()) },
      { "steps", std::to_string(steps) },
      { "after_ms",
        std::to_string(base::ToMilliseconds(aNow - mStartedAt)) } });
  mLoadedStates.clear();
  mLoadedSteps = {};
  mEndedStepRows.clear();
  mUnfinishedJobs.clear();
}

void Leader::OnCancellation(const Row& aRow)
{
  const auto job = jobs::JobOfKey(aRow.mKey);
  if (mScheduler.Cancel(job)) {
    return;
  }
  const base::AccountId account(*aRow.mValue);
  const auto [entry, added] = mUnmatchedCancels.try_emplace(
    job, UnmatchedCancel{ mPorts.mLoop->Now(), account });
  if (added) {
    mCancelMemory.Add({ account, false }, admission::kCancellationMemory);
  }
}

} // namespace flamingoloom::node
