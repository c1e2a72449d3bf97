// The instance that schedules: from winning the lead until losing it.
//
// Takes over the stored jobs, fences the servers with its epoch, and then
// turns the scheduler's changes into commits and its orders into calls. A lead
// lives for one epoch; losing it ends the object's work for good.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "flamingoloom/node/configuration.h"
#include "flamingoloom/node/election.h"
#include "flamingoloom/node/ports.h"
#include "flamingoloom/node/server_session.h"
#include "flamingoloom/node/table_watch.h"
#include "flamingoloom/scheduler/scheduler.h"

namespace flamingoloom::node {

struct LeaderTiming
{
  ServerSessionTiming mSession;
  // Between looks at the list of servers; the platform's bound for draining
  // is 2.5 s and more.
  base::Duration mServerListInterval = std::chrono::milliseconds(500);
  // Changes within this time are placed in one pass.
  base::Duration mPassDelay = std::chrono::milliseconds(2);
  // A pass is followed by a pause of this many times its own length, so that
  // orders and reports are handled in between on a small machine.
  int mPassCooldownFactor = 3;
  // At least one pass in this time, for work that waits for room or time.
  base::Duration mMaxPassInterval = std::chrono::milliseconds(250);
  // Leases are granted until this long after the end of the own lease at the
  // store, so that work survives while the store is away.
  base::Duration mLeaseBeyondLeadership = std::chrono::milliseconds(12000);
  // How long final jobs are kept for callers.
  base::Duration mFinalJobRetention = std::chrono::seconds(150);
  base::Duration mGarbageCollectionInterval = std::chrono::seconds(5);
  // A store that is slow by a factor of 92 takes 0.7 s for an answer.
  base::Duration mReadTimeout = std::chrono::milliseconds(1000);
  base::Duration mCommitTimeout = std::chrono::milliseconds(1000);
  // Pause after a commit that failed; it doubles up to mMaxCommitRetry, since
  // refused calls are priced too.
  base::Duration mCommitRetryDelay = std::chrono::milliseconds(50);
  base::Duration mMaxCommitRetryDelay = std::chrono::milliseconds(400);
};

class Leader : public std::enable_shared_from_this<Leader>
{
public:
  // aOnLost is called once if another instance has taken over.
  Leader(Ports aPorts,
         LeaderTiming aTiming,
         scheduler::SchedulerSettings aSettings,
         RowCondition aEpochCondition,
         std::int64_t aEpoch,
         std::function<base::Time()> aLeadershipValidUntil,
         std::function<void()> aOnLost);

  void Start();
  // Stops scheduling; calls in flight are not taken up any more.
  void Stop();

  void SetConfiguration(const Configuration& aConfiguration);
  void SetOutOfServiceDataCentres(
    const std::set<base::DataCentreId>& aDataCentres);

  // None until the stored jobs are taken over.
  std::optional<jobs::QueueLengths> QueueLengths() const;

private:
  enum class Phase
  {
    eLoading,
    eScheduling,
    eStopped,
  };

  void Load(std::size_t aTableIndex, const std::string& aFrom);
  void FinishLoading();
  void OnJobRows(const std::vector<Row>& aRows);
  void PollServerList(const std::string& aFrom,
                      std::vector<scheduler::ServerInfo> aEarlierPages);
  void ApplyServerList(const std::vector<scheduler::ServerInfo>& aServers);
  ServerSession* SessionFor(const base::ServerId& aServer);
  ServerSession::Events SessionEvents(const base::ServerId& aServer);
  void RequestPass();
  void RunPass();
  void CommitNext();
  void SendCommit(scheduler::Batch aBatch, bool aRetry);
  void OnCommit(const scheduler::Batch& aBatch,
                bool aRetry,
                base::Expected<CommitResult> aResult);
  bool IsOwnEarlierWrite(const scheduler::Batch& aBatch,
                         const CommitResult& aResult,
                         std::int64_t& aVersion) const;
  void SendCommands();
  void RequestReports();
  void LoseLeadership(const char* aReason);
  void CollectGarbage();
  void CommitRemovals(std::vector<Transaction> aTransactions,
                      std::size_t aNext);
  std::int64_t StoreNowMs() const;
  // Every lease that an earlier epoch granted has ended by then.
  base::Time EarlierLeasesExpireBy() const;

  const Ports mPorts;
  const LeaderTiming mTiming;
  const RowCondition mEpochCondition;
  const std::int64_t mEpoch;
  const std::function<base::Time()> mLeadershipValidUntil;
  const std::function<void()> mOnLost;
  Phase mPhase = Phase::eLoading;
  base::Time mStartedAt;
  base::Duration mCommitBackoff;
  scheduler::Scheduler mScheduler;
  std::map<base::ServerId, std::shared_ptr<ServerSession>> mSessions;
  std::shared_ptr<TableWatch> mJobWatch;
  // Rows read while loading.
  std::vector<Row> mLoadedStates;
  std::vector<Row> mLoadedSteps;
  // Rows of jobs that an interrupted cleaning has removed.
  std::vector<scheduler::RowChange> mOrphanedRows;
  // Cancels of jobs that are not known, and since when.
  std::map<std::string, base::Time> mUnmatchedCancels;
  // What a cleaning did not get done.
  std::vector<Transaction> mPendingRemovals;
  std::int64_t mStoreMs = 0;
  base::Time mStoreMsReadAt;
  bool mCommitting = false;
  bool mPassPending = false;
  base::Time mLastPass;
  base::Duration mPassCooldown{ 0 };
};

} // namespace flamingoloom::node
