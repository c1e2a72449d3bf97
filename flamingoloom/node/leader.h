// Schedules the stored jobs while this instance is the leader.
//
// Restores the stored jobs, fences the servers with its epoch, and then commits
// the scheduler's changes to the store and sends its commands to the servers. A
// Leader serves one epoch and does no more work once leadership is lost.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "flamingoloom/node/configuration.h"
#include "flamingoloom/node/election.h"
#include "flamingoloom/node/lease_bounds.h"
#include "flamingoloom/node/ports.h"
#include "flamingoloom/node/server_session.h"
#include "flamingoloom/node/table_watch.h"
#include "flamingoloom/scheduler/scheduler.h"

namespace flamingoloom::node {

struct LeaderTiming
{
  ServerSessionTiming mSession;
  // Interval between reads of the server list. The platform's time limit for
  // draining a server is at least 2.5 s.
  base::Duration mServerListInterval = std::chrono::milliseconds(500);
  // Changes within this time are handled in one scheduling pass.
  base::Duration mPassDelay = std::chrono::milliseconds(5);
  // Minimum delay before the next scheduling pass, as a multiple of the
  // duration of the last one, so that commands and reports are handled in
  // between on a small machine.
  int mPassCooldownFactor = 3;
  // A scheduling pass runs at least this often, for work that waits for
  // capacity or for its due time.
  base::Duration mMaxPassInterval = std::chrono::milliseconds(250);
  // Task leases may extend this far beyond the expiry of the leader's own lease
  // in the store, so that tasks survive while the store is unavailable.
  base::Duration mLeaseBeyondLeadership = std::chrono::milliseconds(12000);
  // How long jobs in a final state are kept for callers.
  base::Duration mFinalJobRetention = std::chrono::seconds(150);
  // How long their steps and tasks are kept. A start may be carried out some
  // seconds late, and its task may then run until its lease ends, at most 12 s
  // after the last one that was granted.
  base::Duration mFinalTaskRetention = std::chrono::seconds(20);
  base::Duration mGarbageCollectionInterval = std::chrono::seconds(5);
  // Interval while there is more to remove: 160 jobs a second, more than any
  // site submits.
  base::Duration mGarbageBatchInterval = std::chrono::milliseconds(250);
  // A store that is slow by a factor of 92 responds after 0.7 s.
  base::Duration mReadTimeout = std::chrono::milliseconds(1000);
  base::Duration mCommitTimeout = std::chrono::milliseconds(1000);
  // Memory of the commands that are being sent to servers. A command to a
  // server that does not respond counts for up to 1.8 s.
  scheduler::CommandBudget mCommandBudget{ std::int64_t{ 10 } * 1024 * 1024,
                                           std::int64_t{ 2560 } * 1024 };
  // Delay after a failed commit; it doubles up to mMaxCommitRetryDelay, since
  // the platform charges for rejected calls too.
  base::Duration mCommitRetryDelay = std::chrono::milliseconds(50);
  base::Duration mMaxCommitRetryDelay = std::chrono::milliseconds(400);
};

class Leader : public std::enable_shared_from_this<Leader>
{
public:
  // aLeadershipValidUntil returns the expiry of the instance's own lease.
  // aOnLost is called once when leadership is lost.
  Leader(Ports aPorts,
         LeaderTiming aTiming,
         scheduler::SchedulerSettings aSettings,
         RowCondition aEpochCondition,
         std::int64_t aEpoch,
         std::function<base::Time()> aLeadershipValidUntil,
         std::function<void()> aOnLost);

  void Start();
  // Stops scheduling. Results of calls in flight are ignored.
  void Stop();

  // The instance's own lease was renewed.
  void OnLeadershipRenewed();

  void SetConfiguration(const Configuration& aConfiguration);
  // Until when the configuration may be used to start work of accounts with a
  // maximum.
  void SetConfigurationValidUntil(base::Time aUntil);
  void SetOutOfServiceDataCentres(
    const std::set<base::DataCentreId>& aDataCentres);

  // nullopt until the stored jobs are restored, and after Stop.
  std::optional<jobs::QueueLengths> QueueLengths() const;
  // The memory of all jobs, and of cancellations of unknown ones; nullopt as
  // above.
  std::optional<admission::MemoryUse> Memory() const;

  // The row kLeaseBoundsKey that is to be stored with the next renewal; nullopt
  // if the stored one still holds. aToStoreMs returns what the store's clock
  // shows at a time at the latest. The row is to be sent once
  // OnLeaseBoundsSent has returned.
  using ToStoreMs = std::function<std::optional<std::int64_t>(base::Time)>;
  std::optional<LeaseBounds> ChangedLeaseBounds(const ToStoreMs& aToStoreMs);
  void OnLeaseBoundsSent(const LeaseBounds& aBounds);
  void OnLeaseBoundsStored(const LeaseBounds& aBounds);
  // The row to store when leadership is released. aInherited is what the
  // predecessor left; it holds until this leader has read it, as no lease is
  // granted before. Stop must have been called: no lease may be granted any
  // more.
  std::optional<LeaseBounds> FinalLeaseBounds(
    const ToStoreMs& aToStoreMs,
    const std::optional<LeaseBounds>& aInherited) const;

  const scheduler::FleetSummary& Fleet() const { return mScheduler.Summary(); }

private:
  enum class Phase
  {
    eLoading,
    eScheduling,
    eStopped,
  };

  // Reads what the predecessor has left about leases, then loads the tables.
  void LoadLeaseBounds();
  void Load(std::size_t aTableIndex, const std::string& aFrom);
  // Take over a page of the tables of states and steps.
  void LoadStates(const std::vector<Row>& aRows);
  void LoadSteps(std::vector<Row> aRows);
  // Decides about the rows of steps of one job that were read last: of a job
  // that has ended, only their keys are kept.
  void FinishLoadingSteps();
  // Whether the state that was read is final, and its end so long ago that no
  // start of the job can still be carried out.
  bool HasEndedLongAgo(const std::string& aJob) const;
  void FinishLoading();
  // Frees the value of a row of the table of jobs that is not needed any more:
  // the job is known, or has ended and is taken over from it.
  void OnJobRowRead(Row& aRow);
  void OnJobRows(std::vector<Row> aRows);
  // Restores the states and steps that were read while loading. aRows are those
  // of the table of jobs.
  void RestoreRows(base::Time aNow, const std::vector<Row>& aRows);
  void OnCancellation(const Row& aRow);
  // Reads what has changed in the server list, or all of it if
  // mServerListVersion is 0, and does so again after an interval.
  void PollServerList();
  // Reads the list from the key aFrom on.
  void ReadServerPage(const std::string& aFrom);
  void PollServerListLater();
  // Takes over changed entries into mListedServers.
  void ApplyServerRows(const Rows& aRows);
  // Logs an entry of the server list that cannot be decoded, once a version.
  void LogUnreadableServer(const Row& aRow, const base::Error& aError);
  // Passes mListedServers to the scheduler.
  void ApplyServerList();
  ServerSession* SessionFor(const base::ServerId& aServer);
  // Returns a token that is higher than all that this leader has used, or gives
  // up leadership if there is none.
  FencingToken NextToken();
  ServerSession::Events SessionEvents(const base::ServerId& aServer);
  // Schedules a pass unless one is pending.
  void RequestPass();
  void RunPass();
  void CommitNext();
  void SendCommit(scheduler::Batch aBatch, bool aRetry);
  void OnCommit(const scheduler::Batch& aBatch,
                bool aRetry,
                base::Expected<CommitResult> aResult);
  // If the store rejected the current batch only because an earlier call, whose
  // outcome was unknown, has applied it: the version of its rows.
  std::optional<std::int64_t> VersionOfEarlierCall(
    const CommitResult& aResult) const;
  // Identifies the current batch among those of all epochs.
  std::string BatchName() const;
  // Sends the commands of the scheduler that may be sent, or keeps them until
  // the lease is renewed, or earlier ones have ended.
  void SendCommands();
  void OnCommandEnded();
  // Logs once how long it took until the listed servers had responded to this
  // epoch, so that tasks may start on them.
  void LogFencing();
  void RequestReports();
  void LoseLeadership(const char* aReason);
  void CollectGarbage();
  // Commits aTransactions from the index aNext on, then schedules the next
  // garbage collection.
  void CommitRemovals(std::vector<Transaction> aTransactions,
                      std::size_t aNext);
  std::int64_t StoreNowMs() const;
  // Time by which every lease that an earlier epoch granted has expired if
  // nothing is known of its end.
  base::Time EarlierLeasesExpireBy() const;

  const Ports mPorts;
  const LeaderTiming mTiming;
  const RowCondition mEpochCondition;
  const std::int64_t mEpoch;
  const std::function<base::Time()> mLeadershipValidUntil;
  const std::function<void()> mOnLost;
  Phase mPhase = Phase::eLoading;
  // Nothing starts before it is known what accounts may have running.
  bool mHasConfiguration = false;
  base::Time mStartedAt;
  bool mFencingLogged = false;
  base::Duration mCommitBackoff;
  scheduler::EarlierLeases mEarlierLeases;
  bool mLeaseBoundsLoaded = false;
  // Some of the stored steps could not be decoded.
  bool mRowsUnreadable = false;
  // The stored jobs are restored, so all attempts are known.
  bool mRestored = false;
  // The row of lease bounds that is stored, and the servers of all rows that
  // may be stored. These get no lease.
  std::optional<LeaseBounds> mStoredLeaseBounds;
  std::set<base::ServerId> mServersWithoutLease;
  // Generation of the last token. One counter serves all servers, since a
  // server whose entry vanishes and returns gets a new session.
  std::int64_t mTokenGeneration = 0;
  scheduler::Scheduler mScheduler;
  std::map<base::ServerId, std::shared_ptr<ServerSession>> mSessions;
  // The decoded entries of the server list, by key, as of this version of the
  // store; 0 if the list has to be read in full.
  std::map<std::string, scheduler::ServerInfo> mListedServers;
  std::int64_t mServerListVersion = 0;
  // When the scheduler last got the list.
  base::Time mServerListAppliedAt;
  // Entries that were logged as unreadable, with their versions, and the number
  // of rows without a readable key.
  std::map<std::string, std::int64_t> mUnreadableServers;
  int mUnreadableRows = 0;
  std::shared_ptr<TableWatch> mJobWatch;
  // What was read while loading: states by job; the rows of steps of the job
  // that was read last, and of those that have not ended; by job the rows of
  // steps of those that have ended.
  std::map<std::string, jobs::StateRecord> mLoadedStates;
  std::vector<Row> mStepsOfLastJob;
  std::vector<Row> mLoadedSteps;
  std::set<std::string> mUnfinishedJobs;
  std::map<std::string, std::vector<std::pair<int, int>>> mEndedStepRows;
  // Rows of states and steps whose jobs an interrupted garbage collection has
  // removed.
  std::vector<scheduler::RowChange> mOrphanedRows;
  // A cancellation marker of an unknown job.
  struct UnmatchedCancel
  {
    base::Time mObservedAt;
    base::AccountId mAccount;
  };
  std::map<std::string, UnmatchedCancel> mUnmatchedCancels;
  admission::MemoryUse mCancelMemory;
  // The last garbage collection found ended jobs to remove.
  bool mGarbageLeft = false;
  // Transactions of the last garbage collection that were not committed.
  std::vector<Transaction> mPendingRemovals;
  std::int64_t mStoreMs = 0;
  base::Time mStoreMsReadAt;
  std::optional<CommandsInFlight> mCommandsInFlight;
  bool mSendPending = false;
  bool mCommitting = false;
  // Number of this epoch's current batch, and the version of the row kBatchKey.
  std::uint64_t mBatchNumber = 0;
  std::int64_t mBatchVersion = 0;
  bool mPassPending = false;
  base::Time mLastPass;
  base::Duration mPassCooldown{ 0 };
};

} // namespace flamingoloom::node
