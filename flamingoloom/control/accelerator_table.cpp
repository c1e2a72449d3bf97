#include "flamingoloom/control/accelerator_table.h"

#include <algorithm>

#include "flamingoloom/placement/backfill.h"

namespace flamingoloom::control {

using ledger::TaskPlacement;
using placement::Range;

placement::Job MakeJob(const base::RequestId& aRequest,
                       const config::JobKind& aKind,
                       base::Duration aExpectedRunTime)
{
  placement::Job job;
  job.mRequest = aRequest;
  job.mProperties = { aKind.mPreemptible,
                      aKind.mCheckpointable,
                      aKind.mIdempotent };
  job.mTasks = aKind.mTasks;
  job.mAcceleratorsPerTask = aKind.mAcceleratorsPerTask;
  job.mAdjacent = aKind.mAdjacent;
  job.mExpectedRunTime = aExpectedRunTime;
  return job;
}

void AcceleratorTable::Configure(const config::Configuration& aConfiguration,
                                 const base::DataCentreId& aDataCentre)
{
  const config::DataCentre* centre = aConfiguration.FindDataCentre(aDataCentre);
  if (!centre) {
    return;
  }
  placement::DataCentreCapacity capacity{ aDataCentre,
                                          std::max(centre->mRacks, 1),
                                          centre->mServersPerRack,
                                          centre->mAcceleratorsPerServer };
  if (!mPlacement || mCapacity != capacity) {
    // Numbers of servers depend on the size.
    mCapacity = capacity;
    mPlacement.emplace(capacity);
    mServers.clear();
    mNumbers.clear();
    mInService.clear();
    for (int i = 0; i < capacity.mRacks * capacity.mServersPerRack; ++i) {
      mPlacement->DrainServer(i);
    }
  }
  std::vector<placement::Demand> guarantees;
  for (const config::DataCentreGuarantee& assigned :
       aConfiguration.mAssignments) {
    if (assigned.mDataCentre == aDataCentre) {
      guarantees.push_back({ assigned.mGuarantee.mAccount,
                             assigned.mGuarantee.mShape,
                             assigned.mGuarantee.mCount });
    }
  }
  mPlacement->SetGuarantees(guarantees);
}

bool AcceleratorTable::HoldsWork(int aNumber) const
{
  int first = aNumber * mCapacity.mAcceleratorsPerServer;
  int end = first + mCapacity.mAcceleratorsPerServer;
  for (const placement::Allocation& allocation : mPlacement->Allocations()) {
    for (const Range& range : allocation.mBlocks) {
      if (range.mFirst < end && range.mFirst + range.mCount > first) {
        return true;
      }
    }
  }
  return false;
}

// The number of a listed server: its own, or the first of its rack that is
// free; -1 when the rack is full.
int AcceleratorTable::NumberFor(const platform::Member& aServer)
{
  if (auto known = mNumbers.find(aServer.mId); known != mNumbers.end()) {
    return known->second;
  }
  if (aServer.mRack < 0 || aServer.mRack >= mCapacity.mRacks) {
    return -1;
  }
  int first = aServer.mRack * mCapacity.mServersPerRack;
  for (int i = first; i < first + mCapacity.mServersPerRack; ++i) {
    if (!mServers.contains(i) && !HoldsWork(i)) {
      mNumbers[aServer.mId] = i;
      return i;
    }
  }
  return -1;
}

void AcceleratorTable::SetServers(const std::vector<platform::Member>& aListed,
                                  const std::vector<platform::Member>& aUsable)
{
  if (!mPlacement) {
    return;
  }
  std::set<std::string> listed;
  for (const platform::Member& server : aListed) {
    listed.insert(server.mId);
  }
  std::erase_if(mServers, [&](const auto& aEntry) {
    bool gone = !listed.contains(aEntry.second.mId) && !HoldsWork(aEntry.first);
    if (gone) {
      mNumbers.erase(aEntry.second.mId);
    }
    return gone;
  });
  for (const platform::Member& server : aListed) {
    int number = NumberFor(server);
    if (number >= 0) {
      mServers[number] = server;
    }
  }
  std::set<int> usable;
  for (const platform::Member& server : aUsable) {
    auto number = mNumbers.find(server.mId);
    if (number != mNumbers.end() &&
        server.mAccelerators >= mCapacity.mAcceleratorsPerServer) {
      usable.insert(number->second);
    }
  }
  for (int number : usable) {
    if (!mInService.contains(number)) {
      mPlacement->ReturnServer(number);
    }
  }
  for (int number : mInService) {
    if (!usable.contains(number)) {
      mPlacement->DrainServer(number);
    }
  }
  mInService = std::move(usable);
}

std::optional<platform::Member> AcceleratorTable::ServerAt(int aNumber) const
{
  auto found = mServers.find(aNumber);
  return found == mServers.end() ? std::nullopt : std::optional(found->second);
}

// Takes aCount accelerators of one server from aNext on and before aEnd.
bool AcceleratorTable::TakeTask(int aCount,
                                int aEnd,
                                int& aNext,
                                std::vector<TaskPlacement>& aPlacements) const
{
  int perServer = mCapacity.mAcceleratorsPerServer;
  if (aNext % perServer + aCount > perServer) {
    // A task does not extend over two servers.
    aNext += perServer - aNext % perServer;
  }
  auto server = mServers.find(aNext / perServer);
  if (aNext + aCount > aEnd || server == mServers.end()) {
    return false;
  }
  TaskPlacement place{
    { base::ServerId(server->second.mId), server->second.mAddress }, {}
  };
  for (int i = 0; i < aCount; ++i) {
    place.mAccelerators.push_back(aNext % perServer + i);
  }
  aNext += aCount;
  aPlacements.push_back(std::move(place));
  return true;
}

std::optional<std::vector<TaskPlacement>> AcceleratorTable::ToPlacements(
  const placement::Job& aJob,
  const std::vector<Range>& aBlocks) const
{
  std::vector<TaskPlacement> places;
  int tasksPerBlock = aJob.mAdjacent ? aJob.mTasks : 1;
  for (const Range& block : aBlocks) {
    int next = block.mFirst;
    for (int task = 0; task < tasksPerBlock; ++task) {
      if (!TakeTask(aJob.mAcceleratorsPerTask,
                    block.mFirst + block.mCount,
                    next,
                    places)) {
        return std::nullopt;
      }
    }
  }
  return places;
}

std::vector<PlacedJob> AcceleratorTable::Decide(
  const std::vector<placement::Job>& aWaiting,
  base::Time aNow)
{
  std::vector<PlacedJob> placed;
  if (!mPlacement || aWaiting.empty()) {
    return placed;
  }
  auto queue = placement::DecideQueue(*mPlacement, aWaiting, aNow);
  for (std::size_t i = 0; i < aWaiting.size(); ++i) {
    auto* decision = std::get_if<placement::Placed>(&queue.mDecisions[i]);
    if (!decision) {
      continue;
    }
    auto places = ToPlacements(aWaiting[i], decision->mBlocks);
    if (!places) {
      mPlacement->Finish(aWaiting[i].mRequest);
      continue;
    }
    auto allocation = mPlacement->FindAllocation(aWaiting[i].mRequest);
    placed.push_back({ aWaiting[i].mRequest,
                       std::move(*places),
                       std::move(decision->mPreempted),
                       allocation && allocation->mWithinGuarantee });
  }
  return placed;
}

std::optional<placement::Allocation> AcceleratorTable::ToAllocation(
  const RunningJob& aRunning,
  base::Time aNow) const
{
  const ledger::Record& record = *aRunning.mRecord;
  const config::JobKind& kind = *aRunning.mKind;
  placement::Job job = MakeJob(record.mRequest, kind, kind.mDeclaredRunTime);
  placement::Allocation allocation;
  allocation.mRequest = record.mRequest;
  allocation.mProperties = job.mProperties;
  allocation.mStarted = aNow;
  allocation.mExpectedEnd = aNow + job.mExpectedRunTime;
  allocation.mWithinGuarantee = record.mAttempt->mWithinGuarantee;
  for (const TaskPlacement& place : record.mAttempt->mPlacements) {
    auto number = mNumbers.find(place.mServer.mId.Value());
    if (number == mNumbers.end() || place.mAccelerators.empty()) {
      return std::nullopt;
    }
    // The first task of an adjacent job lies at the start of its block.
    if (allocation.mBlocks.empty() || !job.mAdjacent) {
      int first = number->second * mCapacity.mAcceleratorsPerServer +
                  place.mAccelerators.front();
      allocation.mBlocks.push_back(
        { first, placement::ShapeOf(job.BlockSize()) });
    }
  }
  return allocation;
}

void AcceleratorTable::Adopt(const std::vector<RunningJob>& aRunning,
                             base::Time aNow)
{
  if (!mPlacement) {
    return;
  }
  std::vector<placement::Allocation> allocations;
  for (const RunningJob& running : aRunning) {
    if (auto allocation = ToAllocation(running, aNow)) {
      allocations.push_back(std::move(*allocation));
    }
  }
  if (mPlacement->Adopt(allocations)) {
    return;
  }
  // One that does not fit must not keep the others out.
  for (const placement::Allocation& allocation : allocations) {
    static_cast<void>(mPlacement->Adopt({ &allocation, 1 }));
  }
}

bool AcceleratorTable::CouldFit(const config::JobKind& aKind) const
{
  int perServer = std::max(mCapacity.mAcceleratorsPerServer, 1);
  int inService = static_cast<int>(mInService.size()) * perServer;
  if (aKind.Accelerators() > inService) {
    return false;
  }
  if (!aKind.mAdjacent || aKind.Accelerators() <= perServer) {
    return true;
  }
  // An aligned run of whole servers.
  int servers = placement::ShapeOf(aKind.Accelerators()) / perServer;
  int all = mCapacity.mRacks * mCapacity.mServersPerRack;
  for (int first = 0; first + servers <= all; first += servers) {
    int found = 0;
    while (found < servers && mInService.contains(first + found)) {
      ++found;
    }
    if (found == servers) {
      return true;
    }
  }
  return false;
}

void AcceleratorTable::Finish(const base::RequestId& aRequest)
{
  if (mPlacement) {
    mPlacement->Finish(aRequest);
  }
}

void AcceleratorTable::Clear()
{
  mPlacement.reset();
  mServers.clear();
  mNumbers.clear();
  mInService.clear();
}

} // namespace flamingoloom::control
