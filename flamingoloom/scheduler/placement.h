// Chooses servers for tasks within one scheduling pass.
//
// A pass starts from the room that is free and takes from it as it places;
// nothing is placed for good here. Internal to the scheduler.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/scheduler/fleet.h"
#include "flamingoloom/scheduler/work.h"

namespace flamingoloom::scheduler {

// Tasks of a step with the servers chosen for them.
using Assignment = std::vector<std::pair<int, base::ServerId>>;

// Work that may be stopped for a more urgent job.
struct Victim
{
  StepRun* mStep = nullptr;
  int mIndex = 0;
  jobs::Resources mFrees;
  // Core-seconds that are lost if it is stopped now.
  double mCost = 0;
};

// Room that comes free when a run ends.
struct ExpectedEnd
{
  base::Duration mAfter;
  jobs::Resources mFrees;
};

class Placement
{
public:
  Placement(Fleet& aFleet,
            const std::set<base::DataCentreId>& aOutOfServiceDataCentres,
            base::Time aNow);

  // Places as many of aIndices as there is room for; aAllowRemote permits
  // racks away from the data.
  Assignment PlaceSome(const StepRun& aStep,
                       const std::vector<int>& aIndices,
                       bool aAllowRemote);

  // Places all of aIndices or none; a same-rack gang stays in one rack unless
  // aAllowRemote permits several.
  std::optional<Assignment> PlaceAll(const StepRun& aStep,
                                     const std::vector<int>& aIndices,
                                     bool aAllowRemote);

  // As PlaceAll, on room that victims would free, where that loses the least
  // work. aVictims lists what may be stopped on a server. On success aChosen
  // holds what has to be stopped.
  std::optional<Assignment> PlaceOver(
    const StepRun& aStep,
    const std::vector<int>& aIndices,
    bool aAllowRemote,
    const std::function<std::vector<Victim>(const ServerState&)>& aVictims,
    std::vector<Victim>& aChosen);

  // As PlaceAll, on room that is free within the horizon if running work ends
  // as expected. aEnds tells what a server's work frees, and after what time.
  // On success the room is taken at once, and aWait is when it should be free.
  std::optional<Assignment> PlaceSoon(
    const StepRun& aStep,
    const std::vector<int>& aIndices,
    bool aAllowRemote,
    const std::function<std::vector<ExpectedEnd>(const ServerState&)>& aEnds,
    base::Duration& aWait);

  // Whether an empty rack would hold all of aIndices, or one whole server its
  // task; false means that waiting for such a place is in vain.
  bool CouldStayLocal(const StepRun& aStep, const std::vector<int>& aIndices);

  // Takes aNeed from a server's room for this pass; it may fall below zero.
  void Take(const base::ServerId& aServer, const jobs::Resources& aNeed);
  bool Fits(const base::ServerId& aServer, const jobs::Resources& aNeed) const;
  // Whether the server takes starts, and the step's tasks may run there.
  bool IsUsableFor(const StepRun& aStep, const base::ServerId& aServer) const;

private:
  struct Place
  {
    ServerState* mServer;
    jobs::Resources mFree;
    std::vector<Victim> mVictims;
    // Looked up when the pass first needs them.
    std::vector<ExpectedEnd> mEnds;
  };

  // Places on room that is made by stopping others.
  struct Overlap
  {
    Assignment mAssignment;
    std::vector<Victim> mVictims;
    double mCost = 0;
  };

  std::optional<Overlap> CheapestOver(const StepRun& aStep,
                                      const std::vector<int>& aIndices,
                                      const std::vector<Place*>& aPlaces,
                                      bool aAllowRemote);
  bool Suits(const StepRun& aStep, const Place& aPlace) const;
  Place* Best(const StepRun& aStep,
              int aIndex,
              const std::vector<Place*>& aPlaces,
              bool aAllowRemote,
              const std::map<base::ServerId, int>& aTaken);
  // Stops at the first task without a place.
  Assignment PlaceUntilFull(const StepRun& aStep,
                            const std::vector<int>& aIndices,
                            const std::vector<Place*>& aPlaces,
                            bool aAllowRemote);
  std::optional<Assignment> PlaceOn(const StepRun& aStep,
                                    const std::vector<int>& aIndices,
                                    const std::vector<Place*>& aPlaces,
                                    bool aAllowRemote);
  std::map<base::ServerId, int> TasksPerServer(const StepRun& aStep) const;
  std::vector<Place*> AllPlaces();

  // Whether some server has room for one task of the step, whatever the rack.
  bool MayFit(const StepRun& aStep) const;

  std::map<base::ServerId, Place> mPlaces;
  // Needs that found no place in this pass, by service and label: room only
  // shrinks within a pass, so equal or larger needs find none either.
  std::map<std::pair<std::string, std::string>, std::vector<jobs::Resources>>
    mUnplaceable;
  std::map<std::string, std::vector<Place*>> mRacks;
  bool mEndsKnown = false;
};

} // namespace flamingoloom::scheduler
