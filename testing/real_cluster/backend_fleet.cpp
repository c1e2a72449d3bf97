#include <fmt/format.h>

#include "testing/real_cluster/backend_servers.h"

namespace flamingoloom::testing::real_cluster {

namespace {

// How long the other members take to learn that one has ended.
constexpr double kGangNewsMs = 20;

} // namespace

BackendFleet::BackendFleet(review::Runtime& aRuntime,
                           review::Store& aStore,
                           StillJudge& aJudge,
                           ServerBounds aBounds)
  : mRuntime(aRuntime)
  , mStore(aStore)
  , mJudge(aJudge)
  , mBounds(aBounds)
{
}

BackendServer& BackendFleet::Add(const ServerSpec& aSpec)
{
  mServers.push_back(std::make_unique<BackendServer>(*this, aSpec));
  return *mServers.back();
}

void BackendFleet::SetSteps(const std::string& aJob, JobSteps aSteps)
{
  mSteps[aJob] = std::move(aSteps);
}

const JobStep* BackendFleet::StepOf(const std::string& aTask) const
{
  const auto name = ParseTaskName(aTask);
  const auto steps = mSteps.find(name.mJob);
  return steps == mSteps.end() || name.mStep >= steps->second.size()
           ? nullptr
           : &steps->second[name.mStep];
}

void BackendFleet::ReplaceAfter(const ServerSpec& aSpec, double aMs)
{
  mRuntime.After(aMs, [this, spec = aSpec]() mutable {
    spec.mId = fmt::format("n-{:04}", ++mReplaced);
    Add(spec);
  });
}

void BackendFleet::LoseForGood(std::mt19937_64& aRandom,
                               double aShare,
                               double aReplaceMs)
{
  std::uniform_real_distribution<double> uniform(0, 1);
  for (const auto& server : mServers) {
    if (uniform(aRandom) < aShare && server->IsSound()) {
      server->Crash();
      ReplaceAfter(server->Spec(), aReplaceMs);
    }
  }
}

void BackendFleet::DrainOne(std::mt19937_64& aRandom,
                            double aLeaveMs,
                            double aReplaceMs)
{
  auto& server = *mServers[aRandom() % mServers.size()];
  if (server.IsSound()) {
    server.Drain(aLeaveMs);
    ReplaceAfter(server.Spec(), aReplaceMs);
  }
}

void BackendFleet::ShowToJudge()
{
  std::vector<Capacity> rooms;
  Capacity used;
  Capacity total;
  for (const auto& server : mServers) {
    if (!server->IsUp()) {
      continue;
    }
    const auto usedHere = server->Used();
    used += usedHere;
    total += server->Spec().mCapacity;
    if (server->IsSound()) {
      rooms.push_back(server->Spec().mCapacity);
      rooms.back() -= usedHere;
    }
  }
  mJudge.Look(mRuntime.NowMs(), rooms, used, total);
}

std::string BackendFleet::GangName(const std::string& aTask, int aRun)
{
  return aTask.substr(0, aTask.rfind('.')) + "#" + std::to_string(aRun);
}

void BackendFleet::JoinGang(const std::string& aTask,
                            int aRun,
                            BackendServer& aServer)
{
  const auto name = GangName(aTask, aRun);
  const auto& step = *StepOf(aTask);
  const auto size = static_cast<std::size_t>(step.mCount);
  auto& gang = mGangs[name];
  gang.mMembers[aTask] = &aServer;
  if (gang.mOver) {
    mRuntime.After(kGangNewsMs, [aTask, aRun, &aServer] {
      aServer.EndRun(aTask, aRun, "broken");
    });
    return;
  }
  if (gang.mMembers.size() < size) {
    mRuntime.After(mBounds.mGangTimeoutMs,
                   [this, name, aTask, aRun, size, &aServer] {
                     const auto& waiting = mGangs[name];
                     if (!waiting.mOver && waiting.mMembers.size() < size) {
                       aServer.EndRun(aTask, aRun, "alone");
                     }
                   });
    return;
  }
  const auto& rack = aServer.Spec().mRack;
  bool remote = false;
  for (const auto& [task, server] : gang.mMembers) {
    const auto& itsRack = server->Spec().mRack;
    remote = remote || (step.mSameRack && itsRack != rack) ||
             (!step.mDataRack.empty() && itsRack != step.mDataRack);
  }
  const double lengthMs = step.mMs * (remote ? mBounds.mRemoteFactor : 1);
  for (const auto& [task, server] : gang.mMembers) {
    auto& run = server->mRuns.at(task);
    run.mWorking = true;
    run.mStartedMs = mRuntime.NowMs();
    run.mLengthMs = lengthMs;
  }
  mRuntime.After(lengthMs, [this, name, aRun] {
    auto& working = mGangs[name];
    if (!std::exchange(working.mOver, true)) {
      for (const auto& [task, server] : working.mMembers) {
        server->EndRun(task, aRun, "done");
      }
    }
  });
}

void BackendFleet::BreakGang(const std::string& aTask, int aRun)
{
  const auto* step = StepOf(aTask);
  if (step == nullptr || !step->mGang) {
    return;
  }
  const auto name = GangName(aTask, aRun);
  auto& gang = mGangs[name];
  if (std::exchange(gang.mOver, true)) {
    return;
  }
  mRuntime.After(kGangNewsMs, [this, name, aRun] {
    const auto members = mGangs[name].mMembers;
    for (const auto& [task, server] : members) {
      server->EndRun(task, aRun, "broken");
    }
  });
}

} // namespace flamingoloom::testing::real_cluster
