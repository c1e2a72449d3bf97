#include "testing/scheduler_load/standstill_judge.h"

#include <algorithm>

namespace flamingoloom::testing::scheduler_load {
namespace {

bool IsSound(const Server& aServer)
{
  return aServer.mUp && !aServer.mFailing && !aServer.mInfo.mDraining;
}

bool IsHalfInUse(const std::vector<Server>& aServers)
{
  jobs::Resources capacity;
  jobs::Resources used;
  for (const Server& server : aServers) {
    if (server.mUp) {
      capacity += server.mInfo.mCapacity;
      used += server.mUsed;
    }
  }
  return 2 * used.mCpuMilli >= capacity.mCpuMilli ||
         2 * used.mMemoryMb >= capacity.mMemoryMb ||
         2 * used.mAccelerators >= capacity.mAccelerators;
}

bool HasRoomTwice(const std::vector<Server>& aServers,
                  const jobs::StepSpec& aStep)
{
  const auto need = aStep.Footprint();
  std::int64_t left = 2 * std::int64_t{ aStep.mGang ? aStep.mTaskCount : 1 };
  for (const Server& server : aServers) {
    if (IsSound(server) && need.FitsIn(server.Free())) {
      left -= need.CountIn(server.Free());
    }
    if (left <= 0) {
      return true;
    }
  }
  return false;
}

} // namespace

void StandstillJudge::OnReady(const std::string& aJob, int aStep)
{
  mReady[aJob].push_back(aStep);
}

void StandstillJudge::OnOver(const std::string& aJob, int aStep)
{
  std::erase(mReady[aJob], aStep);
}

void StandstillJudge::OnJobOver(const std::string& aJob)
{
  Close(aJob);
  mReady.erase(aJob);
}

void StandstillJudge::Close(const std::string& aJob)
{
  const auto open = mOpen.find(aJob);
  if (open == mOpen.end()) {
    return;
  }
  if (open->second.mTo - open->second.mFrom >= kMinSpan) {
    mClosed.push_back(open->second);
  }
  mOpen.erase(open);
}

void StandstillJudge::Observe(base::Time aNow,
                              bool aCalm,
                              const ServerModel& aServers,
                              const std::map<std::string, PlannedJob>& aJobs)
{
  const bool excused = !aCalm || IsHalfInUse(aServers.Servers());
  for (const auto& [id, steps] : mReady) {
    const bool stands =
      !excused && aServers.Running(id) == 0 && !steps.empty() &&
      HasRoomTwice(
        aServers.Servers(),
        aJobs.at(id).mSpec.mSteps[static_cast<std::size_t>(steps.front())]);
    if (!stands) {
      Close(id);
      continue;
    }
    const auto now = aNow.time_since_epoch();
    auto& open =
      mOpen
        .try_emplace(
          id, Standstill{ id, steps.front(), now, now, aServers.Starts(id) })
        .first->second;
    open.mTo = now;
  }
}

std::vector<Standstill> StandstillJudge::Spans() const
{
  auto spans = mClosed;
  for (const auto& [id, open] : mOpen) {
    if (open.mTo - open.mFrom >= kMinSpan) {
      spans.push_back(open);
    }
  }
  return spans;
}

} // namespace flamingoloom::testing::scheduler_load
