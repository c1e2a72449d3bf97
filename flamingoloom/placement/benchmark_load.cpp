#include "flamingoloom/placement/benchmark_load.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "flamingoloom/placement/backfill.h"

namespace flamingoloom::placement {

namespace {

const DataCentreCapacity kDataCentre{ base::DataCentreId("a"), 6, 8, 8 };
constexpr int kAccelerators = 384;
constexpr double kLoad = 0.85;
constexpr int kJobCount = 12'000;
constexpr int kWarmUpJobs = 1'000;
constexpr double kMeanRunMinutes = 60;
// Standard deviation of the logarithm of the ratio of declared to actual run
// time: one in three declarations is wrong by more than a factor of two.
constexpr double kDeclarationError = 0.7;
constexpr std::array kSizes{ 1, 2, 4, 8, 16, 32, 64 };
constexpr std::array kWeights{ 30.0, 20.0, 15.0, 15.0, 10.0, 6.0, 4.0 };

struct Arrival
{
  Job mJob;
  base::Time mTime;
  base::Duration mRunTime{};
};

base::Duration Minutes(double aMinutes)
{
  constexpr double kMicroseconds = 60e6;
  return base::Duration(
    static_cast<base::Duration::rep>(aMinutes * kMicroseconds));
}

double ToMinutes(base::Duration aDuration)
{
  return std::chrono::duration<double, std::ratio<60>>(aDuration).count();
}

double MeanSize()
{
  double weighted = 0;
  double weights = 0;
  for (std::size_t i = 0; i < kSizes.size(); ++i) {
    weighted += kSizes.at(i) * kWeights.at(i);
    weights += kWeights.at(i);
  }
  return weighted / weights;
}

// Generates Poisson arrivals with exponentially distributed run times, which
// are independent of the job size.
std::vector<Arrival> MakeArrivals(std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  const double perMinute =
    kLoad * kAccelerators / (MeanSize() * kMeanRunMinutes);
  std::exponential_distribution<double> gap(perMinute);
  std::exponential_distribution<double> runTime(1 / kMeanRunMinutes);
  std::lognormal_distribution<double> error(0, kDeclarationError);
  std::discrete_distribution<int> size(kWeights.begin(), kWeights.end());
  std::vector<Arrival> arrivals;
  double now = 0;
  for (int i = 0; i < kJobCount; ++i) {
    now += gap(random);
    const double minutes = runTime(random);
    arrivals.push_back({ { { base::AccountId("load"), std::to_string(i) },
                           { true, true, true },
                           kSizes.at(size(random)),
                           1,
                           true,
                           Minutes(minutes * error(random)) },
                         base::Time(Minutes(now)),
                         Minutes(minutes) });
  }
  return arrivals;
}

// The mean and the maximum waiting time of a group of jobs, in minutes.
class WaitSummary
{
public:
  void Add(double aMinutes)
  {
    mSum += aMinutes;
    mMax = std::max(mMax, aMinutes);
    ++mCount;
  }
  double Mean() const { return mCount == 0 ? 0 : mSum / mCount; }
  double Max() const { return mMax; }

private:
  double mSum = 0;
  double mMax = 0;
  int mCount = 0;
};

template <FitPolicy Fit>
class LoadSimulation
{
public:
  LoadSimulation(std::vector<Arrival> aArrivals,
                 Fit aFit,
                 int aMinReservationSize)
    : mArrivals(std::move(aArrivals))
    , mPlacement(kDataCentre, aFit)
    , mMinReservationSize(aMinReservationSize)
  {
    // This client account runs no work. Its guarantee sets the shape for the
    // fragmentation, and it takes no capacity from the load, which is
    // preemptible.
    mPlacement.SetGuarantees(
      std::vector<Demand>{ { base::AccountId("idle"), 64, 1 } });
  }

  LoadResult Run()
  {
    while (mNext < mArrivals.size() || !mCompletions.empty()) {
      Advance();
      PlaceWaiting();
    }
    const double measured =
      ToMinutes(mArrivals.back().mTime - MeasurementStart());
    return { mFragmentation / measured,
             mFragmentation16 / measured,
             mBusyAcceleratorMinutes / measured / kAccelerators,
             mWaitAll.Mean(),
             mWaitSmall.Mean(),
             mWaitLarge.Mean(),
             mWait64.Mean(),
             mWait64.Max() };
  }

private:
  base::Time MeasurementStart() const { return mArrivals[kWarmUpJobs].mTime; }

  // Advances the time to the next arrival or completion and handles it.
  void Advance()
  {
    const bool arrives =
      mNext < mArrivals.size() &&
      (mCompletions.empty() ||
       mArrivals[mNext].mTime <= mCompletions.begin()->first);
    const base::Time next =
      arrives ? mArrivals[mNext].mTime : mCompletions.begin()->first;
    Integrate(next);
    mNow = next;
    if (arrives) {
      mWaiting.push_back(mNext++);
    } else {
      mPlacement.Finish(mArrivals[mCompletions.begin()->second].mJob.mRequest);
      mCompletions.erase(mCompletions.begin());
    }
  }

  void Integrate(base::Time aUntil)
  {
    const base::Time from = std::max(mNow, MeasurementStart());
    const base::Time until = std::min(aUntil, mArrivals.back().mTime);
    if (until <= from) {
      return;
    }
    int waitingShape = 0;
    for (const std::size_t index : mWaiting) {
      waitingShape =
        std::max(waitingShape, mArrivals[index].mJob.Accelerators());
    }
    const double minutes = ToMinutes(until - from);
    mFragmentation += minutes * mPlacement.Fragmentation(waitingShape);
    const int usable = BlocksAt(mPlacement.FreeBlocks(), LevelOf(16)) * 16;
    const int free = mPlacement.FreeAccelerators();
    mFragmentation16 += free == 0 ? 0 : minutes * (free - usable) / free;
    mBusyAcceleratorMinutes +=
      minutes * (kAccelerators - mPlacement.FreeAccelerators());
  }

  void PlaceWaiting()
  {
    std::vector<Job> jobs;
    for (const std::size_t index : mWaiting) {
      jobs.push_back(mArrivals[index].mJob);
    }
    const QueueDecision queue =
      DecideQueue(mPlacement, jobs, mNow, mMinReservationSize);
    std::vector<std::size_t> waiting;
    for (std::size_t i = 0; i < mWaiting.size(); ++i) {
      if (std::holds_alternative<Placed>(queue.mDecisions[i])) {
        Start(mWaiting[i]);
      } else {
        waiting.push_back(mWaiting[i]);
      }
    }
    mWaiting = std::move(waiting);
  }

  void Start(std::size_t aIndex)
  {
    const Arrival& arrival = mArrivals[aIndex];
    mCompletions.emplace(mNow + arrival.mRunTime, aIndex);
    if (aIndex < kWarmUpJobs) {
      return;
    }
    const int size = arrival.mJob.Accelerators();
    const double waited = ToMinutes(mNow - arrival.mTime);
    mWaitAll.Add(waited);
    (size < kMinReservationSize ? mWaitSmall : mWaitLarge).Add(waited);
    if (size == kSizes.back()) {
      mWait64.Add(waited);
    }
  }

  std::vector<Arrival> mArrivals;
  BasicPlacement<Fit> mPlacement;
  int mMinReservationSize;
  base::Time mNow;
  std::size_t mNext = 0;
  std::vector<std::size_t> mWaiting;
  std::multimap<base::Time, std::size_t> mCompletions;
  double mFragmentation = 0;
  double mFragmentation16 = 0;
  double mBusyAcceleratorMinutes = 0;
  WaitSummary mWaitAll;
  WaitSummary mWaitSmall;
  WaitSummary mWaitLarge;
  WaitSummary mWait64;
};

} // namespace

LoadResult RunLoad(LoadPolicy aPolicy, std::uint64_t aSeed)
{
  constexpr int kNoReservations = std::numeric_limits<int>::max();
  std::vector<Arrival> arrivals = MakeArrivals(aSeed);
  switch (aPolicy) {
    case LoadPolicy::eBaseline:
      return LoadSimulation(
               std::move(arrivals), RandomFit(aSeed), kNoReservations)
        .Run();
    case LoadPolicy::eBestFit:
      return LoadSimulation(std::move(arrivals), BestFit(), kNoReservations)
        .Run();
    case LoadPolicy::eBestFitWithReservations:
      break;
  }
  return LoadSimulation(std::move(arrivals), BestFit(), kMinReservationSize)
    .Run();
}

} // namespace flamingoloom::placement
