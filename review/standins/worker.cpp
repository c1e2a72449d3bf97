#include "review/standins/worker.h"

#include <algorithm>

#include <fmt/format.h>

namespace review {
namespace {

constexpr double kBeatMs = 1500;
constexpr double kLeaseCheckMs = 20;
constexpr std::int64_t kMaxHoldMs = 10000;
constexpr double kStopMs = 60;
constexpr double kGangTimeoutMs = 3000;
constexpr std::size_t kMaxListedEnds = 500;
// How long the other members take to learn that one has ended.
constexpr double kGangNewsMs = 20;
constexpr double kFailMs = 5;

// The number after aName in a specification, or aDefault.
double NumberIn(const std::string& aSpecification,
                const std::string& aName,
                double aDefault)
{
  const auto at = aSpecification.find(aName + "=");
  return at == std::string::npos
           ? aDefault
           : std::stod(aSpecification.substr(at + aName.size() + 1));
}

std::string JobOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.find('.'));
}

int IndexOf(const std::string& aTask)
{
  return std::stoi(aTask.substr(aTask.rfind('.') + 1));
}

} // namespace

Worker::Worker(Runtime& aRuntime,
               Store& aStore,
               Fleet& aFleet,
               WorkerSpec aSpec)
  : mRuntime(aRuntime)
  , mStore(aStore)
  , mFleet(aFleet)
  , mSpec(std::move(aSpec))
  , mServer(std::make_shared<HttpServer>(
      aRuntime.Loop(),
      [this](const Request& aRequest, const Responder& aRespond) {
        Handle(aRequest, aRespond);
      }))
{
  // Reserves the port for the worker's entry.
  mServer->Start();
  mServer->Crash();
  Restart(mSpec.mKind);
}

std::vector<std::string> Worker::Labels() const
{
  return { mSpec.mKind, mSpec.mRack };
}

std::int64_t Worker::ClockMs() const
{
  return 100000 + static_cast<std::int64_t>(mRuntime.NowMs() - mClockStartMs);
}

void Worker::Restart(const std::string& aKind)
{
  ++mLife;
  mUp = true;
  mSpec.mKind = aKind;
  mBorn = Runtime::UnixMs();
  mClockStartMs = mRuntime.NowMs();
  mSequence = mFence = mLeaseUntilMs = mLastEnd = 0;
  mRuns.clear();
  mPastRuns.clear();
  mEnds.clear();
  Register();
  mServer->Start();
  mRuntime.Record(
    fmt::format("worker {} starts: kind {}, born {}", mSpec.mId, aKind, mBorn));
  mRuntime.After(kBeatMs, [this, life = mLife] { Beat(life); });
  WatchLease(mLife);
}

void Worker::Crash()
{
  mUp = false;
  ++mLife;
  mWaiters.clear();
  for (const auto& [task, run] : std::exchange(mRuns, {})) {
    mFleet.BreakGang(task, run.mRun);
  }
  mServer->Crash();
  mFleet.mCrashes.push_back({ mRuntime.NowMs(), mSpec.mId });
  mRuntime.Record(fmt::format("worker {} crashes", mSpec.mId));
  mRuntime.After(3 * kBeatMs, [this, life = mLife] {
    if (life == mLife) {
      mStore.Remove("servers", mSpec.mId);
    }
  });
}

void Worker::Register()
{
  if (mStore.IsDown()) {
    return;
  }
  mStore.Put("servers",
             mSpec.mId,
             { { "service", mSpec.mService },
               { "address", mServer->Address() },
               { "zone", mSpec.mZone },
               { "version", "v1" },
               { "slots", mSpec.mSlots },
               { "state", "ready" },
               { "cold-remaining-ms", 0 },
               { "capacity",
                 { { "cpu", mSpec.mCpu },
                   { "requested-memory-mb", mSpec.mMemoryMb },
                   { "gpus", mSpec.mGpus } } },
               { "labels", Labels() },
               { "clock-ms", ClockMs() },
               { "born", mBorn },
               { "sequence", ++mSequence } });
}

void Worker::Beat(int aLife)
{
  if (aLife != mLife) {
    return;
  }
  Register();
  mRuntime.After(kBeatMs, [this, aLife] { Beat(aLife); });
}

void Worker::WatchLease(int aLife)
{
  if (aLife != mLife) {
    return;
  }
  if (!mRuns.empty() && ClockMs() > mLeaseUntilMs) {
    for (const auto& [number, index] : mEnds) {
      mFleet.mEnds[index].mLapsedBeforeNoted = true;
    }
    const auto runs = mRuns;
    for (const auto& [task, run] : runs) {
      EndRun(task, run.mRun, "lapsed");
    }
  }
  mRuntime.After(kLeaseCheckMs, [this, aLife] { WatchLease(aLife); });
}

Response Worker::Reply(int aStatus, Json aBody) const
{
  aBody["clock-ms"] = ClockMs();
  aBody["born"] = mBorn;
  return { aStatus, {}, aBody.dump() };
}

void Worker::Handle(const Request& aRequest, const Responder& aRespond)
{
  using flamingoloom::http::HeaderValue;
  if (aRequest.mMethod == "GET") {
    aRespond({ 200 });
    return;
  }
  const auto& expected = HeaderValue(aRequest.mHeaders, "Expected-Instance");
  if (!expected.empty() && expected != mSpec.mId) {
    aRespond({ 421 });
    return;
  }
  const Json body = Json::parse(aRequest.mBody);
  if (aRequest.mTarget == "/run-start" && mFault == Fault::eBusy) {
    mRuntime.Record(fmt::format("worker {} rejects {} run {}: 503",
                                mSpec.mId,
                                body.at("task").get<std::string>(),
                                body.at("run").get<int>()));
    aRespond({ 503 });
    return;
  }
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

bool Worker::IsFenced(const Json& aBody)
{
  const auto token = aBody.value("fencing-token", std::int64_t{ 0 });
  if (token < mFence) {
    return true;
  }
  mFence = token;
  return false;
}

void Worker::ExtendLease(const Json& aBody)
{
  if (aBody.contains("deadline-ms")) {
    mLeaseUntilMs =
      std::max(mLeaseUntilMs,
               std::min(aBody.at("deadline-ms").get<std::int64_t>(),
                        ClockMs() + kMaxHoldMs));
  }
}

bool Worker::HasRoom(const std::string& aTask) const
{
  std::int64_t cpu = 0;
  std::int64_t memory = 0;
  std::int64_t gpus = 0;
  const auto add = [&](const std::string& aOfTask) {
    const auto need = mFleet.mNeeds.find(JobOf(aOfTask));
    if (need != mFleet.mNeeds.end()) {
      cpu += need->second.value("cpu", 0);
      memory += need->second.value("requested-memory-mb", 0);
      gpus += need->second.value("gpus", 0);
    }
  };
  add(aTask);
  for (const auto& [task, run] : mRuns) {
    add(task);
  }
  return cpu <= mSpec.mCpu && memory <= mSpec.mMemoryMb && gpus <= mSpec.mGpus;
}

Response Worker::Start(const Json& aBody)
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
  if (!HasRoom(task)) {
    return Reply(409, { { "reason", "room" } });
  }
  mFleet.mStarts.push_back(
    { mRuntime.NowMs(), task, run, mSpec.mId, Labels() });
  mRuntime.Record(fmt::format(
    "worker {} starts {} run {} (token {})", mSpec.mId, task, run, mFence));
  auto& begun = mRuns[task];
  begun.mRun = run;
  Begin(task, aBody.at("specification"));
  return Reply(200, Json::object());
}

void Worker::Begin(const std::string& aTask, const std::string& aSpecification)
{
  auto& run = mRuns.at(aTask);
  run.mStartedMs = mRuntime.NowMs();
  run.mLengthMs =
    NumberIn(aSpecification, "ms", 1000) +
    NumberIn(aSpecification, "spread", 0) * (IndexOf(aTask) % 10) / 10.0;
  const int number = run.mRun;
  const auto end =
    [this, aTask, number, life = mLife](double aMs, const std::string& aHow) {
      mRuntime.After(aMs, [this, aTask, number, life, aHow] {
        if (life == mLife) {
          EndRun(aTask, number, aHow);
        }
      });
    };
  if (mFault == Fault::eErrors) {
    end(kFailMs, "failed");
    return;
  }
  const int gang = static_cast<int>(NumberIn(aSpecification, "gang", 1));
  if (gang > 1) {
    mFleet.JoinGang(aTask, number, gang, *this);
    return;
  }
  run.mWorking = true;
  if (aSpecification.find("lasts") == std::string::npos) {
    end(run.mLengthMs, "done");
  }
}

void Worker::EndRun(const std::string& aTask, int aRun, const std::string& aHow)
{
  const auto run = mRuns.find(aTask);
  if (run == mRuns.end() || run->second.mRun != aRun) {
    return;
  }
  mRuns.erase(run);
  auto& past = mPastRuns[aTask];
  past = std::max(past, aRun);
  mEnds.emplace_back(++mLastEnd, mFleet.mEnds.size());
  mFleet.mEnds.push_back({ mRuntime.NowMs(), aTask, aRun, mSpec.mId, aHow });
  mFleet.mMostListedEnds = std::max(mFleet.mMostListedEnds, mEnds.size());
  mRuntime.Record(fmt::format("worker {} ends {} run {}: {} (end {})",
                              mSpec.mId,
                              aTask,
                              aRun,
                              aHow,
                              mLastEnd));
  mFleet.BreakGang(aTask, aRun);
  for (const auto& waiter : std::exchange(mWaiters, {})) {
    waiter.mRespond(Lists());
  }
}

Response Worker::Stop(const Json& aBody)
{
  const std::string task = aBody.at("task");
  const int run = aBody.at("run");
  const auto running = mRuns.find(task);
  mRuntime.Record(
    fmt::format("worker {} is told to stop {} run {}", mSpec.mId, task, run));
  if (running != mRuns.end() && running->second.mRun == run) {
    mRuntime.After(kStopMs, [this, task, run, life = mLife] {
      if (life == mLife) {
        EndRun(task, run, "stopped");
      }
    });
  } else {
    auto& past = mPastRuns[task];
    past = std::max(past, run);
  }
  return Reply(200, Json::object());
}

Response Worker::Lists() const
{
  Json running = Json::array();
  for (const auto& [task, run] : mRuns) {
    const double worked =
      run.mWorking ? (mRuntime.NowMs() - run.mStartedMs) / run.mLengthMs : 0;
    running.push_back({ task,
                        run.mRun,
                        "",
                        std::clamp(static_cast<int>(worked * 100), 0, 99) });
  }
  Json finished = Json::array();
  for (const auto& [number, index] : mEnds) {
    if (finished.size() == kMaxListedEnds) {
      break;
    }
    const auto& end = mFleet.mEnds[index];
    finished.push_back({ number, end.mTask, end.mRun, end.mHow, "" });
  }
  return Reply(200, { { "running-tasks", running }, { "finished", finished } });
}

void Worker::Hold(const Json& aBody, const Responder& aRespond)
{
  ExtendLease(aBody);
  const auto through = aBody.value("acked-through", std::int64_t{ 0 });
  while (!mEnds.empty() && mEnds.front().first <= through) {
    auto& end = mFleet.mEnds[mEnds.front().second];
    end.mNoted = !end.mLapsedBeforeNoted;
    mEnds.pop_front();
  }
  const auto waitMs = aBody.value("wait-ms", 0);
  if (!mEnds.empty() || waitMs == 0) {
    aRespond(Lists());
    return;
  }
  const auto done = std::make_shared<bool>(false);
  const auto once = [done, aRespond](const Response& aResponse) {
    if (!std::exchange(*done, true)) {
      aRespond(aResponse);
    }
  };
  mWaiters.push_back({ through, once });
  mRuntime.After(waitMs, [this, once, life = mLife] {
    if (life == mLife) {
      once(Lists());
    }
  });
}

Fleet::Fleet(Runtime& aRuntime, Store& aStore)
  : mRuntime(aRuntime)
  , mStore(aStore)
{
}

Worker& Fleet::Add(const WorkerSpec& aSpec)
{
  mWorkers.push_back(std::make_unique<Worker>(mRuntime, mStore, *this, aSpec));
  return *mWorkers.back();
}

void Fleet::SetNeed(const std::string& aJob, const Json& aStep)
{
  mNeeds[aJob] = aStep;
}

std::string Fleet::GangName(const std::string& aTask, int aRun)
{
  return aTask.substr(0, aTask.rfind('.')) + "#" + std::to_string(aRun);
}

void Fleet::JoinGang(const std::string& aTask,
                     int aRun,
                     int aSize,
                     Worker& aWorker)
{
  const auto name = GangName(aTask, aRun);
  auto& gang = mGangs[name];
  gang.mMembers[aTask] = &aWorker;
  if (gang.mOver) {
    mRuntime.After(kGangNewsMs, [aTask, aRun, &aWorker] {
      aWorker.EndRun(aTask, aRun, "broken");
    });
    return;
  }
  if (static_cast<int>(gang.mMembers.size()) == aSize) {
    const double length = aWorker.mRuns.at(aTask).mLengthMs;
    for (const auto& [task, worker] : gang.mMembers) {
      worker->mRuns.at(task).mWorking = true;
      worker->mRuns.at(task).mStartedMs = mRuntime.NowMs();
    }
    mRuntime.After(length, [this, name, aRun] {
      auto& working = mGangs[name];
      if (working.mOver) {
        return;
      }
      working.mOver = true;
      for (const auto& [task, worker] : working.mMembers) {
        worker->EndRun(task, aRun, "done");
      }
    });
    return;
  }
  mRuntime.After(kGangTimeoutMs, [this, name, aTask, aRun, aSize, &aWorker] {
    const auto& waiting = mGangs[name];
    if (!waiting.mOver && static_cast<int>(waiting.mMembers.size()) < aSize) {
      aWorker.EndRun(aTask, aRun, "alone");
    }
  });
}

void Fleet::BreakGang(const std::string& aTask, int aRun)
{
  const auto name = GangName(aTask, aRun);
  auto& gang = mGangs[name];
  if (gang.mOver) {
    return;
  }
  gang.mOver = true;
  mRuntime.After(kGangNewsMs, [this, name, aRun] {
    const auto members = mGangs[name].mMembers;
    for (const auto& [task, worker] : members) {
      worker->EndRun(task, aRun, "broken");
    }
  });
}

} // namespace review
