// Selects servers for tasks within one scheduling pass.
//
// A Placement starts with the free capacity of the fleet and deducts what it
// hands out. It does not modify the fleet: the scheduler applies the
// assignments that it accepts. Internal to the scheduler.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "flamingoloom/scheduler/fleet.h"
#include "flamingoloom/scheduler/job_progress.h"

namespace flamingoloom::scheduler {

// Indices of tasks of a step, with the servers selected for them.
using Assignment = std::vector<std::pair<int, base::ServerId>>;

// A task that may be preempted for a more urgent job.
struct Victim
{
  StepState* mStep = nullptr;
  int mIndex = 0;
  jobs::Resources mFreed;
  // Work that is lost if the task is preempted now, in weighted core-seconds.
  double mCost = 0;
};

// Capacity that becomes free when a running attempt completes.
struct ExpectedCompletion
{
  base::Duration mAfter;
  jobs::Resources mFreed;
};

// Returns the capacity that running attempts on a server will free, and when.
using ExpectedCompletionsOf =
  std::function<std::vector<ExpectedCompletion>(const ServerState&)>;

class Placement
{
public:
  Placement(Fleet& aFleet,
            const std::set<base::DataCentreId>& aOutOfServiceDataCentres,
            base::Time aNow);

  // Keeps the racks with most room from work that is not urgent, as many as
  // have aAccelerators, while the fleet is rather full. Call it before any
  // placement. Work whose data is there, and long-running work, may use them.
  void KeepForUrgentWork(std::int64_t aAccelerators);

  // Selects servers for as many of the tasks aIndices as there is free capacity
  // for. If aAllowRemote is false, only servers in the rack of the data
  // qualify.
  Assignment PlaceSome(const StepState& aStep,
                       const std::vector<int>& aIndices,
                       bool aAllowRemote);

  // Selects servers for all of the tasks aIndices or for none. aAllowRemote
  // permits racks other than that of the data and, for a same-rack gang,
  // several racks.
  std::optional<Assignment> PlaceAll(const StepState& aStep,
                                     const std::vector<int>& aIndices,
                                     bool aAllowRemote);

  // Like PlaceAll, but also uses capacity that preemption would free, in the
  // way that loses the least work. aVictims returns the tasks that may be
  // preempted on a server. On success aChosen holds the tasks to preempt.
  std::optional<Assignment> PlaceWithPreemption(
    const StepState& aStep,
    const std::vector<int>& aIndices,
    bool aAllowRemote,
    const std::function<std::vector<Victim>(const ServerState&)>& aVictims,
    std::vector<Victim>& aChosen);

  // Like PlaceAll, but on the capacity that is expected to be free within a
  // limited time. On success the capacity is deducted at once, and aWait is set
  // to the time after which all of it should be free.
  std::optional<Assignment> PlaceOnExpectedCapacity(
    const StepState& aStep,
    const std::vector<int>& aIndices,
    bool aAllowRemote,
    const ExpectedCompletionsOf& aExpectedCompletions,
    base::Duration& aWait);

  // Returns whether the tasks aIndices would fit near the data, or within one
  // rack for a same-rack gang, if the servers were idle. If not, there is no
  // point in waiting for local capacity.
  bool CouldFitLocally(const StepState& aStep,
                       const std::vector<int>& aIndices);
  // Returns whether tasks of the step that run elsewhere take nothing from
  // others: of what such tasks need, much of the service's capacity is free,
  // and there is room for twice the tasks.
  bool HasIdleCapacity(const StepState& aStep, std::size_t aTasks);
  // Returns whether the tasks aIndices should fit near the data, or within one
  // rack for a same-rack gang, after aWithin.
  bool IsLocalCapacityExpected(
    const StepState& aStep,
    const std::vector<int>& aIndices,
    base::Duration aWithin,
    const ExpectedCompletionsOf& aExpectedCompletions);

  // Deducts aNeed from the server's free capacity in this pass, which may
  // become negative.
  void Deduct(const base::ServerId& aServer, const jobs::Resources& aNeed);
  // Returns whether aNeed fits into the server's free capacity in this pass.
  bool Fits(const base::ServerId& aServer, const jobs::Resources& aNeed);
  // Returns whether the server accepts new tasks and meets the step's
  // requirements.
  bool IsUsableFor(const StepState& aStep, const base::ServerId& aServer);

private:
  // A server that accepts new tasks, with its free capacity in this pass.
  struct Candidate
  {
    ServerState* mServer;
    jobs::Resources mFree;
    std::vector<Victim> mVictims;
    // Filled when the pass first needs them.
    std::optional<std::vector<ExpectedCompletion>> mExpectedCompletions;
    // See KeepForUrgentWork.
    bool mForUrgentWork = false;
  };

  // An assignment that requires preemption, and the tasks to preempt.
  struct PreemptionPlan
  {
    Assignment mAssignment;
    std::vector<Victim> mVictims;
    double mCost = 0;
  };

  // Returns the plan on aCandidates that loses little work, selecting for each
  // task the server where preemption costs the least; nothing if a task does
  // not fit. Expects mVictims of the candidates to be filled.
  std::optional<PreemptionPlan> CheapestPreemption(
    const StepState& aStep,
    const std::vector<int>& aIndices,
    const std::vector<Candidate*>& aCandidates,
    bool aAllowRemote);
  // Returns whether the server meets the step's requirements, apart from
  // capacity.
  bool IsEligible(const StepState& aStep, const Candidate& aCandidate) const;
  // Whether the server is kept for more urgent work than the step.
  static bool IsKeptFrom(const StepState& aStep, const Candidate& aCandidate);
  // Whether the server is in another rack than the step's data.
  static bool IsRemote(const StepState& aStep, const Candidate& aCandidate);

  // The lowest score wins: near the data, no earlier failure of the task there,
  // not warming up, and then the tightest fit.
  using Score = std::tuple<bool, bool, bool, std::int64_t, std::int64_t>;
  static Score ScoreOf(const StepState& aStep,
                       int aIndex,
                       const Candidate& aCandidate);

  // How many more tasks of a step fit on a server.
  struct Room
  {
    Candidate* mCandidate = nullptr;
    std::int64_t mTasks = 0;
  };
  // Returns the servers among aCandidates with room for tasks of the step, or
  // with aWhenIdle those that would have it if nothing ran there.
  std::vector<Room> RoomsFor(const StepState& aStep,
                             const std::vector<Candidate*>& aCandidates,
                             bool aAllowRemote,
                             bool aWhenIdle) const;
  // Returns whether aRooms take as many tasks.
  static bool HasRoomFor(const std::vector<Room>& aRooms, std::size_t aTasks);
  // Selects servers for the tasks in order and stops at the first one that does
  // not fit.
  Assignment PlaceIn(const StepState& aStep,
                     const std::vector<int>& aIndices,
                     std::vector<Room> aRooms);
  // Like PlaceAll, but restricted to aCandidates, or to one rack.
  std::optional<Assignment> PlaceAllOn(
    const StepState& aStep,
    const std::vector<int>& aIndices,
    const std::vector<Candidate*>& aCandidates,
    bool aAllowRemote);
  std::optional<Assignment> PlaceInOneRack(const StepState& aStep,
                                           const std::vector<int>& aIndices);
  // Returns the number of placed tasks of the step on each server; empty if the
  // step has no limit of tasks per server.
  std::map<base::ServerId, int> TasksPerServer(const StepState& aStep) const;
  // Returns the candidate, or null if the server is none.
  Candidate* Find(const base::ServerId& aServer);

  using Racks = std::map<std::string, std::vector<Candidate*>>;
  // Deducts aNeed from the candidate's free capacity and from its service's.
  void Take(Candidate& aCandidate, const jobs::Resources& aNeed);
  // Computed once, since most passes do not need it.
  const Racks& CandidatesByRack();
  // Returns whether aFits holds for the candidates of the rack of the step's
  // data; without such a rack, for those of any rack.
  bool AnyLocalRack(
    const StepState& aStep,
    const std::function<bool(const std::vector<Candidate*>&)>& aFits);
  // Returns the completions on the candidate's server, computed once.
  static const std::vector<ExpectedCompletion>& CompletionsOn(
    Candidate& aCandidate,
    const ExpectedCompletionsOf& aExpectedCompletions);

  // Returns whether aTasks more tasks of the step may fit on the fleet, on any
  // rack, by what did not fit earlier in this pass.
  bool MayFit(const StepState& aStep, std::size_t aTasks) const;
  // Records for MayFit that this many tasks of the step do not fit, unless that
  // may be due to a restriction of the step to some servers.
  void RecordUnplaceable(const StepState& aStep,
                         std::size_t aTasks,
                         bool aAllowRemote);

  std::vector<Candidate> mCandidates;
  // All of mCandidates, in the order of their ids.
  std::vector<Candidate*> mAll;
  // Numbers of tasks, with the resources of each, that did not fit in this
  // pass, by service and label. Free capacity only shrinks within a pass, so as
  // many or more tasks with equal or larger requirements do not fit either.
  std::map<std::pair<std::string, std::string>,
           std::vector<std::pair<jobs::Resources, std::size_t>>>
    mUnplaceable;
  // Empty until CandidatesByRack is called.
  Racks mRacks;
  // Capacity of a service's candidates.
  struct Totals
  {
    jobs::Resources mCapacity;
    jobs::Resources mFree;
  };
  // By service, from the first call of HasIdleCapacity for it in this pass.
  std::map<std::string, Totals> mTotals;
};

} // namespace flamingoloom::scheduler
