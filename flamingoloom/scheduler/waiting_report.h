// Why ready tasks do not run, and in what state the fleet is: for the log and
// for metrics. Decides nothing.
//
//   WaitingReport report(fleet, outOfServiceDataCentres, activeJobs, now);
//   report.Summary().mQuarantined;          // servers left alone for failures
//   for (const auto& account : report.Accounts()) {
//     account.mLongest.mReason;            // of the step that waits longest
//   }
//
// Internal to the scheduler. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/scheduler/fleet.h"
#include "flamingoloom/scheduler/job_progress.h"

namespace flamingoloom::scheduler {

// Why no task of a ready step runs.
enum class WaitReason
{
  // Its attempts, or those of other members of the gang, are being stopped.
  eStopping,
  // A previous leader has placed it on servers that have not reported since.
  eUnresolved,
  // Its assignment is being stored, or its start command is on its way.
  eStarting,
  // Its account has as much running as it may have.
  eAccountMaximum,
  // It waits for the capacity that it has planned.
  ePlanned,
  // It would fit, but not near its data or within one rack.
  eLocalCapacity,
  // It would fit, but for what other steps have planned.
  ePlannedByOthers,
  // It would fit on servers that are quarantined.
  eQuarantine,
  // It would fit on servers that drain, are silent, not fenced yet, or in a
  // data centre that is out of service.
  eUnusableServers,
  // Too little capacity is free.
  eNoCapacity,
};
const char* WaitReasonName(WaitReason aReason);

// The listed servers, each counted under the first reason for which it takes no
// new tasks, and the accelerators of the usable ones.
struct FleetSummary
{
  int mServers = 0;
  int mOutOfService = 0;
  int mDraining = 0;
  int mUnfenced = 0;
  int mSilent = 0;
  int mQuarantined = 0;
  int mUsable = 0;
  std::int64_t mUsableAccelerators = 0;
  std::int64_t mFreeAccelerators = 0;
  // What waiting steps have planned, on any server.
  std::int64_t mPlannedAccelerators = 0;

  friend bool operator==(const FleetSummary&, const FleetSummary&) = default;
};

// How many more tasks of a step fit.
struct StepRoom
{
  // On usable servers near its data, or in the best rack for a step that has to
  // be in one.
  std::int64_t mNear = 0;
  // On all usable servers, without and with what other steps have planned.
  std::int64_t mUnplanned = 0;
  std::int64_t mFree = 0;
  std::int64_t mQuarantined = 0;
  std::int64_t mUnusable = 0;

  friend bool operator==(const StepRoom&, const StepRoom&) = default;
};

struct WaitingStepReport
{
  const StepState* mStep = nullptr;
  base::Duration mWaited{ 0 };
  WaitReason mReason = WaitReason::eNoCapacity;
  StepRoom mRoom;
};

struct WaitingAccountReport
{
  base::AccountId mAccount;
  // Ready steps of which no task runs, by reason.
  std::map<WaitReason, int> mSteps;
  WaitingStepReport mLongest;
};

class WaitingReport
{
public:
  // Records in aJobs since when their steps wait, so it should be made at
  // regular intervals. The references must outlive the report.
  WaitingReport(const Fleet& aFleet,
                const std::set<base::DataCentreId>& aOutOfServiceDataCentres,
                const std::map<std::string, Job*>& aJobs,
                base::Time aNow);

  const FleetSummary& Summary() const { return mSummary; }
  // One entry for each account with a ready step of which no task runs.
  const std::vector<WaitingAccountReport>& Accounts() const
  {
    return mAccounts;
  }

private:
  enum class Usability
  {
    eOutOfService,
    eDraining,
    eUnfenced,
    eSilent,
    eQuarantined,
    eUsable,
  };

  static Usability UsabilityOf(
    const ServerState& aServer,
    const std::set<base::DataCentreId>& aOutOfServiceDataCentres,
    base::Time aNow);
  void AddServers(const Fleet& aFleet,
                  const std::set<base::DataCentreId>& aOutOfServiceDataCentres,
                  base::Time aNow);
  void AddPlans(const std::map<std::string, Job*>& aJobs);
  void AddWaiting(StepState& aStep, base::Time aNow);
  StepRoom RoomFor(const StepState& aStep) const;
  WaitReason ReasonOf(const StepState& aStep, const StepRoom& aRoom) const;

  FleetSummary mSummary;
  std::vector<std::pair<const ServerState*, Usability>> mServers;
  std::map<base::ServerId, jobs::Resources> mPlanned;
  std::vector<WaitingAccountReport> mAccounts;
};

} // namespace flamingoloom::scheduler
