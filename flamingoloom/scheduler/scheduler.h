// The scheduler: which task runs on which backend server, and when.
//
// One instance schedules at a time. The scheduler is a state machine without
// clock or network. It is fed with jobs, entries of servers, their reports and
// the answers to orders; it gives out rows to store and orders to send:
//
//   scheduler.AddJob(now, job);
//   scheduler.Schedule(now, unixMs);
//   auto batch = scheduler.TakeBatch();         // store it, then
//   scheduler.OnStored(now, batch, version);
//   for (auto& start : scheduler.TakeCommands().mStarts) { ... }
//
// Three rules keep a task from running twice:
//  1. A start is stored before it is ordered, with the run's number and the
//     server, under the condition that the scheduler's epoch still holds.
//  2. A run is given up only when its server said that it ended, or that it is
//     not there while no older order can still arrive, or when every lease at
//     that server has certainly ended.
//  3. An end is stored before it is acknowledged to the server.
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

#include "flamingoloom/scheduler/fleet.h"
#include "flamingoloom/scheduler/placement.h"
#include "flamingoloom/scheduler/server.h"
#include "flamingoloom/scheduler/work.h"

namespace flamingoloom::scheduler {

struct SchedulerSettings
{
  // What a task takes longer on a rack away from its data.
  double mRemoteSlowdown = 3.0;
  // The longest that a server takes to stop a task.
  base::Duration mMaxStopTime = std::chrono::milliseconds(200);
};

// A row to write, or to remove if it has no value.
struct RowChange
{
  std::string mTable;
  std::string mKey;
  std::optional<std::string> mValue;
  // The version that the row must still have; 0 for no row. Not checked if
  // there is none.
  std::optional<std::int64_t> mExpectedVersion;

  friend bool operator==(const RowChange&, const RowChange&) = default;
};

// Rows that have to be stored together.
struct Batch
{
  std::vector<RowChange> mRows;
  // Every change up to this one is in the store once the batch is.
  std::uint64_t mCovers = 0;
};

struct TaskCommands
{
  std::vector<StartCommand> mStarts;
  std::vector<StopCommand> mStops;
};

// A job of which nothing is needed any more, with the keys of its rows.
struct ExpiredJob
{
  std::string mJob;
  // It has a cancel's mark.
  bool mCancelled = false;
  std::vector<std::string> mStepKeys;
};

// One decision for the log.
struct Decision
{
  const char* mEvent;
  std::string mJob;
  std::vector<std::pair<const char*, std::string>> mFields;
};

class Scheduler
{
public:
  using DecisionSink = std::function<void(const Decision&)>;

  Scheduler(SchedulerSettings aSettings, DecisionSink aSink);

  // Jobs. A job that is known already is left as it is.
  void AddJob(base::Time aNow, jobs::JobSpec aSpec);
  // What a predecessor stored; call after AddJob and before Resume. False for
  // a job, or a step, that is not known.
  bool RestoreState(const std::string& aJob,
                    const jobs::StateRecord& aState,
                    std::int64_t aVersion);
  bool RestoreStep(const std::string& aJob,
                   const jobs::StepRecord& aStep,
                   std::int64_t aVersion,
                   base::Time aLeasesEndBy);
  // Ends restoring: sets what follows from the restored rows.
  void Resume(base::Time aNow);
  // False for a job that is not known.
  bool Cancel(const std::string& aJob);

  // Servers. aLeasesEndBy bounds leases that a predecessor may have granted on
  // servers not heard of before. Returns those to ask for a report.
  std::vector<base::ServerId> UpdateServers(
    base::Time aNow,
    const std::vector<ServerInfo>& aListed,
    base::Time aLeasesEndBy);
  void SetOutOfServiceDataCentres(std::set<base::DataCentreId> aDataCentres);
  // Accelerators that belong to an account for its jobs of priority 0.
  void SetGuarantees(std::map<base::AccountId, std::int64_t> aGuarantees);

  // Answers. aEarlierUnknown says that an earlier try of the same order had no
  // answer and may still be carried out.
  void OnStart(base::Time aNow,
               const StartCommand& aCommand,
               StartResult aResult,
               bool aEarlierUnknown);
  void OnStop(base::Time aNow, const StopCommand& aCommand, bool aAnswered);
  // aSentAt is when the question was sent.
  void OnReport(base::Time aNow,
                const base::ServerId& aServer,
                const ServerReport& aReport,
                base::Time aSentAt);
  // A call to the server was not answered.
  void OnServerUnresponsive(base::Time aNow, const base::ServerId& aServer);
  // Another server answers at the server's address, so it is gone.
  void OnServerReplaced(base::Time aNow, const base::ServerId& aServer);
  // An order that grants leases until aEndsBy at the latest is being sent.
  void RecordLease(const base::ServerId& aServer, base::Time aEndsBy);

  // Places what can be placed. aUnixMs is the time of day.
  void Schedule(base::Time aNow, std::int64_t aUnixMs);

  // Changes that are not yet in the store; one batch at a time.
  bool HasChanges() const
  {
    return !mDirtySteps.empty() || !mDirtyJobs.empty();
  }
  // aStoreNowMs is the store's clock, for the end times of jobs.
  Batch TakeBatch(std::int64_t aStoreNowMs);
  void OnStored(base::Time aNow, const Batch& aBatch, std::int64_t aVersion);
  // Orders that may be sent now.
  TaskCommands TakeCommands();

  // Ends up to this number are stored.
  std::int64_t AcknowledgedCompletions(const base::ServerId& aServer) const;
  // Whether something may run on the server, or its ends are to be asked for.
  bool NeedsReports(const base::ServerId& aServer) const;
  // Until the next occurrence is due, in milliseconds of the time of day.
  std::optional<std::int64_t> MillisecondsToNextDue(std::int64_t aUnixMs) const;
  // Some of the jobs that became final before aStoreMs; they are forgotten
  // here.
  std::vector<ExpiredJob> TakeExpiredJobs(std::int64_t aStoreMs);
  jobs::QueueLengths QueueLengths() const;

  const Fleet& Servers() const { return mFleet; }
  const std::map<std::string, std::unique_ptr<Job>>& Jobs() const
  {
    return mJobs;
  }

private:
  struct Group
  {
    StepRun* mStep;
    // Belongs to a guarantee: may stop other work.
    bool mGuaranteed;
  };

  Task* FindTask(const jobs::TaskName& aName, StepRun** aStep);
  void MarkDirty(StepRun& aStep);
  void MarkDirty(Job& aJob);
  void SetState(Job& aJob, jobs::JobState aState);
  void AddStepRow(StepRun& aStep, Batch& aBatch);
  void AddStateRow(Job& aJob, std::int64_t aStoreNowMs, Batch& aBatch);

  void Intend(StepRun& aStep,
              int aIndex,
              const base::ServerId& aServer,
              base::Time aNow);
  void Release(StepRun& aStep, int aIndex, const char* aReason);
  void Detach(StepRun& aStep, Task& aTask, int aIndex);
  void WantStop(StepRun& aStep, int aIndex, const char* aReason);
  void BreakGang(StepRun& aStep);
  void TakeEnd(base::Time aNow,
               ServerState& aServer,
               const TaskCompletion& aCompletion);
  void TakeRunning(base::Time aNow,
                   ServerState& aServer,
                   const RunningTask& aRunning);
  void TakeDone(base::Time aNow, StepRun& aStep, int aIndex);
  void TakeFailed(base::Time aNow,
                  ServerState& aServer,
                  StepRun& aStep,
                  int aIndex);
  void FinishStep(base::Time aNow, StepRun& aStep);
  void FailJob(Job& aJob);
  void StopAll(Job& aJob, const char* aReason);
  void ReleaseLost(base::Time aNow);
  void ReleaseAll(ServerState& aServer, const char* aReason);
  bool IsTooSlow(const StepRun& aStep,
                 const Task& aTask,
                 double aMedianSpeed) const;
  void LeaveSlowServers(base::Time aNow);
  void LeaveDrainingServers(base::Time aNow);
  void LeaveSlowServers(base::Time aNow, StepRun& aStep);
  void CreateDue(base::Time aNow, std::int64_t aUnixMs);
  void UpdateReady(base::Time aNow, Occurrence& aOccurrence);
  std::vector<Group> OrderedGroups(base::Time aNow);
  // In accelerators; below 0 for an account without a guarantee.
  std::int64_t GuaranteeOf(const base::AccountId& aAccount) const;
  void PlaceGroup(base::Time aNow, const Group& aGroup, Placement& aPlacement);
  // Reserves room for a gang that does not fit now.
  void Reserve(base::Time aNow,
               StepRun& aStep,
               const std::vector<int>& aIndices,
               bool aAllowRemote,
               Placement& aPlacement);
  std::vector<ExpectedEnd> ExpectedEnds(const ServerState& aServer,
                                        base::Time aNow);
  void HoldPlan(base::Time aNow, StepRun& aStep, Placement& aPlacement);
  void FollowPlan(base::Time aNow, StepRun& aStep, Placement& aPlacement);
  bool MayGoRemote(base::Time aNow, const StepRun& aStep) const;
  std::vector<Victim> VictimsOn(const ServerState& aServer,
                                const StepRun& aFor,
                                bool aFromOverGuarantee,
                                base::Time aNow);
  void Log(const char* aEvent,
           const std::string& aJob,
           std::vector<std::pair<const char*, std::string>> aFields = {});

  const SchedulerSettings mSettings;
  const DecisionSink mSink;
  std::map<std::string, std::unique_ptr<Job>> mJobs;
  Fleet mFleet;
  std::set<base::DataCentreId> mOutOfServiceDataCentres;
  std::map<base::AccountId, std::int64_t> mGuarantees;
  // Accounts whose jobs of priority 0 hold more than their guarantee.
  std::set<base::AccountId> mOverGuarantee;
  // In the current pass.
  int mReservationsSought = 0;

  std::set<StepRun*> mDirtySteps;
  std::set<Job*> mDirtyJobs;
  // Numbers each change; an end is stored once its change is.
  std::uint64_t mChange = 0;
  std::uint64_t mStoredChange = 0;
  // Tasks whose intent is in the batch that is being stored.
  std::vector<std::pair<StepRun*, int>> mIntendedInBatch;
  std::vector<StartCommand> mStarts;
  std::set<StopCommand> mStops;
};

} // namespace flamingoloom::scheduler
