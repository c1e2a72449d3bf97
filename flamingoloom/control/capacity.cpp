#include "flamingoloom/control/capacity.h"

#include <algorithm>

namespace flamingoloom::control {

using ledger::TaskPlace;

int Capacity::Server::FreeAccelerators() const
{
  return mMember.mAccelerators - static_cast<int>(mAcceleratorsUsed.size());
}

std::vector<int> Capacity::Server::Take(int aCount) const
{
  std::vector<int> taken;
  for (int i = 0;
       i < mMember.mAccelerators && static_cast<int>(taken.size()) < aCount;
       ++i) {
    if (!mAcceleratorsUsed.contains(i)) {
      taken.push_back(i);
    }
  }
  return taken;
}

void Capacity::SetServers(const std::vector<platform::Member>& aServers)
{
  for (auto& [id, server] : mServers) {
    server.mUsable = false;
  }
  for (const platform::Member& member : aServers) {
    Server& server = mServers[member.mId];
    server.mMember = member;
    server.mUsable = true;
  }
}

std::optional<TaskPlace> Capacity::PlaceTask(
  const config::JobKind& aKind,
  const std::vector<base::ServerId>& aAvoid,
  std::optional<int> aRack,
  const std::string& aOnlyServer)
{
  const Server* best = nullptr;
  for (const auto& [id, server] : mServers) {
    bool avoided =
      std::find(aAvoid.begin(), aAvoid.end(), base::ServerId(id)) !=
      aAvoid.end();
    if (!server.mUsable || avoided ||
        (aRack && server.mMember.mRack != *aRack) ||
        (!aOnlyServer.empty() && id != aOnlyServer)) {
      continue;
    }
    if (aKind.mAcceleratorsPerTask == 0) {
      if (server.mSlotsUsed < mSlots &&
          (!best || server.mSlotsUsed < best->mSlotsUsed)) {
        best = &server;
      }
    } else if (server.FreeAccelerators() >= aKind.mAcceleratorsPerTask &&
               (!best ||
                server.FreeAccelerators() < best->FreeAccelerators())) {
      best = &server;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  return TaskPlace{ { base::ServerId(best->mMember.mId),
                      best->mMember.mAddress },
                    best->Take(aKind.mAcceleratorsPerTask) };
}

std::optional<std::vector<TaskPlace>> Capacity::PlaceAll(
  const base::RequestId& aRequest,
  const config::JobKind& aKind,
  const std::vector<base::ServerId>& aAvoid,
  std::optional<int> aRack,
  const std::string& aOnlyServer)
{
  std::vector<TaskPlace> places;
  for (int task = 0; task < aKind.mTasks; ++task) {
    auto place = PlaceTask(aKind, aAvoid, aRack, aOnlyServer);
    if (!place) {
      for (const TaskPlace& taken : places) {
        Count(taken, false);
      }
      return std::nullopt;
    }
    Count(*place, true);
    places.push_back(std::move(*place));
  }
  mPlaces[aRequest] = places;
  return places;
}

std::optional<std::vector<TaskPlace>> Capacity::Place(
  const base::RequestId& aRequest,
  const config::JobKind& aKind,
  const std::vector<base::ServerId>& aAvoid)
{
  if (!aKind.mAdjacent || aKind.Accelerators() == 0) {
    return PlaceAll(aRequest, aKind, aAvoid, std::nullopt, "");
  }
  std::set<int> racks;
  for (const auto& [id, server] : mServers) {
    if (server.FreeAccelerators() >= aKind.Accelerators()) {
      if (auto places = PlaceAll(aRequest, aKind, aAvoid, std::nullopt, id)) {
        return places;
      }
    }
    racks.insert(server.mMember.mRack);
  }
  for (int rack : racks) {
    if (auto places = PlaceAll(aRequest, aKind, aAvoid, rack, "")) {
      return places;
    }
  }
  return std::nullopt;
}

void Capacity::Count(const TaskPlace& aPlace, bool aTake)
{
  Server& server = mServers[aPlace.mServer.mId.Value()];
  if (aPlace.mAccelerators.empty()) {
    server.mSlotsUsed += aTake ? 1 : -1;
  }
  for (int accelerator : aPlace.mAccelerators) {
    if (aTake) {
      server.mAcceleratorsUsed.insert(accelerator);
    } else {
      server.mAcceleratorsUsed.erase(accelerator);
    }
  }
}

void Capacity::Occupy(const base::RequestId& aRequest,
                      const std::vector<TaskPlace>& aPlaces)
{
  for (const TaskPlace& place : aPlaces) {
    Count(place, true);
  }
  mPlaces[aRequest] = aPlaces;
}

void Capacity::Release(const base::RequestId& aRequest)
{
  auto found = mPlaces.find(aRequest);
  if (found == mPlaces.end()) {
    return;
  }
  for (const TaskPlace& place : found->second) {
    Count(place, false);
  }
  mPlaces.erase(found);
}

void Capacity::Clear()
{
  mPlaces.clear();
  mServers.clear();
}

} // namespace flamingoloom::control
