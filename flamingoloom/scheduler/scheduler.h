// The scheduler decides which task runs on which backend server, and when.
//
// Only the leader among the instances schedules. The scheduler is a state
// machine without clock or network. Its inputs are jobs, the entries of
// servers, reports of servers and their responses to commands; its outputs are
// rows to store and commands to send:
//
//   scheduler.AddJob(now, job);
//   scheduler.Schedule(now, unixMs);
//   auto batch = scheduler.TakeBatch(storeMs);  // store it, then
//   scheduler.OnStored(now, batch);
//   for (auto& start : scheduler.TakeCommands().mStarts) { ... }
//
// Three rules prevent a task from running twice:
//  1. An assignment, with the attempt number and the server, is stored before
//     the start command is sent, on condition that the leader's epoch is still
//     current.
//  2. An attempt is abandoned only when its server has reported that it ended,
//     or that it is absent while no earlier command can still arrive, or when
//     every lease at that server has expired.
//  3. A completion is stored before it is acknowledged to the server.
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/scheduler/account_limits.h"
#include "flamingoloom/scheduler/account_rates.h"
#include "flamingoloom/scheduler/earlier_leases.h"
#include "flamingoloom/scheduler/fleet.h"
#include "flamingoloom/scheduler/job_progress.h"
#include "flamingoloom/scheduler/placement.h"
#include "flamingoloom/scheduler/scheduler_output.h"
#include "flamingoloom/scheduler/server.h"
#include "flamingoloom/scheduler/urgent_demand.h"
#include "flamingoloom/scheduler/waiting_order.h"
#include "flamingoloom/scheduler/waiting_report.h"

namespace flamingoloom::scheduler {

struct SchedulerSettings
{
  // Factor by which the run time of a task grows on a rack other than that of
  // its data.
  double mRemoteSlowdown = 3.0;
  // Maximum time that a server takes to stop a task.
  base::Duration mMaxStopTime = std::chrono::milliseconds(200);
  // The longest that a lease lasts from the moment at which a server takes it,
  // whatever expiry a leader has named.
  base::Duration mMaxServerLease = std::chrono::milliseconds(10205);
  // Share by which a gang may exceed its account's maximum if it could not run
  // otherwise.
  double mLimitTolerance = 0.0;
  // Time over which an account may spread the jobs of its rate.
  base::Duration mRateWindow = std::chrono::seconds(5);
};

class Scheduler
{
public:
  using DecisionSink = std::function<void(const Decision&)>;

  Scheduler(SchedulerSettings aSettings, DecisionSink aSink);

  // Jobs. Adds an accepted job; does nothing if the job is known already.
  void AddJob(base::Time aNow, jobs::JobSpec aSpec);
  // Adds a job of which a previous leader has stored the end, and of which no
  // attempt can be under way.
  void AddEndedJob(const std::string& aJob, EndedJob aEnded);
  bool IsEndedJob(const std::string& aJob) const
  {
    return mEndedJobs.count(aJob) > 0;
  }
  bool IsKnownJob(const std::string& aJob) const
  {
    return IsEndedJob(aJob) || mJobs.count(aJob) > 0;
  }
  // Restore what a previous leader stored. Call these after AddJob and before
  // Resume. They return false for a job or step that is not known.
  bool RestoreState(const std::string& aJob, const jobs::StateRecord& aState);
  bool RestoreStep(const std::string& aJob,
                   const jobs::StepRecord& aStep,
                   const EarlierLeases& aLeases);
  // Ends the recovery: derives the remaining state from the restored rows.
  void Resume(base::Time aNow);
  // Cancels a job and stops its tasks. Returns false for an unknown job.
  bool Cancel(const std::string& aJob);

  // Servers. Replaces the list of servers. aLeases bounds the leases that a
  // previous leader may have granted on servers that were not known before.
  // Returns the servers to poll for a report.
  std::vector<base::ServerId> UpdateServers(
    base::Time aNow,
    const std::vector<ServerInfo>& aListed,
    const EarlierLeases& aLeases);
  void SetOutOfServiceDataCentres(std::set<base::DataCentreId> aDataCentres);
  // Replaces the terms of all accounts. A maximum that falls below what an
  // account has running only holds back its further starts.
  void SetAccountTerms(AccountTermsMap aTerms);
  // Until when the terms may be used. After that time accounts with a maximum
  // start nothing, since a lower one may be in force.
  void SetAccountTermsValidUntil(base::Time aUntil);

  // Responses of servers. aEarlierUnknown is true if the outcome of an earlier
  // call attempt with the same command is unknown, so that the command may
  // still take effect.
  void OnStart(base::Time aNow,
               const StartCommand& aCommand,
               StartResult aResult,
               bool aEarlierUnknown);
  // aAcknowledged is false if the call timed out; the stop is then sent again.
  void OnStop(base::Time aNow, const StopCommand& aCommand, bool aAcknowledged);
  // aSentAt is the time at which the request for the report was sent. Returns
  // whether there is something to place, to store or to send now; most reports
  // only show progress.
  bool OnReport(base::Time aNow,
                const base::ServerId& aServer,
                const ServerReport& aReport,
                base::Time aSentAt);
  // A call to the server timed out.
  void OnServerUnresponsive(base::Time aNow, const base::ServerId& aServer);
  // Another server responds at the server's address, so the process of this
  // server no longer exists.
  void OnServerReplaced(base::Time aNow, const base::ServerId& aServer);
  // Another incarnation of the server has begun; the next report shows what it
  // runs. Commands that were sent to the earlier one must be fenced before that
  // report is requested.
  void OnServerRestarted(const base::ServerId& aServer);
  // Returns whether a start command that was not answered yet is still to take
  // effect.
  bool IsStartWanted(const StartCommand& aCommand) const;
  // The command may be executed by an incarnation of the server that has not
  // reported yet; the task then runs there until aEndsBy at the latest. A time
  // in the past takes this back.
  void OnStartMayStray(const StartCommand& aCommand, base::Time aEndsBy);
  // A command is being sent that grants leases which expire at aExpiresBy at
  // the latest.
  void RecordLease(const base::ServerId& aServer, base::Time aExpiresBy);

  // Returns until when leases may last on servers with attempts if none is
  // granted from aNow on, with a bound of its own for each server that did not
  // respond last; at most aMaxServers of them.
  EarlierLeases LeasesAtRelease(base::Time aNow, std::size_t aMaxServers) const;
  // Returns by when all attempts on the server have ended if it is not reached.
  base::Time AttemptsEndBy(const ServerState& aServer) const;

  // Runs a scheduling pass. aUnixMs is the time of day in Unix milliseconds.
  void Schedule(base::Time aNow, std::int64_t aUnixMs);

  // Returns whether there are changes to store. Only one batch may be in flight
  // at a time.
  bool HasChanges() const
  {
    return !mDirtySteps.empty() || !mDirtyJobs.empty();
  }
  // Returns the next rows to store: those of assignments and finished steps
  // first, then final states, then the rest, with a share for each. aStoreNowMs
  // is the time on the store's steady clock, which becomes the end time of
  // jobs.
  Batch TakeBatch(std::int64_t aStoreNowMs);
  // The batch is stored. Releases the start commands of its assignments and the
  // acknowledgement of completions; returns the servers of the latter.
  std::vector<base::ServerId> OnStored(base::Time aNow, const Batch& aBatch);
  // Returns whether there are commands to send.
  bool HasCommands() const { return !mStarts.empty() || !mStops.empty(); }
  // Returns the commands that may be sent now, and removes them here: stops,
  // then starts by their priority, as long as aBudget allows. What it does not
  // allow waits for the next call.
  TaskCommands TakeCommands(CommandBudget aBudget = {});

  // Returns the highest number of a completion of the server that may be
  // acknowledged, as it is stored with all before it.
  std::int64_t AcknowledgedCompletions(const base::ServerId& aServer) const;
  // Returns whether the server has to be polled: attempts may run on it,
  // completions of it are not stored, it is not fenced yet, or it is listed
  // without having responded last.
  bool NeedsReports(const base::ServerId& aServer) const;
  // Returns the milliseconds until the next occurrence of a job is due, or
  // nothing if none is. aUnixMs is the time of day.
  std::optional<std::int64_t> MillisecondsToNextDue(std::int64_t aUnixMs) const;
  // Removes some of the jobs that became final before aStoreMs on the store's
  // steady clock, and returns them.
  std::vector<ExpiredJob> TakeExpiredJobs(std::int64_t aStoreMs);
  // Keeps only what EndedJob holds of the jobs that became final before
  // aStoreMs, unless attempts of them may still run. No start of such a job may
  // still be carried out.
  void CompactEndedJobs(std::int64_t aStoreMs);
  // The memory of all jobs, by an upper estimate.
  const admission::MemoryUse& Memory() const { return mMemory; }
  // Returns the state of the fleet as of the last report of waiting work, which
  // passes make once a second.
  const FleetSummary& Summary() const { return mSummary; }
  // Returns the number of jobs of which no task has started, by queue.
  jobs::QueueLengths QueueLengths() const;

  const Fleet& ServerFleet() const { return mFleet; }
  // Without those that were compacted.
  const std::map<std::string, std::unique_ptr<Job>>& Jobs() const
  {
    return mJobs;
  }
  const std::map<std::string, EndedJob>& EndedJobs() const
  {
    return mEndedJobs;
  }

private:
  struct WaitingStep
  {
    StepState* mStep;
    // The step is within the account's guarantee and may preempt other work.
    bool mGuaranteed;
  };

  // Tasks that end together if one of them is stopped.
  struct OwnWork
  {
    StepState* mStep;
    std::vector<int> mIndices;
    jobs::Resources mFreed;
    // Weighted core-seconds that are lost.
    double mCost;
  };

  Task* FindTask(const jobs::TaskName& aName, StepState** aStep) const;
  // Returns by when the attempt has ended if the server is not reached.
  base::Time EndsBy(const ServerState& aServer,
                    const jobs::TaskAttempt& aAttempt) const;
  void MarkDirty(StepState& aStep);
  void MarkDirty(Job& aJob);
  void SetState(Job& aJob, jobs::JobState aState);
  void AddStepRow(StepState& aStep, Batch& aBatch);
  void AddStateRow(Job& aJob, std::int64_t aStoreNowMs, Batch& aBatch);
  // Returns whether the job is final, its end is stored before aStoreMs, and
  // none of its tasks is placed.
  static bool HasEndedBefore(const Job& aJob, std::int64_t aStoreMs);

  // Assigns a waiting task to a server, which begins a new attempt.
  void Assign(StepState& aStep,
              int aIndex,
              const base::ServerId& aServer,
              base::Time aNow);
  // A server has started a task of the job. A queued job becomes a running one
  // only now: servers may reject what is assigned to them, or not respond.
  void RecordTaskStarted(Job& aJob);
  // Abandons an attempt and returns its task to waiting. For a gang the other
  // members are stopped too.
  void Requeue(StepState& aStep, int aIndex, const char* aReason);
  // Returns the capacity that the task uses to its server and drops a pending
  // stop command.
  void RemoveFromServer(StepState& aStep, Task& aTask, int aIndex);
  // Requests to stop an attempt. Its task stays placed until the attempt is
  // known to have ended. Does nothing if a stop is already requested.
  void RequestStop(StepState& aStep, int aIndex, const char* aReason);
  // Stops all placed members of a gang that is no longer complete.
  void AbortGang(StepState& aStep);
  // Stops the other members at once if an attempt of one has to be stopped: it
  // may take until the leases of that member's server expire to know that it
  // has, and servers end a gang that waits for a member.
  void AbortIfGang(StepState& aStep);
  void HandleCompletion(base::Time aNow,
                        ServerState& aServer,
                        const TaskCompletion& aCompletion);
  // aReportedAt is the time of the state that the report shows.
  void HandleRunningTask(base::Time aReportedAt,
                         ServerState& aServer,
                         const RunningTask& aRunning);
  // An attempt that was given up was done after all, so no other one is needed:
  // marks the task as done and stops what is under way.
  void TakeOverDone(base::Time aNow, StepState& aStep, int aIndex);
  // Marks the task as done, and for a gang all of its members. A long-running
  // task is requeued instead.
  void HandleTaskDone(base::Time aNow, StepState& aStep, int aIndex);
  void HandleTaskFailed(base::Time aNow,
                        ServerState& aServer,
                        StepState& aStep,
                        int aIndex);
  void FinishStep(base::Time aNow, StepState& aStep);
  // Returns whether a task, or a gang, has failed as often as is allowed.
  static bool HasFailedForGood(const Job& aJob);
  void FailJob(Job& aJob);
  void StopAll(Job& aJob, const char* aReason);
  // Requeues the tasks of unresponsive servers on which all leases have
  // expired.
  void RequeueFromLostServers(base::Time aNow);
  // Requeues the attempts on the server for which aHasEnded returns true.
  void RequeueAllOn(
    ServerState& aServer,
    const std::function<bool(const jobs::TaskAttempt&)>& aHasEnded,
    const char* aReason);
  // Forgets what an earlier incarnation of the server has reported.
  void ForgetIncarnation(ServerState& aServer);
  // Returns the time without progress after which a running task hangs.
  // aMedianSpeed is that of its step in percent per second, 0 if unknown.
  base::Duration StallTimeout(const StepState& aStep,
                              const Task& aTask,
                              double aMedianSpeed) const;
  // Returns whether a running task makes no progress or, near its data, is much
  // slower than aMedianSpeed, the median of its step in percent per second.
  bool IsStraggler(const StepState& aStep,
                   const Task& aTask,
                   double aMedianSpeed) const;
  // Stop tasks that should restart elsewhere. MigrateStragglers also
  // quarantines the servers of stragglers.
  void MigrateStragglers(base::Time aNow);
  void MigrateFromDrainingServers(base::Time aNow);
  void MigrateStragglers(base::Time aNow, StepState& aStep);
  void CreateDueOccurrences(base::Time aNow, std::int64_t aUnixMs);
  // Logs the state of the fleet, and for each account the step that has waited
  // for the longest time. Does so once a second while a step waits.
  void ReportWaiting(base::Time aNow);
  void LogWaiting(const WaitingAccountReport& aAccount);
  // Marks the steps as ready of which all dependencies are done.
  void UpdateReady(base::Time aNow, Occurrence& aOccurrence);
  // Returns the steps with waiting tasks in the order of their placement: first
  // those within a guarantee, then as WaitingClaim compares them.
  std::vector<WaitingStep> WaitingStepsInOrder(base::Time aNow);
  // Adds a task to, or removes it from, what its account has running.
  void CountAttempt(const StepState& aStep);
  void UncountAttempt(const StepState& aStep);
  // Records an attempt that nobody wants as running on the server. ForgetStrays
  // forgets those for which aHasEnded returns true.
  void AddStray(base::Time aNow,
                ServerState& aServer,
                const jobs::TaskAttempt& aAttempt,
                const StepState& aStep);
  void ForgetStrays(ServerState& aServer,
                    const std::function<bool(const jobs::TaskAttempt&,
                                             const StrayAttempt&)>& aHasEnded);
  // Returns the waiting tasks of the step that its account may start now; for a
  // gang all or none.
  std::vector<int> StartableTasks(base::Time aNow, StepState& aStep);
  // Returns whether the account may start the tasks of the step's plan now.
  bool MayStartPlan(base::Time aNow, StepState& aStep);
  // Stops less urgent work of the step's account, at the lowest loss, so that
  // the step's waiting tasks may start within its maximum.
  void PreemptOwnWork(base::Time aNow, StepState& aStep);
  // Returns the account's running work that is less urgent than aStep, the
  // cheapest to stop first, and adds to aStopping what is being stopped.
  std::vector<OwnWork> LessUrgentOwnWork(base::Time aNow,
                                         const StepState& aStep,
                                         jobs::Resources& aStopping) const;
  void AddOwnWork(base::Time aNow,
                  StepState& aStep,
                  bool aMayStop,
                  std::vector<OwnWork>& aWork,
                  jobs::Resources& aStopping) const;
  // Returns the weighted core-seconds that are lost if a task is stopped.
  static double LostWork(base::Time aNow,
                         const jobs::StepSpec& aSpec,
                         const Task& aTask);
  // Determines for all jobs, in the order of their acceptance, which are beyond
  // the rates of their accounts.
  void RecordRates();
  // Returns the number of guaranteed accelerators, or -1 for an unknown
  // account.
  std::int64_t GuaranteedAccelerators(const base::AccountId& aAccount) const;
  // Logs the accounts whose maximum holds back work in this pass and did not in
  // the last one.
  void LogAccountsAtMaximum();
  // Returns the accounts that use more than the share of the capacity that
  // their weight gives them beside the others with unfinished work.
  std::set<base::AccountId> AccountsOverShare() const;
  // Places the waiting tasks of a step. If some do not fit, reserves capacity
  // for a gang or, within a guarantee, preempts other work.
  void PlaceStep(base::Time aNow,
                 const WaitingStep& aWaitingStep,
                 Placement& aPlacement);
  // Reserves capacity that is about to become free for tasks that do not fit
  // now, so that smaller ones do not fill each gap.
  void ReserveCapacity(base::Time aNow,
                       StepState& aStep,
                       const std::vector<int>& aIndices,
                       bool aAllowRemote,
                       Placement& aPlacement);
  // Returns what the attempts on a server will free, and when.
  std::vector<ExpectedCompletion> ExpectedCompletions(
    const ServerState& aServer,
    base::Time aNow);
  // Deducts the capacity of the step's plan from this pass, or abandons the
  // plan if it has expired or one of its servers is no longer usable.
  void ReservePlannedCapacity(base::Time aNow,
                              StepState& aStep,
                              Placement& aPlacement);
  // Assigns the tasks of the step's plan if all of its capacity is free.
  void ExecutePlan(base::Time aNow, StepState& aStep, Placement& aPlacement);
  // Returns whether the step may use racks other than that of its data: it has
  // waited for local capacity and can still meet its objective remotely, or
  // cannot meet it at all, or others have plenty of idle capacity and none is
  // expected locally in time. Call this in each pass in which tasks wait.
  bool MayPlaceRemotely(base::Time aNow,
                        StepState& aStep,
                        const std::vector<int>& aIndices,
                        Placement& aPlacement);
  // Returns the tasks on a server that aPreemptor may preempt, with their
  // costs. These are tasks of less urgent jobs and, if aIncludeOverGuarantee is
  // true, of accounts that exceed their guarantee.
  std::vector<Victim> VictimsOn(const ServerState& aServer,
                                const StepState& aPreemptor,
                                bool aIncludeOverGuarantee,
                                base::Time aNow);
  void Log(const char* aEvent,
           const std::string& aJob,
           std::vector<std::pair<const char*, std::string>> aFields = {});

  const SchedulerSettings mSettings;
  const DecisionSink mSink;
  std::map<std::string, std::unique_ptr<Job>> mJobs;
  // The jobs of mJobs that are not final. Those that are, which are kept for
  // callers, are many more.
  std::map<std::string, Job*> mActiveJobs;
  // Not in mJobs.
  std::map<std::string, EndedJob> mEndedJobs;
  admission::MemoryUse mMemory;
  Fleet mFleet;
  // Servers with completions that are not stored yet.
  std::set<base::ServerId> mServersToAcknowledge;
  base::Time mStragglersCheckedAt;
  base::Time mWaitingReportedAt;
  FleetSummary mSummary;
  std::set<base::DataCentreId> mOutOfServiceDataCentres;
  // Of jobs of priority 0.
  UrgentDemand mUrgentDemand;
  AccountLimits mLimits;
  base::Time mTermsValidUntil = base::Time::max();
  AccountRates mRates;
  // By account, the first step in this pass that its maximum holds back. Those
  // after it start nothing, so that it gets what becomes free.
  std::map<base::AccountId, const StepState*> mFirstHeld;
  // Accounts whose maximum holds back work, in this pass and in the last one.
  std::set<base::AccountId> mAtMaximum;
  std::set<base::AccountId> mWereAtMaximum;
  // Accounts whose jobs of priority 0 use more than their guarantee.
  std::set<base::AccountId> mOverGuarantee;
  // Number of searches for a reservation in the current pass.
  int mReservationSearches = 0;

  std::set<StepState*> mDirtySteps;
  std::set<Job*> mDirtyJobs;
  // mChangeNumber counts the changes of state; all changes up to
  // mStoredChangeNumber are stored.
  std::uint64_t mChangeNumber = 0;
  std::uint64_t mStoredChangeNumber = 0;
  // Tasks whose assignment is in the batch that is being stored.
  std::vector<std::pair<StepState*, int>> mAssignedInBatch;
  // By priority, from the call of TakeCommands on that left them here.
  std::vector<StartCommand> mStarts;
  std::set<StopCommand> mStops;
};

} // namespace flamingoloom::scheduler
