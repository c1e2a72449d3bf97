// A randomized soak: callers that do not behave, beside an ordinary account,
// while instances are stopped, killed, paused and started again, the store is
// slow or down, and the configuration changes. The callers keep their
// connections until the process is gone. Troubles come in series and overlap.
//
// FLAMINGOLOOM_FIRST_SEED and FLAMINGOLOOM_SEEDS choose the seeds, of which the
// first is 1 and the number 1 by default, FLAMINGOLOOM_INSTANCES the number of
// instances. A seed decides what is done, not what happens at the same time.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <latch>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "testing/hostile_callers/instance_process.h"
#include "testing/hostile_callers/raw_peers.h"

namespace flamingoloom::testing::hostile_callers {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MachineLimits kLimits{ .mMemoryMb = 40, .mDescriptors = 300 };
constexpr int kCallers = 6;
constexpr auto kLoadTime = seconds(20);
constexpr auto kOrdinaryInterval = milliseconds(300);
// The longest time between two troubles of a series, and that of one of them.
constexpr auto kMaxCalm = milliseconds(4000);
constexpr auto kMaxAbsence = milliseconds(3000);
constexpr int kFirstChangedVersion = 100;
constexpr int kFirstHostileJob = 10'000'000;
constexpr int kFirstOrdinaryJob = 5'000'000;

using Random = std::mt19937;

int Draw(Random& aRandom, int aBelow)
{
  return std::uniform_int_distribution<>(0, aBelow - 1)(aRandom);
}

int FromEnvironment(const char* aName, int aDefault)
{
  const char* const text = std::getenv(aName);
  return text == nullptr ? aDefault : std::atoi(text);
}

std::string Job(int aSteps, int aTasks, std::size_t aBytes)
{
  std::string body =
    R"({"specification":")" + std::string(aBytes, 's') + R"(","steps":[)";
  for (int i = 0; i < aSteps; ++i) {
    body += i == 0 ? "" : ",";
    body += R"({"count":)" + std::to_string(aTasks) + "}";
  }
  return body + "]}";
}

class Soak
{
public:
  Soak(unsigned aSeed, int aInstances)
    : mSeed(aSeed)
  {
    mInstances.push_back(
      std::make_unique<InstanceProcess>(kLimits, mServer.Port()));
    while (static_cast<int>(mInstances.size()) < aInstances) {
      mInstances.push_back(
        std::make_unique<InstanceProcess>(kLimits, *mInstances.front()));
    }
    for (const auto& instance : mInstances) {
      mPorts.push_back(instance->CallerPort());
    }
  }

  void Run()
  {
    std::vector<std::thread> threads;
    threads.reserve(kCallers + 2);
    for (int i = 0; i < kCallers; ++i) {
      threads.emplace_back([this, i] { PlayHostileCaller(i); });
    }
    threads.emplace_back([this] { PlayOrdinaryCaller(); });
    threads.emplace_back([this] { PlayStoreTroubles(); });
    // A process is killed when the thread that has started it ends, so these
    // threads wait for the checks.
    std::latch ended(static_cast<std::ptrdiff_t>(mInstances.size()));
    std::latch checked(1);
    std::vector<std::thread> starters;
    starters.reserve(mInstances.size());
    for (std::size_t i = 0; i < mInstances.size(); ++i) {
      starters.emplace_back([&, i] {
        PlayInstanceTroubles(i);
        ended.count_down();
        checked.wait();
      });
    }
    std::this_thread::sleep_for(kLoadTime);
    mEnds = true;
    for (auto& thread : threads) {
      thread.join();
    }
    ended.wait();
    Check();
    checked.count_down();
    for (auto& thread : starters) {
      thread.join();
    }
  }

private:
  // Sends one form after the other, to an instance that it stays with for a
  // while.
  void PlayHostileCaller(int aCaller)
  {
    Random random(mSeed * 1000 + static_cast<unsigned>(aCaller));
    int job = kFirstHostileJob + aCaller * 1'000'000;
    while (!mEnds) {
      KeepAliveCaller caller(PortOf(random));
      for (int i = 0; i < 200 && !mEnds; ++i) {
        SendForm(caller, random, job);
      }
    }
  }

  static void SendForm(KeepAliveCaller& aCaller, Random& aRandom, int& aJob)
  {
    const auto path = (Draw(aRandom, 4) == 0 ? kUrgentPrefix : kBatchPrefix) +
                      JobId(aJob - Draw(aRandom, 3));
    switch (Draw(aRandom, 12)) {
      case 0:
        aCaller.Call("GET", path, kShopKey, "");
        return;
      case 1:
      case 2:
        aCaller.Call("DELETE", path, kShopKey, "");
        return;
      case 3:
        aCaller.Call("POST", path, kShopKey, Job(100, 500, 10));
        ++aJob;
        return;
      case 4:
        aCaller.Call("POST", path, kShopKey, Job(1, 500, 4000));
        ++aJob;
        return;
      case 5:
        aCaller.SendRaw("POST " + path +
                          " HTTP/1.1\r\nHost: shop.example\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
                        1);
        aCaller.SendRaw("T: " + std::string(8000, 't') + "\r\n", 40);
        aCaller.Close();
        return;
      case 6:
        aCaller.SendRaw("POST " + path +
                          " HTTP/1.1\r\nHost: shop.example\r\n"
                          "Content-Length: 262144\r\n\r\n" +
                          std::string(200'000, ' '),
                        1);
        aCaller.Close();
        return;
      default:
        aCaller.Call("POST", path, kShopKey, Job(1, 1, 4000));
        ++aJob;
        return;
    }
  }

  // An account that submits a little, and comes back until it is accepted.
  void PlayOrdinaryCaller()
  {
    Random random(mSeed * 1000 + 999);
    for (int job = kFirstOrdinaryJob; !mEnds; ++job) {
      const auto path = kBatchPrefix + JobId(job);
      while (!mEnds) {
        KeepAliveCaller caller(PortOf(random));
        if (caller.Call("POST", path, kGuestKey, Job(1, 1, 10)) == 200) {
          mAccepted.push_back(path);
          break;
        }
        std::this_thread::sleep_for(kOrdinaryInterval);
      }
      std::this_thread::sleep_for(kOrdinaryInterval);
    }
  }

  // A series of troubles of one instance. Those of others overlap with it.
  void PlayInstanceTroubles(std::size_t aIndex)
  {
    Random random(mSeed * 1000 + 500 + static_cast<unsigned>(aIndex));
    InstanceProcess& instance = *mInstances[aIndex];
    while (!mEnds) {
      Sleep(random, kMaxCalm);
      if (!RecordHealth(instance, aIndex)) {
        return;
      }
      switch (Draw(random, 4)) {
        case 0:
          instance.Kill();
          Sleep(random, kMaxAbsence);
          instance.Launch();
          break;
        case 1:
          if (!instance.Stop()) {
            Record("instance " + std::to_string(aIndex) +
                   " did not end by itself after SIGTERM");
            instance.Kill();
          }
          Sleep(random, kMaxAbsence);
          instance.Launch();
          break;
        case 2:
          instance.Pause();
          Sleep(random, kMaxAbsence);
          instance.Resume();
          break;
        default:
          break;
      }
    }
  }

  void PlayStoreTroubles()
  {
    Random random(mSeed * 1000 + 400);
    const InstanceProcess& instance = *mInstances.front();
    for (int version = kFirstChangedVersion; !mEnds; ++version) {
      Sleep(random, kMaxCalm);
      switch (Draw(random, 3)) {
        case 0:
          instance.SetStoreDown(true);
          Sleep(random, kMaxAbsence);
          instance.SetStoreDown(false);
          break;
        case 1:
          instance.SetStoreSlow(true);
          Sleep(random, kMaxAbsence);
          instance.SetStoreSlow(false);
          break;
        default:
          instance.ChangeConfiguration(kLimits, version);
          break;
      }
    }
  }

  // Returns whether the process lives. Its figures are those of this life.
  bool RecordHealth(InstanceProcess& aInstance, std::size_t aIndex)
  {
    const auto name = "instance " + std::to_string(aIndex);
    if (!aInstance.IsAlive()) {
      Record(name + " has ended: " + aInstance.EndText());
      return false;
    }
    const int memory = aInstance.PeakMemoryMb();
    mPeakMemoryMb = std::max(mPeakMemoryMb.load(), memory);
    if (memory > kLimits.mMemoryMb) {
      Record(name + " took " + std::to_string(memory) + " MB");
    }
    if (aInstance.OpenDescriptors() > kLimits.mDescriptors) {
      Record(name + " has " + std::to_string(aInstance.OpenDescriptors()) +
             " descriptors");
    }
    return true;
  }

  void Check()
  {
    for (std::size_t i = 0; i < mInstances.size(); ++i) {
      InstanceProcess& instance = *mInstances[i];
      if (!RecordHealth(instance, i)) {
        continue;
      }
      CHECK(instance.AnswersOrdinaryRequest(kGuestKey, kBatchPrefix));
      CHECK(instance.TellsQueueLength(kBatchPrefix));
      RecordHealth(instance, i);
    }
    // What was accepted is known.
    for (const auto& path : mAccepted) {
      if (!mViolations.empty()) {
        break;
      }
      const int status = mInstances.front()->StatusOf(path, kGuestKey);
      if (status != 200) {
        Record(path + " was accepted and is answered with " +
               std::to_string(status));
      }
    }
    MESSAGE("seed " << mSeed << ": peak " << mPeakMemoryMb.load() << " MB, "
                    << mAccepted.size() << " ordinary jobs");
    for (const auto& violation : mViolations) {
      FAIL_CHECK("seed " << mSeed << ": " << violation);
    }
  }

  void Record(const std::string& aViolation)
  {
    const std::lock_guard lock(mMutex);
    mViolations.push_back(aViolation);
  }

  int PortOf(Random& aRandom) const
  {
    return mPorts[static_cast<std::size_t>(
      Draw(aRandom, static_cast<int>(mPorts.size())))];
  }

  static void Sleep(Random& aRandom, milliseconds aMost)
  {
    std::this_thread::sleep_for(
      milliseconds(Draw(aRandom, static_cast<int>(aMost.count()))));
  }

  const unsigned mSeed;
  UnresponsiveServer mServer;
  std::vector<std::unique_ptr<InstanceProcess>> mInstances;
  std::vector<int> mPorts;
  std::atomic<bool> mEnds{ false };
  std::atomic<int> mPeakMemoryMb{ 0 };
  // Of the ordinary account; used by one thread at a time.
  std::vector<std::string> mAccepted;
  std::mutex mMutex;
  std::vector<std::string> mViolations;
};

TEST_CASE("Instances and an ordinary account survive callers and troubles")
{
  const int first = FromEnvironment("FLAMINGOLOOM_FIRST_SEED", 1);
  const int seeds = FromEnvironment("FLAMINGOLOOM_SEEDS", 1);
  const int instances = FromEnvironment("FLAMINGOLOOM_INSTANCES", 3);
  for (int seed = first; seed < first + seeds; ++seed) {
    Soak soak(static_cast<unsigned>(seed), instances);
    soak.Run();
  }
}

} // namespace
} // namespace flamingoloom::testing::hostile_callers
