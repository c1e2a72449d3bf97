// Garbage collection: removes the rows of jobs that have been in a final state
// for longer than LeaderTiming::mFinalJobRetention.
#include "flamingoloom/node/leader.h"

#include <algorithm>
#include <utility>

#include "flamingoloom/jobs/records.h"

namespace flamingoloom::node {

void Leader::CollectGarbage()
{
  if (mPhase != Phase::eScheduling) {
    return;
  }
  if (!mPendingRemovals.empty()) {
    CommitRemovals(std::exchange(mPendingRemovals, {}), 0);
    return;
  }
  mScheduler.CompactEndedJobs(
    StoreNowMs() - base::ToMilliseconds(mTiming.mFinalTaskRetention));
  std::map<std::string, std::vector<scheduler::RowChange>> jobRows;
  auto rows = std::move(mOrphanedRows);
  mOrphanedRows.clear();
  const auto remove = [](std::vector<scheduler::RowChange>& aRows,
                         const char* aTable,
                         const std::string& aKey) {
    aRows.push_back({ aTable, aKey, std::nullopt, std::nullopt });
  };
  const auto expiredJobs = mScheduler.TakeExpiredJobs(
    StoreNowMs() - base::ToMilliseconds(mTiming.mFinalJobRetention));
  // One call returns only some, and jobs may end faster than that.
  mGarbageLeft = !expiredJobs.empty();
  for (const auto& expired : expiredJobs) {
    auto& rowsOfPartition = jobRows[jobs::PartitionOfJob(expired.mJob)];
    remove(rowsOfPartition, jobs::kJobTable, expired.mJob);
    if (expired.mCancelled) {
      remove(rowsOfPartition, jobs::kJobTable, jobs::CancelKey(expired.mJob));
    }
    for (const auto& key : expired.mStepKeys) {
      remove(rows, jobs::kStepTable, key);
    }
    remove(rows, jobs::kStateTable, expired.mJob);
  }
  for (auto cancel = mUnmatchedCancels.begin();
       cancel != mUnmatchedCancels.end();) {
    if (mPorts.mLoop->Now() - cancel->second.mObservedAt <
        mTiming.mFinalJobRetention) {
      ++cancel;
      continue;
    }
    remove(jobRows[jobs::PartitionOfJob(cancel->first)],
           jobs::kJobTable,
           jobs::CancelKey(cancel->first));
    mCancelMemory.Add({ cancel->second.mAccount, false },
                      -admission::kCancellationMemory);
    cancel = mUnmatchedCancels.erase(cancel);
  }
  // Job rows are removed before state rows: a job without a state row counts as
  // queued and would run again.
  std::vector<Transaction> transactions;
  transactions.reserve(jobRows.size() + 1);
  for (auto& [partition, changes] : jobRows) {
    transactions.push_back({ partition, {}, std::move(changes) });
  }
  constexpr std::ptrdiff_t kMaxRowsPerTransaction = 90;
  for (auto from = rows.begin(); from != rows.end();) {
    const auto to = from + std::min(kMaxRowsPerTransaction, rows.end() - from);
    transactions.push_back(
      { jobs::kSchedulerPartition, { mEpochCondition }, { from, to } });
    from = to;
  }
  CommitRemovals(std::move(transactions), 0);
}

void Leader::CommitRemovals(std::vector<Transaction> aTransactions,
                            std::size_t aNext)
{
  if (aNext == aTransactions.size()) {
    mPorts.mLoop->After(
      mGarbageLeft ? mTiming.mGarbageBatchInterval
                   : mTiming.mGarbageCollectionInterval,
      [self = shared_from_this()] { self->CollectGarbage(); });
    return;
  }
  const Transaction transaction = aTransactions[aNext];
  mPorts.mStore->Commit(
    transaction,
    mTiming.mCommitTimeout,
    [self = shared_from_this(), transactions = std::move(aTransactions), aNext](
      const base::Expected<CommitResult>& aResult) mutable {
      if (self->mPhase != Phase::eScheduling) {
        return;
      }
      if (!aResult) {
        self->mPorts.mLog->Write("clean_failed",
                                 { { "error", aResult.error().ToString() } });
        self->mPendingRemovals.assign(transactions.begin() +
                                        static_cast<std::ptrdiff_t>(aNext),
                                      transactions.end());
        transactions.clear();
        aNext = 0;
      } else {
        ++aNext;
      }
      self->CommitRemovals(std::move(transactions), aNext);
    });
}

} // namespace flamingoloom::node
