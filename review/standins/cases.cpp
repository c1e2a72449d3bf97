#include "review/standins/cases.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

#include <fmt/format.h>

namespace review {
namespace {

constexpr const char* kShopKey = "key-of-shop";
constexpr const char* kPressKey = "key-of-press";

std::string JobId(int aNumber)
{
  return fmt::format("{:016x}", 0x5c0e7a21d94b0000ULL + aNumber);
}

void AddWorkers(World& aWorld, int aCount, int aCpu, int aSlots = 8)
{
  constexpr int kWorkersPerRack = 8;
  for (int i = 0; i < aCount; ++i) {
    aWorld.mFleet.Add({ fmt::format("i-{:08x}", 0x7f3a9000 + i),
                        kService,
                        "nordur-a",
                        "a",
                        fmt::format("r1-{}", i / kWorkersPerRack + 1),
                        aCpu,
                        262144,
                        8,
                        aSlots });
  }
}

Json Step(int aCount, int aCpu, int aMemoryMb, int aGpus, int aEstimateMs)
{
  Json step{ { "count", aCount },
             { "cpu", aCpu },
             { "requested-memory-mb", aMemoryMb },
             { "estimated-duration-ms", aEstimateMs } };
  if (aGpus > 0) {
    step["gpus"] = aGpus;
  }
  return step;
}

// The configuration changes while the store is slow
// ---------------------------------------------------------------------------

constexpr int kFirstVersion = 7;
constexpr int kVersionStep = 2;
constexpr double kSlowForMs = 1200;
// contact-ms: how long after the store was slow the machines are in touch.
constexpr double kContactMs = 4000;
constexpr double kRoundMs = kSlowForMs + kContactMs + 400;
constexpr double kRoundsMs = 88000;
int sVersion = kFirstVersion;
int sStaleAnswers = 0;
int sProbes = 0;
// Seconds for which a stale answer is looked at.
constexpr int kRoundsWhenStale = 30;
int sRoundsWhenStale = 0;
// The instances that are known to have an older version, by their addresses.
std::set<std::string> sStaleInstances;
// Whether the other ones are killed and start again once there is one.
bool sRestartOthers = false;

// Asks for the queue of the active version, and uses the key that it has
// withdrawn. An instance that answers 404, or accepts the key, has an older
// version.
void ProbeVersion(World& aWorld)
{
  if (sVersion == kFirstVersion) {
    return;
  }
  const auto judge = [&aWorld, version = sVersion](const std::string& aInstance,
                                                   bool aStale,
                                                   const char* aWhat) {
    ++sProbes;
    if (aStale) {
      ++sStaleAnswers;
      sStaleInstances.insert(aInstance);
      aWorld.mRuntime.Record(fmt::format(
        "CONFIG: {} {} version {}, which was acknowledged over 4 s ago",
        aInstance,
        aWhat,
        version));
    }
  };
  aWorld.mCaller.Probe(
    QueueOfVersion(sVersion),
    kShopKey,
    [judge](const std::string& aInstance, int aStatus) {
      judge(aInstance, aStatus == 404, "answers 404 for a queue of");
    });
  aWorld.mCaller.Probe(
    "batch",
    KeyOfVersion(sVersion - kVersionStep),
    [judge](const std::string& aInstance, int aStatus) {
      judge(aInstance, aStatus == 200, "accepts a key that was withdrawn with");
    });
}

void PlayRound(World& aWorld)
{
  if (sStaleAnswers > 0) {
    // Shows that it lasts.
    if (++sRoundsWhenStale > kRoundsWhenStale) {
      aWorld.mFinish();
      return;
    }
    if (sRestartOthers && sRoundsWhenStale == 3) {
      const auto stale = sStaleInstances;
      for (const auto& instance : aWorld.mSystem.CallerAddresses()) {
        if (stale.count(instance) == 0) {
          aWorld.mSystem.Restart(instance, 3000);
        }
      }
    }
    ProbeVersion(aWorld);
    aWorld.mRuntime.After(1000, [&aWorld] { PlayRound(aWorld); });
    return;
  }
  if (aWorld.mRuntime.NowMs() > kRoundsMs) {
    return;
  }
  if (aWorld.mTrouble) {
    aWorld.mRuntime.Record("the store turns slow");
    aWorld.mStore.SetSlow(true);
  }
  aWorld.mRuntime.After(kSlowForMs / 2, [&aWorld] {
    sVersion += kVersionStep;
    aWorld.mStore.Put("op", "config", MakeConfiguration(0, sVersion));
    aWorld.mRuntime.Record(
      fmt::format("version {} is acknowledged by the store", sVersion));
  });
  if (aWorld.mTrouble) {
    aWorld.mRuntime.After(kSlowForMs, [&aWorld] {
      aWorld.mRuntime.Record("the store is as fast as usual");
      aWorld.mStore.SetSlow(false);
    });
  }
  aWorld.mRuntime.After(kSlowForMs + kContactMs + 200,
                        [&aWorld] { ProbeVersion(aWorld); });
  aWorld.mRuntime.After(kRoundMs, [&aWorld] { PlayRound(aWorld); });
}

Verdict JudgeConfiguration(World& aWorld)
{
  aWorld.mRuntime.Record(
    fmt::format("{} answers, {} by an older version", sProbes, sStaleAnswers));
  return sProbes == 0 ? Verdict::eNotRun
                      : (sStaleAnswers > 0 ? Verdict::eBroken : Verdict::eHeld);
}

// Many tasks of a worker end while the store is down
// ---------------------------------------------------------------------------

// The largest outage among the days of the small sites lasts longer.
constexpr double kStoreDownAtMs = 8000;
constexpr double kStoreDownForMs = 4000;
constexpr int kSmallJobs = 27;
constexpr int kTasksOfSmallJob = 30;

void PlayManyEnds(World& aWorld)
{
  for (int i = 0; i < kSmallJobs; ++i) {
    aWorld.mRuntime.After(i * 80.0, [&aWorld, i] {
      aWorld.mCaller.Submit("batch",
                            kPressKey,
                            JobId(i),
                            "ms=8500",
                            Step(kTasksOfSmallJob, 150, 256, 0, 8500));
    });
  }
  // A little work goes on afterwards.
  for (int i = 0; i < 20; ++i) {
    aWorld.mRuntime.After(13000 + i * 400.0, [&aWorld, i] {
      aWorld.mCaller.Submit("batch",
                            kPressKey,
                            JobId(100 + i),
                            "ms=600",
                            Step(1, 150, 256, 0, 600));
    });
  }
  if (aWorld.mTrouble) {
    aWorld.mRuntime.After(kStoreDownAtMs, [&aWorld] {
      aWorld.mRuntime.Record("the store goes down");
      aWorld.mStore.SetDown(true);
    });
    aWorld.mRuntime.After(kStoreDownAtMs + kStoreDownForMs, [&aWorld] {
      aWorld.mRuntime.Record("the store is back");
      aWorld.mStore.SetDown(false);
    });
  }
}

Verdict JudgeStartsAfterDone(World& aWorld)
{
  std::map<std::string, const TaskEnd*> done;
  std::set<std::string> jobs;
  for (const auto& end : aWorld.mFleet.Ends()) {
    if (end.mHow == "done" && end.mNoted && done.count(end.mTask) == 0) {
      done[end.mTask] = &end;
    }
  }
  int again = 0;
  for (const auto& start : aWorld.mFleet.Starts()) {
    const auto end = done.find(start.mTask);
    if (end != done.end() && start.mAtMs > end->second->mAtMs) {
      ++again;
      if (again <= 3) {
        aWorld.mRuntime.Record(fmt::format(
          "TWICE: {} ended done as run {} at {:.3f} on {}, which was "
          "acknowledged, and started again as run {} at {:.3f} on {}",
          start.mTask,
          end->second->mRun,
          end->second->mAtMs / 1000,
          end->second->mWorker,
          start.mRun,
          start.mAtMs / 1000,
          start.mWorker));
      }
    }
  }
  aWorld.mRuntime.Record(
    fmt::format("{} starts, {} tasks done, {} starts after the task was done; "
                "at most {} ends of a worker waited for their acknowledgement",
                aWorld.mFleet.Starts().size(),
                done.size(),
                again,
                aWorld.mFleet.MostListedEnds()));
  return done.empty() ? Verdict::eNotRun
                      : (again > 0 ? Verdict::eBroken : Verdict::eHeld);
}

// Several members of a gang fail on faulty workers
// ---------------------------------------------------------------------------

constexpr int kGangSize = 4;
constexpr int kGangAttempts = 3;

void PlayGangFailures(World& aWorld)
{
  if (aWorld.mTrouble) {
    aWorld.mRuntime.Record("four workers of a rack fail all that they start");
    for (int i = 0; i < 4; ++i) {
      aWorld.mFleet.Workers()[static_cast<std::size_t>(i)]->SetFault(
        Fault::eErrors);
    }
    aWorld.mRuntime.After(6500, [&aWorld] {
      aWorld.mRuntime.Record("the workers are sound again");
      for (const auto& worker : aWorld.mFleet.Workers()) {
        worker->SetFault(Fault::eNone);
      }
    });
  }
  aWorld.mRuntime.After(500, [&aWorld] {
    auto step = Step(kGangSize, 7500, 22000, 8, 2500);
    step["gang"] = true;
    step["same-rack"] = true;
    aWorld.mCaller.Submit("quote", kShopKey, JobId(1), "ms=2500 gang=4", step);
  });
  for (int ms = 1500; ms < 14000; ms += 500) {
    aWorld.mRuntime.After(
      ms, [&aWorld] { aWorld.mCaller.Query(kShopKey, JobId(1)); });
  }
}

Verdict JudgeGangFailures(World& aWorld)
{
  const auto& job = aWorld.mCaller.Jobs().at(JobId(1));
  if (!job.mAcceptedMs) {
    return Verdict::eNotRun;
  }
  std::set<int> failedRuns;
  int failedEnds = 0;
  for (const auto& end : aWorld.mFleet.Ends()) {
    if (end.mHow == "failed") {
      failedRuns.insert(end.mRun);
      ++failedEnds;
    }
  }
  aWorld.mRuntime.Record(fmt::format(
    "the job is shown as {}; {} runs of its gang have failed, with {} failed "
    "ends of members; max-attempts is {}",
    job.mState,
    failedRuns.size(),
    failedEnds,
    kGangAttempts));
  return job.mState == "failed" &&
             static_cast<int>(failedRuns.size()) < kGangAttempts
           ? Verdict::eBroken
           : Verdict::eHeld;
}

// A worker crashes and comes back as another kind
// ---------------------------------------------------------------------------

constexpr int kRebornWorkers = 2;

void PlayRebornKind(World& aWorld)
{
  for (int i = 0; i < 90; ++i) {
    aWorld.mRuntime.After(i * 20.0, [&aWorld, i] {
      auto step = Step(1, 26000, 110000, 8, 2000);
      step["requirements"] = "a";
      aWorld.mCaller.Submit("render", kShopKey, JobId(i), "ms=2000", step);
    });
  }
  if (!aWorld.mTrouble) {
    return;
  }
  for (int i = 0; i < kRebornWorkers; ++i) {
    const auto index = static_cast<std::size_t>(i) * 3 + 1;
    const auto crash = [&aWorld, index] {
      aWorld.mFleet.Workers()[index]->Crash();
    };
    const auto restart = [&aWorld, index] {
      aWorld.mFleet.Workers()[index]->Restart("b");
    };
    aWorld.mRuntime.After(4000 + i * 370.0, crash);
    aWorld.mRuntime.After(5500 + i * 370.0, restart);
  }
}

Verdict JudgeRequirements(World& aWorld)
{
  int wrong = 0;
  for (const auto& start : aWorld.mFleet.Starts()) {
    if (std::find(start.mLabels.begin(), start.mLabels.end(), "a") ==
        start.mLabels.end()) {
      ++wrong;
      aWorld.mRuntime.Record(
        fmt::format("ROUTE: {} run {} needs a worker with label a and was "
                    "started at {:.3f} on {} with labels {}, {}",
                    start.mTask,
                    start.mRun,
                    start.mAtMs / 1000,
                    start.mWorker,
                    start.mLabels[0],
                    start.mLabels[1]));
    }
  }
  aWorld.mRuntime.Record(fmt::format(
    "{} starts, {} without the label", aWorld.mFleet.Starts().size(), wrong));
  return aWorld.mFleet.Starts().empty()
           ? Verdict::eNotRun
           : (wrong > 0 ? Verdict::eBroken : Verdict::eHeld);
}

// A worker rejects what it is told to start
// ---------------------------------------------------------------------------

constexpr int kWaitingJobs = 10;
// visible_ms and 2 s more.
constexpr double kVisibleMs = 5000;
int sWrongLengths = 0;
int sLengthsJudged = 0;

// The jobs that were accepted over kVisibleMs ago and of which nothing started.
int JobsNotBegun(const World& aWorld)
{
  std::set<std::string> begun;
  for (const auto& start : aWorld.mFleet.Starts()) {
    begun.insert(start.mTask.substr(0, start.mTask.find('.')));
  }
  int count = 0;
  for (const auto& [id, job] : aWorld.mCaller.Jobs()) {
    if (job.mQueue == "batch" && job.mAcceptedMs &&
        aWorld.mRuntime.NowMs() - *job.mAcceptedMs > kVisibleMs &&
        begun.count(id) == 0) {
      ++count;
    }
  }
  return count;
}

void PlayPendingCount(World& aWorld)
{
  // All workers but one are full for the whole case.
  const auto workers = static_cast<int>(aWorld.mFleet.Workers().size());
  for (int i = 0; i < workers - 1; ++i) {
    aWorld.mCaller.Submit("render",
                          kPressKey,
                          JobId(100 + i),
                          "ms=60000",
                          Step(1, 26000, 110000, 8, 60000));
  }
  aWorld.mRuntime.After(3000, [&aWorld] {
    if (aWorld.mTrouble) {
      for (const auto& worker : aWorld.mFleet.Workers()) {
        if (worker->IsIdle()) {
          aWorld.mRuntime.Record("worker " + worker->Spec().mId +
                                 " rejects all that it is told to start");
          worker->SetFault(Fault::eBusy);
        }
      }
    }
  });
  aWorld.mRuntime.After(3000 + 6500, [&aWorld] {
    for (const auto& worker : aWorld.mFleet.Workers()) {
      worker->SetFault(Fault::eNone);
    }
  });
  for (int i = 0; i < kWaitingJobs; ++i) {
    aWorld.mRuntime.After(3100 + i * 5.0, [&aWorld, i] {
      aWorld.mCaller.Submit("batch",
                            kShopKey,
                            JobId(i),
                            "ms=20000",
                            Step(1, 5600, 29000, 1, 20000));
    });
  }
  for (int ms = 3000; ms < 9500; ms += 250) {
    aWorld.mRuntime.After(ms, [&aWorld] {
      const int before = JobsNotBegun(aWorld);
      aWorld.mCaller.QueryLength(
        "batch",
        kShopKey,
        [&aWorld, before](const std::string& aInstance, int aLength) {
          const int count = std::min(before, JobsNotBegun(aWorld));
          ++sLengthsJudged;
          if (2 * aLength < count) {
            ++sWrongLengths;
            aWorld.mRuntime.Record(fmt::format(
              "MIXED: {} gives pending-jobs {}, and {} jobs that were accepted "
              "over 5 s ago have not begun",
              aInstance,
              aLength,
              count));
          }
        });
    });
  }
}

Verdict JudgePendingCount(World& aWorld)
{
  aWorld.mRuntime.Record(
    fmt::format("{} answers, {} of them wrong", sLengthsJudged, sWrongLengths));
  return sLengthsJudged == 0
           ? Verdict::eNotRun
           : (sWrongLengths > 0 ? Verdict::eBroken : Verdict::eHeld);
}

// A worker crashes that runs a task which lasts
// ---------------------------------------------------------------------------

constexpr double kCrashAtMs = 8000;
// After its last run, and the length of the rule's calm span.
constexpr double kRestartMs = 6000;
constexpr double kCalmMs = 7000;

void PlayLastingCrash(World& aWorld)
{
  auto lasting = Step(1, 26000, 110000, 8, 0);
  lasting["long-running"] = true;
  aWorld.mCaller.Submit("batch", kShopKey, JobId(1), "lasts", lasting);
  // More urgent work than the workers can do.
  for (int i = 0; i < 170; ++i) {
    aWorld.mRuntime.After(2000 + i * 200.0, [&aWorld, i] {
      aWorld.mCaller.Submit("render",
                            kPressKey,
                            JobId(100 + i),
                            "ms=3000",
                            Step(1, 26000, 110000, 8, 3000));
    });
  }
  if (aWorld.mTrouble) {
    aWorld.mRuntime.After(kCrashAtMs, [&aWorld] {
      for (const auto& start : aWorld.mFleet.Starts()) {
        if (start.mTask.substr(0, 16) != JobId(1)) {
          continue;
        }
        for (const auto& worker : aWorld.mFleet.Workers()) {
          if (worker->Spec().mId == start.mWorker && worker->IsUp()) {
            worker->Crash();
          }
        }
      }
    });
  }
}

Verdict JudgeLastingCrash(World& aWorld)
{
  // When the task that lasts was not at work, and since when.
  double longestMs = 0;
  int starts = 0;
  for (const auto& start : aWorld.mFleet.Starts()) {
    starts += start.mTask.substr(0, 16) == JobId(1) ? 1 : 0;
  }
  if (starts == 0) {
    return Verdict::eNotRun;
  }
  for (const auto& crash : aWorld.mFleet.Crashes()) {
    double restartMs = aWorld.mRuntime.NowMs();
    for (const auto& start : aWorld.mFleet.Starts()) {
      if (start.mTask.substr(0, 16) == JobId(1) && start.mAtMs > crash.mAtMs) {
        restartMs = std::min(restartMs, start.mAtMs);
      }
    }
    longestMs = std::max(longestMs, restartMs - crash.mAtMs);
  }
  aWorld.mRuntime.Record(fmt::format(
    "the task that lasts was started {} times; it was not at work for {:.1f} s "
    "after the crash of its worker",
    starts,
    longestMs / 1000));
  return longestMs > kRestartMs + kCalmMs ? Verdict::eBroken : Verdict::eHeld;
}

// Lasting work of another tenant holds guaranteed accelerators
// ---------------------------------------------------------------------------

constexpr double kReclaimMs = 2700;

void PlayReclaim(World& aWorld)
{
  const auto workers = static_cast<int>(aWorld.mFleet.Workers().size());
  auto lasting =
    Step(aWorld.mTrouble ? workers : workers - 2, 26000, 110000, 8, 10000);
  lasting["long-running"] = true;
  aWorld.mCaller.Submit("batch", kPressKey, JobId(50), "lasts", lasting);
  aWorld.mRuntime.After(8000, [&aWorld] {
    aWorld.mCaller.Submit(
      "quote", kShopKey, JobId(1), "ms=2500", Step(2, 7500, 22000, 8, 2500));
  });
}

Verdict JudgeReclaim(World& aWorld)
{
  const auto& job = aWorld.mCaller.Jobs().at(JobId(1));
  if (!job.mAcceptedMs) {
    return Verdict::eNotRun;
  }
  int begun = 0;
  for (const auto& start : aWorld.mFleet.Starts()) {
    const bool inTime = start.mAtMs <= *job.mAcceptedMs + kReclaimMs;
    begun += start.mTask.substr(0, 16) == JobId(1) && inTime ? 1 : 0;
  }
  aWorld.mRuntime.Record(fmt::format(
    "{} of 2 tasks of the guaranteed job have begun {} ms after its acceptance",
    begun,
    kReclaimMs));
  return begun < 2 ? Verdict::eBroken : Verdict::eHeld;
}

const std::vector<Case>& Cases()
{
  static const std::vector<Case> sCases = {
    { "configuration",
      0,
      [](World& aWorld) { AddWorkers(aWorld, 4, 64000); },
      PlayRound,
      100000,
      JudgeConfiguration,
      6 },
    { "configuration-restart",
      0,
      [](World& aWorld) { AddWorkers(aWorld, 4, 64000); },
      [](World& aWorld) {
        sRestartOthers = true;
        PlayRound(aWorld);
      },
      100000,
      JudgeConfiguration,
      6 },
    { "many-ends",
      0,
      [](World& aWorld) { AddWorkers(aWorld, 4, 128000, 1024); },
      PlayManyEnds,
      24000,
      JudgeStartsAfterDone },
    { "gang-failures",
      32,
      [](World& aWorld) { AddWorkers(aWorld, 48, 64000); },
      PlayGangFailures,
      14500,
      JudgeGangFailures },
    { "reborn-kind",
      0,
      [](World& aWorld) { AddWorkers(aWorld, 16, 64000); },
      PlayRebornKind,
      14000,
      JudgeRequirements },
    { "pending-count",
      0,
      [](World& aWorld) { AddWorkers(aWorld, 12, 64000); },
      PlayPendingCount,
      10000,
      JudgePendingCount },
    { "lasting-crash",
      0,
      [](World& aWorld) { AddWorkers(aWorld, 8, 64000); },
      PlayLastingCrash,
      40000,
      JudgeLastingCrash },
    { "reclaim-lasting",
      16,
      [](World& aWorld) { AddWorkers(aWorld, 8, 64000); },
      PlayReclaim,
      24000,
      JudgeReclaim },
  };
  return sCases;
}

} // namespace

const Case* FindCase(const std::string& aName)
{
  for (const auto& found : Cases()) {
    if (aName == found.mName) {
      return &found;
    }
  }
  return nullptr;
}

} // namespace review
