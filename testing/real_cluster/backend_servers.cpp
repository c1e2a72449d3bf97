#include "testing/real_cluster/backend_servers.h"

#include <algorithm>

#include <fmt/format.h>

namespace flamingoloom::testing::real_cluster {

using review::Json;
using review::Request;
using review::Responder;
using review::Response;
using review::Runtime;

namespace {

constexpr const char* kTable = "servers";
constexpr double kLeaseCheckMs = 20;
constexpr int kMissedBeats = 3;
constexpr int kSlots = 8;
constexpr std::size_t kMaxListedEnds = 500;
constexpr double kFailMs = 5;
// Tasks of a step that is no gang take up to this much longer, by their index.
constexpr double kSpreadMs = 900;

} // namespace

ServerBounds ServerBounds::From(const Json& aSettings)
{
  // A stop takes a part of the time that it may take.
  constexpr double kStopShare = 0.1;
  const auto& bounds = aSettings.at("bounds");
  return { aSettings.at("heartbeat-interval-ms").get<double>(),
           bounds.at("max-hold-ms").get<std::int64_t>(),
           bounds.at("stop-timeout-ms").get<double>() * kStopShare,
           bounds.at("gang-timeout-ms").get<double>(),
           bounds.at("remote-factor").get<double>() };
}

BackendServer::BackendServer(BackendFleet& aFleet, ServerSpec aSpec)
  : mFleet(aFleet)
  , mRuntime(aFleet.mRuntime)
  , mSpec(std::move(aSpec))
  , mServer(std::make_shared<review::HttpServer>(
      mRuntime.Loop(),
      [this](const Request& aRequest, const Responder& aRespond) {
        Handle(aRequest, aRespond);
      }))
{
  // Reserves the port for the server's entry.
  mServer->Start();
  mServer->Crash();
  Restart();
}

std::int64_t BackendServer::ClockMs() const
{
  constexpr std::int64_t kFirstMs = 100000;
  return kFirstMs + static_cast<std::int64_t>(mRuntime.NowMs() - mClockStartMs);
}

void BackendServer::InThisLife(double aMs, std::function<void()> aThen)
{
  mRuntime.After(aMs, [this, life = mLife, then = std::move(aThen)] {
    if (life == mLife) {
      then();
    }
  });
}

void BackendServer::Restart()
{
  ++mLife;
  mUp = true;
  mDraining = false;
  mBorn = Runtime::UnixMs();
  mClockStartMs = mRuntime.NowMs();
  mSequence = mFence = mLeaseUntilMs = mLastEnd = 0;
  mPastRuns.clear();
  Register();
  mServer->Start();
  mRuntime.Record(fmt::format("server {} starts, born {}", mSpec.mId, mBorn));
  InThisLife(mFleet.mBounds.mBeatMs, [this] { Beat(); });
  WatchLease();
}

void BackendServer::Vanish(const std::string& aWhat)
{
  mRuntime.Record(fmt::format("server {} {}", mSpec.mId, aWhat));
  mUp = false;
  ++mLife;
  mWaiters.clear();
  for (const auto& [task, run] : std::exchange(mRuns, {})) {
    mFleet.mJudge.End(task, run.mRun, "lost", mRuntime.NowMs());
    mFleet.BreakGang(task, run.mRun);
  }
  for (const auto& end : std::exchange(mEnds, {})) {
    if (end.mEnd.mHow == "done" && !end.mListed) {
      mFleet.mJudge.Undo(end.mEnd.mTask);
    }
  }
  mServer->Crash();
}

void BackendServer::Crash()
{
  Vanish("crashes");
  InThisLife(kMissedBeats * mFleet.mBounds.mBeatMs,
             [this] { mFleet.mStore.Remove(kTable, mSpec.mId); });
}

void BackendServer::Drain(double aMs)
{
  mDraining = true;
  mLeavesMs = mRuntime.NowMs() + aMs;
  mRuntime.Record(fmt::format("server {} drains", mSpec.mId));
  Register();
  InThisLife(aMs, [this] {
    Vanish("leaves");
    mFleet.mStore.Remove(kTable, mSpec.mId);
  });
}

void BackendServer::Register()
{
  if (mFleet.mStore.IsDown()) {
    return;
  }
  Json entry{ { "service", mSpec.mService },
              { "address", mServer->Address() },
              { "zone", mSpec.mDataCentre },
              { "version", "v1" },
              { "slots", kSlots },
              { "state", mDraining ? "draining" : "ready" },
              { "cold-remaining-ms", 0 },
              { "capacity",
                { { "cpu", mSpec.mCapacity.mCpuMilli },
                  { "requested-memory-mb", mSpec.mCapacity.mMemoryMb },
                  { "gpus", mSpec.mCapacity.mGpus } } },
              { "labels", { "a", mSpec.mRack } },
              { "clock-ms", ClockMs() },
              { "born", mBorn },
              { "sequence", ++mSequence } };
  if (mDraining) {
    entry["remaining-ms"] =
      static_cast<std::int64_t>(std::max(0.0, mLeavesMs - mRuntime.NowMs()));
  }
  mFleet.mStore.Put(kTable, mSpec.mId, entry);
}

void BackendServer::Beat()
{
  Register();
  InThisLife(mFleet.mBounds.mBeatMs, [this] { Beat(); });
}

void BackendServer::WatchLease()
{
  if (!mRuns.empty() && ClockMs() > mLeaseUntilMs) {
    const auto runs = mRuns;
    for (const auto& [task, run] : runs) {
      EndRun(task, run.mRun, "lapsed");
    }
  }
  InThisLife(kLeaseCheckMs, [this] { WatchLease(); });
}

Response BackendServer::Reply(int aStatus, Json aBody) const
{
  aBody["clock-ms"] = ClockMs();
  aBody["born"] = mBorn;
  return { aStatus, {}, aBody.dump() };
}

void BackendServer::Handle(const Request& aRequest, const Responder& aRespond)
{
  if (aRequest.mMethod == "GET") {
    aRespond({ mDraining ? 503 : 200 });
    return;
  }
  const auto& expected =
    http::HeaderValue(aRequest.mHeaders, "Expected-Instance");
  if (!expected.empty() && expected != mSpec.mId) {
    aRespond({ 421 });
    return;
  }
  const Json body = Json::parse(aRequest.mBody);
  if (IsFenced(body)) {
    aRespond(Reply(409, { { "reason", "fence" } }));
  } else if (aRequest.mTarget == "/run-start") {
    aRespond(Start(body));
  } else if (aRequest.mTarget == "/run-stop") {
    aRespond(Stop(body));
  } else if (aRequest.mTarget == "/hold") {
    Hold(body, aRespond);
  } else {
    aRespond({ 404 });
  }
}

bool BackendServer::IsFenced(const Json& aBody)
{
  const auto token = aBody.value("fencing-token", std::int64_t{ 0 });
  if (token < mFence) {
    return true;
  }
  mFence = token;
  return false;
}

void BackendServer::ExtendLease(const Json& aBody)
{
  if (aBody.contains("deadline-ms")) {
    mLeaseUntilMs =
      std::max(mLeaseUntilMs,
               std::min(aBody.at("deadline-ms").get<std::int64_t>(),
                        ClockMs() + mFleet.mBounds.mMaxHoldMs));
  }
}

Capacity BackendServer::Used() const
{
  Capacity used;
  for (const auto& [task, run] : mRuns) {
    if (const auto* step = mFleet.StepOf(task)) {
      used += step->mNeed;
    }
  }
  return used;
}

Response BackendServer::Start(const Json& aBody)
{
  const std::string task = aBody.at("task");
  const int run = aBody.at("run");
  const auto running = mRuns.find(task);
  if (running != mRuns.end() && running->second.mRun == run) {
    ExtendLease(aBody);
    return Reply(200, Json::object());
  }
  const auto past = mPastRuns.find(task);
  if ((past != mPastRuns.end() && run <= past->second) ||
      running != mRuns.end()) {
    ExtendLease(aBody);
    return Reply(409, { { "reason", "old" } });
  }
  if (aBody.at("deadline-ms").get<std::int64_t>() <= ClockMs()) {
    return Reply(409, { { "reason", "late" } });
  }
  ExtendLease(aBody);
  const auto* step = mFleet.StepOf(task);
  if (step == nullptr) {
    mRuntime.Record("UNASKED start of " + task);
    return Reply(400, Json::object());
  }
  auto room = mSpec.mCapacity;
  room -= Used();
  if (!room.Holds(step->mNeed)) {
    return Reply(409, { { "reason", "room" } });
  }
  mFleet.mStarts.push_back({ task, run, mSpec.mId });
  mFleet.mJudge.Start(task, run, mRuntime.NowMs());
  mRuntime.Record(fmt::format(
    "server {} starts {} run {} (token {})", mSpec.mId, task, run, mFence));
  mRuns[task].mRun = run;
  Begin(task);
  return Reply(200, Json::object());
}

void BackendServer::Begin(const std::string& aTask)
{
  const auto& step = *mFleet.StepOf(aTask);
  auto& run = mRuns.at(aTask);
  const int number = run.mRun;
  run.mStartedMs = mRuntime.NowMs();
  run.mLengthMs = step.mMs;
  if (mFailsStarts) {
    InThisLife(kFailMs,
               [this, aTask, number] { EndRun(aTask, number, "failed"); });
    return;
  }
  if (step.mGang) {
    mFleet.JoinGang(aTask, number, *this);
    return;
  }
  constexpr int kSpreadParts = 10;
  run.mLengthMs +=
    kSpreadMs * (ParseTaskName(aTask).mIndex % kSpreadParts) / kSpreadParts;
  if (!step.mDataRack.empty() && step.mDataRack != mSpec.mRack) {
    run.mLengthMs *= mFleet.mBounds.mRemoteFactor;
  }
  run.mWorking = true;
  if (!step.mLasts) {
    InThisLife(run.mLengthMs,
               [this, aTask, number] { EndRun(aTask, number, "done"); });
  }
}

void BackendServer::EndRun(const std::string& aTask,
                           int aRun,
                           const std::string& aHow)
{
  const auto run = mRuns.find(aTask);
  if (run == mRuns.end() || run->second.mRun != aRun) {
    return;
  }
  mRuns.erase(run);
  auto& past = mPastRuns[aTask];
  past = std::max(past, aRun);
  const TaskEnd end{ aTask, aRun, aHow };
  mEnds.push_back({ ++mLastEnd, end });
  mFleet.mEnds.push_back(end);
  mFleet.mJudge.End(aTask, aRun, aHow, mRuntime.NowMs());
  mRuntime.Record(fmt::format("server {} ends {} run {}: {} (end {})",
                              mSpec.mId,
                              aTask,
                              aRun,
                              aHow,
                              mLastEnd));
  mFleet.BreakGang(aTask, aRun);
  for (const auto& respond : std::exchange(mWaiters, {})) {
    respond(Lists());
  }
}

Response BackendServer::Stop(const Json& aBody)
{
  const std::string task = aBody.at("task");
  const int run = aBody.at("run");
  const auto running = mRuns.find(task);
  mRuntime.Record(
    fmt::format("server {} is told to stop {} run {}", mSpec.mId, task, run));
  if (running != mRuns.end() && running->second.mRun == run) {
    InThisLife(mFleet.mBounds.mStopMs,
               [this, task, run] { EndRun(task, run, "stopped"); });
  } else {
    auto& past = mPastRuns[task];
    past = std::max(past, run);
  }
  return Reply(200, Json::object());
}

Response BackendServer::Lists()
{
  constexpr int kAllPercent = 100;
  Json running = Json::array();
  for (const auto& [task, run] : mRuns) {
    const auto* step = mFleet.StepOf(task);
    const double worked =
      run.mWorking ? (mRuntime.NowMs() - run.mStartedMs) / run.mLengthMs : 0;
    const int percent = step->mLasts
                          ? kAllPercent
                          : std::clamp(static_cast<int>(worked * kAllPercent),
                                       0,
                                       kAllPercent - 1);
    running.push_back({ task, run.mRun, "", percent });
  }
  Json finished = Json::array();
  for (auto& [number, end, listed] : mEnds) {
    if (finished.size() == kMaxListedEnds) {
      break;
    }
    listed = true;
    finished.push_back({ number, end.mTask, end.mRun, end.mHow, "" });
  }
  return Reply(200, { { "running-tasks", running }, { "finished", finished } });
}

void BackendServer::Hold(const Json& aBody, const Responder& aRespond)
{
  ExtendLease(aBody);
  const auto through = aBody.value("acked-through", std::int64_t{ 0 });
  while (!mEnds.empty() && mEnds.front().mNumber <= through) {
    mEnds.pop_front();
  }
  const auto waitMs = aBody.value("wait-ms", 0);
  if (!mEnds.empty() || waitMs == 0) {
    aRespond(Lists());
    return;
  }
  const auto answered = std::make_shared<bool>(false);
  const auto once = [answered, aRespond](const Response& aResponse) {
    if (!std::exchange(*answered, true)) {
      aRespond(aResponse);
    }
  };
  mWaiters.emplace_back(once);
  InThisLife(waitMs, [this, once] { once(Lists()); });
}

} // namespace flamingoloom::testing::real_cluster
