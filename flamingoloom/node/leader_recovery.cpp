// Recovery after a change of leader: restores the stored jobs, and then adds
// new ones as they are stored.
#include "flamingoloom/node/leader.h"

#include <algorithm>
#include <set>

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
      if (kLoadedTables[aTableIndex] == jobs::kBatchTable) {
        self->mBatchVersion =
          aPage->mRows.empty() ? 0 : aPage->mRows.front().mVersion;
      } else {
        auto& rows =
          aTableIndex == 0 ? self->mLoadedStates : self->mLoadedSteps;
        rows.insert(rows.end(), aPage->mRows.begin(), aPage->mRows.end());
      }
      if (aPage->mMore && !aPage->mRows.empty()) {
        self->Load(aTableIndex, aPage->mRows.back().mKey + '\0');
      } else if (aTableIndex + 1 < std::size(kLoadedTables)) {
        self->Load(aTableIndex + 1, "");
      } else {
        self->FinishLoading();
      }
    });
}

void Leader::FinishLoading()
{
  // Jobs are read last, so that the job of each state that was read is found;
  // only an interrupted garbage collection leaves states without a job.
  std::weak_ptr<Leader> weak = shared_from_this();
  mJobWatch =
    std::make_shared<TableWatch>(mPorts,
                                 jobs::kJobTable,
                                 jobs::JobPartitions(),
                                 TableWatchTiming{},
                                 [weak](const std::vector<Row>& aRows) {
                                   if (const auto self = weak.lock()) {
                                     self->OnJobRows(aRows);
                                   }
                                 });
  mJobWatch->Start();
}

void Leader::OnJobRows(const std::vector<Row>& aRows)
{
  if (mPhase == Phase::eStopped) {
    return;
  }
  const Time now = mPorts.mLoop->Now();
  for (const auto& row : aRows) {
    if (!row.mValue || jobs::IsCancelKey(row.mKey)) {
      continue;
    }
    auto job = jobs::DecodeJob(row.mKey, *row.mValue);
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
    // The state and step rows of a job that cannot be decoded are kept.
    std::set<std::string> stored;
    for (const auto& row : aRows) {
      stored.insert(row.mKey);
    }
    for (const auto& row : mLoadedStates) {
      const auto state = jobs::DecodeState(row.mValue.value_or(""));
      if (state && !mScheduler.RestoreState(row.mKey, *state) &&
          stored.count(row.mKey) == 0) {
        mOrphanedRows.push_back(
          { jobs::kStateTable, row.mKey, std::nullopt, std::nullopt });
      }
    }
    for (const auto& row : mLoadedSteps) {
      const auto step = jobs::DecodeStep(row.mValue.value_or(""));
      if (step) {
        if (!mScheduler.RestoreStep(
              jobs::JobOfKey(row.mKey), *step, mEarlierLeases) &&
            stored.count(jobs::JobOfKey(row.mKey)) == 0) {
          mOrphanedRows.push_back(
            { jobs::kStepTable, row.mKey, std::nullopt, std::nullopt });
        }
      } else {
        mRowsUnreadable = true;
        mPorts.mLog->Write(
          "row_unreadable",
          { { "key", row.mKey }, { "error", step.error().ToString() } });
      }
    }
    mScheduler.Resume(now);
    mPorts.mLog->Write(
      "jobs_loaded",
      { { "jobs", std::to_string(mScheduler.Jobs().size()) },
        { "steps", std::to_string(mLoadedSteps.size()) },
        { "after_ms",
          std::to_string(base::ToMilliseconds(now - mStartedAt)) } });
    mLoadedStates.clear();
    mLoadedSteps.clear();
    mPhase = Phase::eScheduling;
    mRestored = true;
    PollServerList();
    CollectGarbage();
  }
  for (const auto& row : aRows) {
    if (row.mValue && jobs::IsCancelKey(row.mKey) &&
        !mScheduler.Cancel(jobs::JobOfKey(row.mKey))) {
      mUnmatchedCancels.emplace(jobs::JobOfKey(row.mKey), now);
    }
  }
  RequestPass();
}

} // namespace flamingoloom::node
