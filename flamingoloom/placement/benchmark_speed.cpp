#include "flamingoloom/placement/benchmark_speed.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <malloc.h>

#include "flamingoloom/placement/placement.h"

namespace flamingoloom::placement {

namespace {

// 28,000 tasks with one accelerator each do not fit on 1,200 servers of 8.
constexpr int kAcceleratorsPerServer = 32;
constexpr int kServersPerRack = 8;
constexpr int kAccounts = 63;
// The others are idle, so that their guarantees are there to be reclaimed.
constexpr int kBusyAccounts = 55;
constexpr int kRepetitions = 1'000;
constexpr int kGang = 16;
constexpr std::uint64_t kSeed = 20261204;
constexpr WorkProperties kPreemptible{ true, true, true };
const base::Duration kRunTime = std::chrono::hours(2);

base::AccountId Account(int aNumber)
{
  return base::AccountId(fmt::format("account-{:02}", aNumber));
}

std::vector<DataCentreCapacity> Centres(const SpeedCase& aCase)
{
  const int racks = (aCase.mServers + kServersPerRack - 1) / kServersPerRack;
  std::vector<DataCentreCapacity> centres;
  for (int i = 0; i < aCase.mDataCentres; ++i) {
    const int share =
      racks / aCase.mDataCentres + (i < racks % aCase.mDataCentres ? 1 : 0);
    centres.push_back({ base::DataCentreId(fmt::format("dc-{}", i)),
                        share,
                        kServersPerRack,
                        kAcceleratorsPerServer });
  }
  return centres;
}

std::vector<Placement> WithGuarantees(
  const std::vector<DataCentreCapacity>& aCentres)
{
  std::vector<Demand> demands;
  demands.reserve(kAccounts);
  for (int i = 0; i < kAccounts; ++i) {
    demands.push_back({ Account(i), kGang, 2 });
  }
  const auto plan = PlanGuarantees(aCentres, demands);
  std::vector<Placement> placements;
  for (const DataCentreCapacity& centre : aCentres) {
    std::vector<Demand> own;
    for (const DataCentreAssignment& assignment : plan.value()) {
      if (assignment.mDataCentre == centre.mId) {
        own.push_back(assignment.mDemand);
      }
    }
    placements.emplace_back(centre).SetGuarantees(own);
  }
  return placements;
}

// Fills the data centres with random jobs, ending some on the way, so that free
// blocks are scattered as after a long time.
class Filler
{
public:
  explicit Filler(std::vector<Placement>& aPlacements)
    : mPlacements(aPlacements)
    , mRandom(kSeed)
  {
  }

  int Fill(int aTasks)
  {
    // Some of the jobs do not fit; the limit only ends the loop in that case.
    for (int attempt = 0; mTasks < aTasks && attempt < 8 * aTasks; ++attempt) {
      Arrive();
      if (attempt % 4 == 0) {
        EndOne();
      }
    }
    return mTasks;
  }

private:
  struct Running
  {
    std::size_t mCentre = 0;
    Job mJob;
  };

  int Draw(int aBelow)
  {
    return std::uniform_int_distribution(0, aBelow - 1)(mRandom);
  }

  void Arrive()
  {
    static constexpr std::array kTasks{ 1, 1, 1, 1, 2, 2, 4, 4, 8, 16 };
    // As long as a universally unique identifier in text.
    std::string key = fmt::format("{:036}", ++mLastKey);
    const Job job{ { Account(Draw(kBusyAccounts)), std::move(key) },
                   Draw(10) < 6 ? kPreemptible : WorkProperties{},
                   kTasks.at(Draw(kTasks.size())),
                   1,
                   Draw(2) == 0,
                   kRunTime };
    const std::size_t centre = Draw(static_cast<int>(mPlacements.size()));
    const Decision decision = mPlacements[centre].Place(job, base::Time());
    if (const auto* placed = std::get_if<Placed>(&decision)) {
      for (const Preemption& victim : placed->mPreempted) {
        Forget(victim.mRequest);
        mPlacements[centre].Finish(victim.mRequest);
      }
      mTasks += job.mTasks;
      mRunning.push_back({ centre, job });
    }
  }

  void Forget(const base::RequestId& aRequest)
  {
    const auto found =
      std::ranges::find_if(mRunning, [&](const Running& aRunning) {
        return aRunning.mJob.mRequest == aRequest;
      });
    mTasks -= found->mJob.mTasks;
    mRunning.erase(found);
  }

  void EndOne()
  {
    const Running running = mRunning[Draw(static_cast<int>(mRunning.size()))];
    mPlacements[running.mCentre].Finish(running.mJob.mRequest);
    Forget(running.mJob.mRequest);
  }

  std::vector<Placement>& mPlacements;
  std::mt19937_64 mRandom;
  std::vector<Running> mRunning;
  int mTasks = 0;
  int mLastKey = 0;
};

Times Summarise(std::vector<double> aMicroseconds)
{
  if (aMicroseconds.empty()) {
    return {};
  }
  std::ranges::sort(aMicroseconds);
  const std::size_t count = aMicroseconds.size();
  return { aMicroseconds[count / 2],
           aMicroseconds[count * 99 / 100],
           aMicroseconds.back() };
}

double Timed(Placement& aPlacement, const Job& aJob, Decision& aDecision)
{
  const auto start = std::chrono::steady_clock::now();
  aDecision = aPlacement.Place(aJob, base::Time(kRunTime));
  const std::chrono::duration<double, std::micro> taken =
    std::chrono::steady_clock::now() - start;
  return taken.count();
}

// Times the job in each data centre in turn, without lasting effect.
Times TimeJob(std::vector<Placement>& aPlacements, const Job& aJob)
{
  std::vector<double> times;
  for (int i = 0; i < kRepetitions; ++i) {
    Placement& placement = aPlacements[i % aPlacements.size()];
    Decision decision;
    const double time = Timed(placement, aJob, decision);
    if (std::holds_alternative<Placed>(decision)) {
      times.push_back(time);
      placement.Finish(aJob.mRequest);
    }
  }
  return Summarise(times);
}

// As TimeJob, with all free accelerators taken first by preemptible work.
Times TimePreemption(std::vector<Placement> aPlacements)
{
  std::vector<double> times;
  for (Placement& placement : aPlacements) {
    int key = 0;
    const auto filler = [&] {
      return Job{ { base::AccountId("filler"), std::to_string(++key) },
                  kPreemptible,
                  1,
                  1,
                  true,
                  kRunTime };
    };
    while (placement.FreeAccelerators() > 0) {
      placement.Place(filler(), base::Time());
    }
    for (int i = 0; i < kAccounts; ++i) {
      const Job job{
        { Account(i), "preempting" }, {}, kGang, 1, true, kRunTime
      };
      Decision decision;
      const double time = Timed(placement, job, decision);
      const auto* placed = std::get_if<Placed>(&decision);
      if (placed && !placed->mPreempted.empty()) {
        times.push_back(time);
      }
    }
  }
  return Summarise(times);
}

Times TimeTakeOver(const std::vector<DataCentreCapacity>& aCentres,
                   const std::vector<Placement>& aPlacements)
{
  std::vector<Placement> successors = WithGuarantees(aCentres);
  std::vector<double> times;
  for (std::size_t i = 0; i < successors.size(); ++i) {
    const auto running = aPlacements[i].Allocations();
    const auto start = std::chrono::steady_clock::now();
    const bool adopted = successors[i].Adopt(running).has_value();
    const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - start;
    if (adopted) {
      times.push_back(taken.count());
    }
  }
  return Summarise(times);
}

} // namespace

SpeedResult MeasureSpeed(const SpeedCase& aCase)
{
  SpeedResult result;
  const std::size_t heapBefore = mallinfo2().uordblks;
  const std::vector<DataCentreCapacity> centres = Centres(aCase);
  std::vector<Placement> placements = WithGuarantees(centres);
  result.mTasks = Filler(placements).Fill(aCase.mTasks);
  result.mHeapBytes = mallinfo2().uordblks - heapBefore;
  for (const Placement& placement : placements) {
    result.mServers += placement.Shape().Servers();
    result.mAccelerators += placement.Shape().Accelerators();
    result.mFreeAccelerators += placement.FreeAccelerators();
    result.mStateBytes += placement.MemoryBytes();
  }
  const base::RequestId request{ base::AccountId("gangs"), "gang" };
  result.mAdjacent =
    TimeJob(placements, { request, kPreemptible, kGang, 1, true, kRunTime });
  result.mScattered =
    TimeJob(placements, { request, kPreemptible, kGang, 1, false, kRunTime });
  result.mScatteredFirm =
    TimeJob(placements, { request, {}, kGang, 1, false, kRunTime });
  result.mTakeOver = TimeTakeOver(centres, placements);
  result.mPreempting = TimePreemption(placements);
  return result;
}

} // namespace flamingoloom::placement
