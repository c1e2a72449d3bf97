// Simulates random arrivals of jobs of mixed sizes on 48 servers. Each seed
// gives one fixed sequence of arrivals.
#pragma once

#include <cstdint>

namespace flamingoloom::placement {

enum class LoadPolicy
{
  // Selects blocks at random and makes no reservations.
  eBaseline,
  eBestFit,
  eBestFitWithReservations,
};

struct LoadResult
{
  // Share of the free accelerators that the largest shape cannot use, 0 to 1,
  // averaged over time from the end of the warm-up to the last arrival. The
  // shape is at least 64 accelerators.
  double mFragmentation = 0;
  // The same for a fixed shape of 16 accelerators.
  double mFragmentation16 = 0;
  // Share of the accelerators in use, 0 to 1, averaged over the same time.
  double mBusyShare = 0;
  // Mean time in minutes from arrival to start, for jobs that arrived after the
  // warm-up.
  double mMeanWait = 0;
  // The same for jobs with fewer than kMinReservationSize accelerators, for
  // jobs with at least as many, and for jobs with 64.
  double mMeanWaitSmall = 0;
  double mMeanWaitLarge = 0;
  double mMeanWait64 = 0;
  // Maximum in minutes.
  double mMaxWait64 = 0;
};

LoadResult RunLoad(LoadPolicy aPolicy, std::uint64_t aSeed);

} // namespace flamingoloom::placement
