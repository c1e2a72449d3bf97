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

// 28,000 tasks with one accelerator each do not fit on 1,200 servers with 8
// accelerators.
constexpr int kAcceleratorsPerServer = 32;
constexpr int kServersPerRack = 8;
constexpr int kAccounts = 63;
// The other accounts run no work, so that their guarantees can be reclaimed.
constexpr int kActiveAccounts = 55;
constexpr int kRepetitions = 1'000;
constexpr int kGangAccelerators = 16;
constexpr std::uint64_t kSeed = 20261204;
constexpr WorkProperties kPreemptible{ true, true, true };
const base::Duration kRunTime = std::chrono::hours(2);

base::AccountId Account(int aNumber)
{
  return base::AccountId(fmt::format("account-{:02}", aNumber));
}

std::vector<DataCentreCapacity> MakeDataCentres(const SpeedCase& aCase)
{
  const int racks = (aCase.mServers + kServersPerRack - 1) / kServersPerRack;
  std::vector<DataCentreCapacity> dataCentres;
  for (int i = 0; i < aCase.mDataCentres; ++i) {
    const int share =
      racks / aCase.mDataCentres + (i < racks % aCase.mDataCentres ? 1 : 0);
    dataCentres.push_back({ base::DataCentreId(fmt::format("dc-{}", i)),
                            share,
                            kServersPerRack,
                            kAcceleratorsPerServer });
  }
  return dataCentres;
}

std::vector<Placement> MakePlacements(
  const std::vector<DataCentreCapacity>& aDataCentres)
{
  std::vector<Demand> demands;
  demands.reserve(kAccounts);
  for (int i = 0; i < kAccounts; ++i) {
    demands.push_back({ Account(i), kGangAccelerators, 2 });
  }
  const auto plan = PlanGuarantees(aDataCentres, demands);
  std::vector<Placement> placements;
  for (const DataCentreCapacity& dataCentre : aDataCentres) {
    std::vector<Demand> own;
    for (const DataCentreAssignment& assignment : plan.value()) {
      if (assignment.mDataCentre == dataCentre.mId) {
        own.push_back(assignment.mDemand);
      }
    }
    placements.emplace_back(dataCentre).SetGuarantees(own);
  }
  return placements;
}

// Fills the data centres with random jobs and finishes some of them meanwhile,
// so that free blocks are as fragmented as after long operation.
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
    // Some of the jobs do not fit; the limit ends the loop if the requested
    // number of tasks cannot be reached.
    for (int arrival = 0; mTasks < aTasks && arrival < 8 * aTasks; ++arrival) {
      PlaceRandomJob();
      if (arrival % 4 == 0) {
        FinishRandomJob();
      }
    }
    return mTasks;
  }

private:
  struct Running
  {
    std::size_t mDataCentreIndex = 0;
    Job mJob;
  };

  int Draw(int aBelow)
  {
    return std::uniform_int_distribution(0, aBelow - 1)(mRandom);
  }

  void PlaceRandomJob()
  {
    static constexpr std::array kTasks{ 1, 1, 1, 1, 2, 2, 4, 4, 8, 16 };
    // The key is as long as a universally unique identifier in text form.
    std::string key = fmt::format("{:036}", ++mLastKey);
    const Job job{ { Account(Draw(kActiveAccounts)), std::move(key) },
                   Draw(10) < 6 ? kPreemptible : WorkProperties{},
                   kTasks.at(Draw(kTasks.size())),
                   1,
                   Draw(2) == 0,
                   kRunTime };
    const std::size_t dataCentre = Draw(static_cast<int>(mPlacements.size()));
    const Decision decision = mPlacements[dataCentre].Place(job, base::Time());
    if (const auto* placed = std::get_if<Placed>(&decision)) {
      for (const Preemption& victim : placed->mPreempted) {
        RemoveRunning(victim.mRequest);
        mPlacements[dataCentre].Finish(victim.mRequest);
      }
      mTasks += job.mTasks;
      mRunning.push_back({ dataCentre, job });
    }
  }

  void RemoveRunning(const base::RequestId& aRequest)
  {
    const auto found =
      std::ranges::find_if(mRunning, [&](const Running& aRunning) {
        return aRunning.mJob.mRequest == aRequest;
      });
    mTasks -= found->mJob.mTasks;
    mRunning.erase(found);
  }

  void FinishRandomJob()
  {
    const Running running = mRunning[Draw(static_cast<int>(mRunning.size()))];
    mPlacements[running.mDataCentreIndex].Finish(running.mJob.mRequest);
    RemoveRunning(running.mJob.mRequest);
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

double TimePlace(Placement& aPlacement, const Job& aJob, Decision& aDecision)
{
  const auto start = std::chrono::steady_clock::now();
  aDecision = aPlacement.Place(aJob, base::Time(kRunTime));
  const std::chrono::duration<double, std::micro> elapsed =
    std::chrono::steady_clock::now() - start;
  return elapsed.count();
}

// Measures the placement of the job in each data centre in turn. The job is
// finished after each measurement.
Times TimeJob(std::vector<Placement>& aPlacements, const Job& aJob)
{
  std::vector<double> times;
  for (int i = 0; i < kRepetitions; ++i) {
    Placement& placement = aPlacements[i % aPlacements.size()];
    Decision decision;
    const double time = TimePlace(placement, aJob, decision);
    if (std::holds_alternative<Placed>(decision)) {
      times.push_back(time);
      placement.Finish(aJob.mRequest);
    }
  }
  return Summarise(times);
}

// Measures placements that must preempt: preemptible work first fills all free
// accelerators.
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
        { Account(i), "preempting" }, {}, kGangAccelerators, 1, true, kRunTime
      };
      Decision decision;
      const double time = TimePlace(placement, job, decision);
      const auto* placed = std::get_if<Placed>(&decision);
      if (placed && !placed->mPreempted.empty()) {
        times.push_back(time);
      }
    }
  }
  return Summarise(times);
}

Times TimeTakeover(const std::vector<DataCentreCapacity>& aDataCentres,
                   const std::vector<Placement>& aPlacements)
{
  std::vector<Placement> newOwners = MakePlacements(aDataCentres);
  std::vector<double> times;
  for (std::size_t i = 0; i < newOwners.size(); ++i) {
    const auto running = aPlacements[i].Allocations();
    const auto start = std::chrono::steady_clock::now();
    const bool adopted = newOwners[i].Adopt(running).has_value();
    const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
    if (adopted) {
      times.push_back(elapsed.count());
    }
  }
  return Summarise(times);
}

} // namespace

SpeedResult MeasureSpeed(const SpeedCase& aCase)
{
  SpeedResult result;
  const std::size_t heapBefore = mallinfo2().uordblks;
  const std::vector<DataCentreCapacity> dataCentres = MakeDataCentres(aCase);
  std::vector<Placement> placements = MakePlacements(dataCentres);
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
    TimeJob(placements,
            { request, kPreemptible, kGangAccelerators, 1, true, kRunTime });
  result.mScattered =
    TimeJob(placements,
            { request, kPreemptible, kGangAccelerators, 1, false, kRunTime });
  result.mScatteredNonPreemptible =
    TimeJob(placements, { request, {}, kGangAccelerators, 1, false, kRunTime });
  result.mTakeover = TimeTakeover(dataCentres, placements);
  result.mPreempting = TimePreemption(placements);
  return result;
}

} // namespace flamingoloom::placement
