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
  const config::DataCentre* dataCentre =
    aConfiguration.FindDataCentre(aDataCentre);
  if (!dataCentre) {
    return;
  }
  placement::DataCentreCapacity capacity{ aDataCentre,
                                          std::max(dataCentre->mRacks, 1),
                                          dataCentre->mServersPerRack,
                                          dataCentre->mAcceleratorsPerServer };
  if (!mPlacement || mCapacity != capacity) {
    // Server indexes depend on the size of the data centre.
    mCapacity = capacity;
    mPlacement.emplace(capacity);
    mServers.clear();
    mServerIndexes.clear();
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

bool AcceleratorTable::HasAllocations(int aServerIndex) const
{
  int first = aServerIndex * mCapacity.mAcceleratorsPerServer;
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

// Returns the index of a listed server: the one it has, or the first free one
// in its rack; -1 if the rack is full.
int AcceleratorTable::IndexFor(const platform::Member& aServer)
{
  if (auto known = mServerIndexes.find(aServer.mId);
      known != mServerIndexes.end()) {
    return known->second;
  }
  if (aServer.mRack < 0 || aServer.mRack >= mCapacity.mRacks) {
    return -1;
  }
  int first = aServer.mRack * mCapacity.mServersPerRack;
  for (int i = first; i < first + mCapacity.mServersPerRack; ++i) {
    if (!mServers.contains(i) && !HasAllocations(i)) {
      mServerIndexes[aServer.mId] = i;
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
    bool isRemoved =
      !listed.contains(aEntry.second.mId) && !HasAllocations(aEntry.first);
    if (isRemoved) {
      mServerIndexes.erase(aEntry.second.mId);
    }
    return isRemoved;
  });
  for (const platform::Member& server : aListed) {
    int serverIndex = IndexFor(server);
    if (serverIndex >= 0) {
      mServers[serverIndex] = server;
    }
  }
  std::set<int> usable;
  for (const platform::Member& server : aUsable) {
    auto serverIndex = mServerIndexes.find(server.mId);
    if (serverIndex != mServerIndexes.end() &&
        server.mAccelerators >= mCapacity.mAcceleratorsPerServer) {
      usable.insert(serverIndex->second);
    }
  }
  for (int serverIndex : usable) {
    if (!mInService.contains(serverIndex)) {
      mPlacement->ReturnServer(serverIndex);
    }
  }
  for (int serverIndex : mInService) {
    if (!usable.contains(serverIndex)) {
      mPlacement->DrainServer(serverIndex);
    }
  }
  mInService = std::move(usable);
}

std::optional<platform::Member> AcceleratorTable::ServerAt(
  int aServerIndex) const
{
  auto found = mServers.find(aServerIndex);
  return found == mServers.end() ? std::nullopt : std::optional(found->second);
}

// Assigns a task aCount accelerators of one server, from aNext on and before
// aEnd, and advances aNext. Returns false if they do not fit or the server is
// not listed.
bool AcceleratorTable::PlaceTask(int aCount,
                                 int aEnd,
                                 int& aNext,
                                 std::vector<TaskPlacement>& aPlacements) const
{
  int perServer = mCapacity.mAcceleratorsPerServer;
  if (aNext % perServer + aCount > perServer) {
    // A task must not span two servers.
    aNext += perServer - aNext % perServer;
  }
  auto server = mServers.find(aNext / perServer);
  if (aNext + aCount > aEnd || server == mServers.end()) {
    return false;
  }
  TaskPlacement taskPlacement{
    { base::ServerId(server->second.mId), server->second.mAddress }, {}
  };
  for (int i = 0; i < aCount; ++i) {
    taskPlacement.mAccelerators.push_back(aNext % perServer + i);
  }
  aNext += aCount;
  aPlacements.push_back(std::move(taskPlacement));
  return true;
}

std::optional<std::vector<TaskPlacement>> AcceleratorTable::ToPlacements(
  const placement::Job& aJob,
  const std::vector<Range>& aBlocks) const
{
  std::vector<TaskPlacement> placements;
  int tasksPerBlock = aJob.mAdjacent ? aJob.mTasks : 1;
  for (const Range& block : aBlocks) {
    int next = block.mFirst;
    for (int task = 0; task < tasksPerBlock; ++task) {
      if (!PlaceTask(aJob.mAcceleratorsPerTask,
                     block.mFirst + block.mCount,
                     next,
                     placements)) {
        return std::nullopt;
      }
    }
  }
  return placements;
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
    auto placements = ToPlacements(aWaiting[i], decision->mBlocks);
    if (!placements) {
      mPlacement->Finish(aWaiting[i].mRequest);
      continue;
    }
    auto allocation = mPlacement->FindAllocation(aWaiting[i].mRequest);
    placed.push_back({ aWaiting[i].mRequest,
                       std::move(*placements),
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
  for (const TaskPlacement& taskPlacement : record.mAttempt->mPlacements) {
    auto serverIndex = mServerIndexes.find(taskPlacement.mServer.mId.Value());
    if (serverIndex == mServerIndexes.end() ||
        taskPlacement.mAccelerators.empty()) {
      return std::nullopt;
    }
    // The first task of an adjacent job is at the start of its block.
    if (allocation.mBlocks.empty() || !job.mAdjacent) {
      int first = serverIndex->second * mCapacity.mAcceleratorsPerServer +
                  taskPlacement.mAccelerators.front();
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
  // An allocation that does not fit must not prevent the others from being
  // adopted.
  for (const placement::Allocation& allocation : allocations) {
    static_cast<void>(mPlacement->Adopt({ &allocation, 1 }));
  }
}

int AcceleratorTable::ServersInRange(const config::JobKind& aKind) const
{
  int perServer = std::max(mCapacity.mAcceleratorsPerServer, 1);
  return aKind.mAdjacent && aKind.Accelerators() > perServer
           ? placement::ShapeOf(aKind.Accelerators()) / perServer
           : 1;
}

int AcceleratorTable::CountUsableRanges(int aServers) const
{
  int count = 0;
  for (int first = 0; first + aServers <= ServerCount(); first += aServers) {
    int found = 0;
    while (found < aServers && mInService.contains(first + found)) {
      ++found;
    }
    count += found == aServers ? 1 : 0;
  }
  return count;
}

bool AcceleratorTable::CouldFit(const config::JobKind& aKind) const
{
  int perServer = std::max(mCapacity.mAcceleratorsPerServer, 1);
  int inService = static_cast<int>(mInService.size()) * perServer;
  if (aKind.Accelerators() > inService) {
    return false;
  }
  int servers = ServersInRange(aKind);
  return servers == 1 || CountUsableRanges(servers) > 0;
}

bool AcceleratorTable::HasLostHalfOfPlaces(const config::JobKind& aKind) const
{
  int servers = ServersInRange(aKind);
  return servers > 1 &&
         2 * CountUsableRanges(servers) <= ServerCount() / servers;
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
  mServerIndexes.clear();
  mInService.clear();
}

} // namespace flamingoloom::control
