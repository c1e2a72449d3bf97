#include "testing/real_cluster/traffic.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace flamingoloom::testing::real_cluster {

using base::Expected;
using http::Response;
using review::Json;

namespace {

constexpr auto kCallTimeout = std::chrono::milliseconds(3000);
constexpr std::size_t kClients = 100;
constexpr int kMaxPostAttempts = 5;
constexpr double kRetryMs = 600;
constexpr double kQueryMs = 2500;
// An open connection stays with its instance; this share of the requests comes
// on new ones.
constexpr double kNewConnectionShare = 0.2;

base::Time Now()
{
  return base::Time(std::chrono::duration_cast<base::Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

std::string JobOfTask(const std::string& aTask)
{
  return ParseTaskName(aTask).mJob;
}

} // namespace

std::vector<QueueTraffic> LargeTraffic()
{
  QueueTraffic survey{ "survey", 1,      3.19, 10,   60,  6800,
                       52000,    140000, true, 0.02, 0.05 };
  QueueTraffic booking{ "booking", 0,     7.61, 4.7,  28, 2500,
                        15000,     22000, true, 0.02, 0 };
  QueueTraffic match{ "match", 2,     3.14,  30,   180, 6100,
                      11000,   16000, false, 0.05, 0.15 };
  match.mMoreStepsShare = 0.3;
  for (auto* queue : { &survey, &booking, &match }) {
    queue->mDataRackShare = 0.2;
    queue->mSameRackShare = 0.6;
  }
  return { survey, booking, match };
}

Traffic::Traffic(review::Runtime& aRuntime,
                 const InstanceProcesses& aInstances,
                 BackendFleet& aFleet,
                 StillJudge& aJudge,
                 std::uint64_t aSeed)
  : mRuntime(aRuntime)
  , mInstances(aInstances)
  , mFleet(aFleet)
  , mJudge(aJudge)
  , mRandom(aSeed)
  , mPoller(aRuntime.Loop(), {}, Now)
  , mMissedPolls(aInstances.Count(), 0)
{
  for (std::size_t i = 0; i < kClients; ++i) {
    mClients.push_back(std::make_unique<http::Client>(
      aRuntime.Loop(), http::ClientOptions{}, Now));
    mInstanceOfClient.push_back(i % aInstances.Count());
  }
  PollReadiness();
  FailTasks();
}

void Traffic::PollReadiness()
{
  constexpr double kPollMs = 1000;
  for (std::size_t i = 0; i < mInstances.Count(); ++i) {
    mPoller.Call(mInstances.ReadinessAddress(i),
                 { "GET", "/readiness", {}, "" },
                 std::chrono::milliseconds(900),
                 [this, i](const Expected<Response>& aAnswer) {
                   const bool ready = aAnswer && aAnswer->mStatus == 200;
                   mMissedPolls[i] = ready ? 0 : mMissedPolls[i] + 1;
                 });
  }
  mRuntime.After(kPollMs, [this] { PollReadiness(); });
}

std::size_t Traffic::PickInstance()
{
  constexpr int kMaxMissedPolls = 2;
  std::vector<std::size_t> rotation;
  for (std::size_t i = 0; i < mMissedPolls.size(); ++i) {
    if (mMissedPolls[i] < kMaxMissedPolls) {
      rotation.push_back(i);
    }
  }
  return rotation.size() * 2 < mMissedPolls.size()
           ? mRandom() % mMissedPolls.size()
           : rotation[mRandom() % rotation.size()];
}

void Traffic::Start(const std::vector<QueueTraffic>& aQueues,
                    double aLoad,
                    double aUntilMs)
{
  constexpr int kLastingJobs = 6;
  for (auto queue : aQueues) {
    queue.mJobsPerSecond *= aLoad;
    SubmitNext(queue, aUntilMs);
  }
  for (int i = 0; i < kLastingJobs; ++i) {
    SubmitLasting(aQueues.back());
  }
}

void Traffic::SubmitNext(const QueueTraffic& aQueue, double aUntilMs)
{
  std::exponential_distribution<double> pause(aQueue.mJobsPerSecond / 1000);
  mRuntime.After(pause(mRandom), [this, aQueue, aUntilMs] {
    if (mRuntime.NowMs() < aUntilMs) {
      Submit(aQueue);
      SubmitNext(aQueue, aUntilMs);
    }
  });
}

std::string Traffic::PickRack()
{
  const auto& servers = mFleet.Servers();
  return servers[mRandom() % servers.size()]->Spec().mRack;
}

JobStep Traffic::DrawStep(const QueueTraffic& aQueue)
{
  constexpr int kGpuChoices[] = { 1, 2, 4, 8, 8 };
  std::exponential_distribution<double> width(1 / aQueue.mMeanWidth);
  std::uniform_real_distribution<double> uniform(0, 1);
  JobStep step;
  step.mCount =
    std::clamp(static_cast<int>(width(mRandom)) + 1, 1, aQueue.mMaxWidth);
  step.mMs = std::floor(aQueue.mMeanMs * (0.6 + uniform(mRandom)));
  step.mNeed = { aQueue.mCpuMilli,
                 aQueue.mMemoryMb,
                 aQueue.mGang ? kGpuChoices[mRandom() % std::size(kGpuChoices)]
                              : 1 };
  step.mGang = aQueue.mGang && step.mCount > 1;
  step.mSameRack = step.mGang && uniform(mRandom) < aQueue.mSameRackShare;
  if (uniform(mRandom) < aQueue.mDataRackShare) {
    step.mDataRack = PickRack();
  }
  return step;
}

void Traffic::Submit(const QueueTraffic& aQueue)
{
  std::uniform_real_distribution<double> uniform(0, 1);
  JobSteps steps{ DrawStep(aQueue) };
  while (uniform(mRandom) < aQueue.mMoreStepsShare) {
    const int last = static_cast<int>(steps.size()) - 1;
    steps.push_back(DrawStep(aQueue));
    steps.back().mAfter = { last };
  }
  const auto id = SubmitSteps(aQueue, steps);
  mErrorShares[id] = aQueue.mErrorShare;
  if (uniform(mRandom) < aQueue.mCancelShare) {
    mRuntime.After(uniform(mRandom) * steps.front().mMs,
                   [this, id] { Cancel(id, 1); });
  }
}

void Traffic::SubmitLasting(const QueueTraffic& aQueue)
{
  constexpr int kTasks = 6;
  auto step = DrawStep(aQueue);
  step.mCount = kTasks;
  step.mLasts = true;
  step.mDataRack.clear();
  SubmitSteps(aQueue, { step });
}

std::string Traffic::SubmitSteps(const QueueTraffic& aQueue,
                                 const JobSteps& aSteps)
{
  auto id = fmt::format("{:016x}", 0x5c0e7a2100000000ULL + mJobs.size());
  auto& job = mJobs[id];
  job.mQueue = aQueue.mName;
  job.mGang = aSteps.front().mGang;
  mFleet.SetSteps(id, aSteps);
  mJudge.Submit(id, aSteps);
  Json steps = Json::array();
  for (const auto& step : aSteps) {
    steps.push_back(step.ToJson());
  }
  mRuntime.Record(fmt::format("job {}: {}", id, steps.dump()));
  Post(id, Json{ { "specification", id }, { "steps", steps } }.dump(), 1);
  return id;
}

void Traffic::Call(const char* aMethod,
                   const std::string& aId,
                   const std::string& aBody,
                   Then aThen)
{
  std::uniform_real_distribution<double> uniform(0, 1);
  const auto client = mRandom() % kClients;
  auto& instance = mInstanceOfClient[client];
  if (uniform(mRandom) < kNewConnectionShare) {
    instance = PickInstance();
  }
  const auto target = instance;
  const double sentMs = mRuntime.NowMs();
  mClients[client]->Call(
    mInstances.CallerAddress(target),
    { aMethod,
      "/" + mJobs[aId].mQueue + "/" + aId,
      { { "Host", kHost },
        { "Key", kKey },
        { "Deadline-Ms", "3000" },
        { "Content-Type", "application/json" } },
      aBody },
    kCallTimeout,
    [this, aMethod, aId, client, target, sentMs, then = std::move(aThen)](
      const Expected<Response>& aAnswer) {
      if (aAnswer) {
        if (aAnswer->mStatus >= 500) {
          mInstanceOfClient[client] = PickInstance();
        }
        then(aAnswer->mStatus, aAnswer->mBody);
        return;
      }
      mInstanceOfClient[client] = PickInstance();
      if (aAnswer.error().mCode == base::ErrorCode::eOutcomeUnknown) {
        RecordUnanswered(std::string(aMethod) + " " + aId,
                         target,
                         sentMs,
                         aAnswer.error().ToString());
      }
      then(0, "");
    });
}

void Traffic::RecordUnanswered(const std::string& aRequest,
                               std::size_t aInstance,
                               double aSentMs,
                               const std::string& aError)
{
  // An instance that stops may cut off requests that are younger than this.
  constexpr double kSlackMs = 200;
  // An instance counts as out of touch for this long after a disruption.
  constexpr double kContactMs = 5000;
  const auto state = mInstances.State(aInstance);
  const double ageMs = mRuntime.NowMs() - aSentMs;
  const bool stopping =
    state == InstanceState::eTerminating || state == InstanceState::eLeft;
  const bool down = state == InstanceState::eDown ||
                    mInstances.ChangedMs(aInstance) > aSentMs - kSlackMs;
  // Its store may have taken the submission, so it can't be refused either.
  const bool cutOff =
    mInstances.WasCutOffSince(aInstance, aSentMs - kContactMs);
  const char* where = cutOff     ? "cut off"
                      : stopping ? "stopping"
                      : down     ? "down"
                                 : "running";
  ++mUnanswered[where];
  mUnansweredWithoutCause += !cutOff && (stopping ? ageMs > kSlackMs : !down);
  mRuntime.Record(fmt::format("UNANSWERED {} at {} ({}), after {:.0f} ms: {}",
                              aRequest,
                              mInstances.CallerAddress(aInstance),
                              where,
                              ageMs,
                              aError));
}

void Traffic::Post(const std::string& aId,
                   const std::string& aBody,
                   int aAttempt)
{
  Call("POST", aId, aBody, [this, aId, aBody, aAttempt](int aStatus, auto&) {
    if (aStatus == 200) {
      mJobs[aId].mAcceptedMs = mRuntime.NowMs();
      mJudge.Accept(aId, mRuntime.NowMs());
      mRuntime.After(kQueryMs, [this, aId] { Query(aId); });
    } else if (aAttempt < kMaxPostAttempts) {
      mRuntime.After(kRetryMs, [this, aId, aBody, aAttempt] {
        Post(aId, aBody, aAttempt + 1);
      });
    }
  });
}

void Traffic::Cancel(const std::string& aId, int aAttempt)
{
  mJobs[aId].mCancelled = true;
  mJudge.Forget(aId);
  Call("DELETE", aId, "", [this, aId, aAttempt](int aStatus, auto&) {
    if (aStatus != 200 && aStatus != 410 && aAttempt < kMaxPostAttempts) {
      mRuntime.After(kRetryMs,
                     [this, aId, aAttempt] { Cancel(aId, aAttempt + 1); });
    }
  });
}

void Traffic::Query(const std::string& aId)
{
  Call("GET", aId, "", [this, aId](int aStatus, const std::string& aBody) {
    JobRecord& job = mJobs[aId];
    job.mAnsweredMs = mRuntime.NowMs();
    if (aStatus == 410 && !job.mGone) {
      job.mGone = true;
      mRuntime.Record(fmt::format("GONE {} is answered 410", aId));
    }
    job.mState = aStatus == 200
                   ? Json::parse(aBody).at("state").get<std::string>()
                   : std::to_string(aStatus);
    if (job.mState == "completed" || job.mState == "failed") {
      mJudge.Forget(aId);
    }
  });
}

void Traffic::AskForAll(double aUntilMs)
{
  constexpr double kIntervalMs = 2000;
  constexpr double kSpreadMs = 1500;
  std::uniform_real_distribution<double> spread(0, kSpreadMs);
  for (const auto& [id, job] : mJobs) {
    const bool final = job.mState == "completed" || job.mState == "failed" ||
                       job.mState == "cancelled";
    if (job.mAcceptedMs && !final) {
      mRuntime.After(spread(mRandom), [this, id = id] { Query(id); });
    }
  }
  if (mRuntime.NowMs() + kIntervalMs < aUntilMs) {
    mRuntime.After(kIntervalMs, [this, aUntilMs] { AskForAll(aUntilMs); });
  }
}

void Traffic::FailTasks()
{
  constexpr double kIntervalMs = 20;
  // At a point of its time in which the task is still running, by its figures.
  constexpr double kMaxMs = 2000;
  std::uniform_real_distribution<double> uniform(0, 1);
  for (; mStartsSeen < mFleet.Starts().size(); ++mStartsSeen) {
    const auto& start = mFleet.Starts()[mStartsSeen];
    if (uniform(mRandom) >= mErrorShares[JobOfTask(start.mTask)]) {
      continue;
    }
    mRuntime.After(
      uniform(mRandom) * kMaxMs,
      [this, task = start.mTask, run = start.mRun, id = start.mServer] {
        for (const auto& server : mFleet.Servers()) {
          if (server->Spec().mId == id && server->IsUp()) {
            server->EndRun(task, run, "failed");
          }
        }
      });
  }
  mRuntime.After(kIntervalMs, [this] { FailTasks(); });
}

int Traffic::FailedAttempts(const std::string& aId, bool aGang) const
{
  std::set<int> attempts;
  std::map<std::string, int> failures;
  int most = 0;
  for (const auto& end : mFleet.Ends()) {
    if (end.mHow == "failed" && JobOfTask(end.mTask) == aId) {
      attempts.insert(end.mRun);
      most = std::max(most, ++failures[end.mTask]);
    }
  }
  return aGang ? static_cast<int>(attempts.size()) : most;
}

int Traffic::Judge()
{
  int lost = 0;
  std::map<std::string, int> states;
  const auto report = [&](const std::string& aId, const std::string& aWhat) {
    ++lost;
    mRuntime.Record(
      fmt::format("LOST {} of {}: {}", aId, mJobs[aId].mQueue, aWhat));
  };
  for (const auto& [id, job] : mJobs) {
    ++states[job.mAcceptedMs ? job.mState : "not accepted"];
    if (!job.mAcceptedMs || job.mCancelled) {
      continue;
    }
    if (job.mGone) {
      report(id, "answered 410");
    } else if (job.mState == "failed") {
      const int failed = FailedAttempts(id, job.mGang);
      if (failed < kMaxAttempts) {
        report(id, fmt::format("failed after {} failed attempts", failed));
      }
    } else if (job.mState != "completed" &&
               (job.mState != "running" ||
                !mJudge.HasRunSince(id, job.mAnsweredMs))) {
      report(id, "last answer " + job.mState);
    }
  }
  for (const auto& line : mJudge.Lines()) {
    mRuntime.Record(line);
  }
  lost += mUnansweredWithoutCause + mJudge.Broken();
  auto summary = fmt::format("{} jobs:", mJobs.size());
  for (const auto& [state, count] : states) {
    summary += fmt::format(" {} {},", count, state);
  }
  for (const auto& [cause, count] : mUnanswered) {
    summary += fmt::format(" {} unanswered by instances {},", count, cause);
  }
  mRuntime.Record(fmt::format("{} {} stood still, {} beside trouble, {} lost",
                              summary,
                              mJudge.Broken(),
                              mJudge.Stills().size() -
                                static_cast<std::size_t>(mJudge.Broken()),
                              lost));
  return lost;
}

} // namespace flamingoloom::testing::real_cluster
