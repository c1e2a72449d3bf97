// Runs a fixed-seed arrival process of mixed sizes on 48 servers.
#pragma once

#include <cstdint>

namespace flamingoloom::placement {

enum class LoadPolicy
{
  // Random choice of blocks, no reservations.
  eBaseline,
  eBestFit,
  eBestFitWithReservations,
};

struct LoadResult
{
  // Averaged over time from the end of the warm-up to the last arrival. The
  // shape for the fragmentation is at least 64 accelerators.
  double mFragmentation = 0;
  // The same for a fixed shape of 16.
  double mFragmentation16 = 0;
  double mBusyShare = 0;
  // Minutes from arrival to start, for jobs that arrived after the warm-up.
  double mMeanWait = 0;
  // Jobs below and from kMinReservationSize accelerators on, and jobs of 64.
  double mMeanWaitSmall = 0;
  double mMeanWaitLarge = 0;
  double mMeanWait64 = 0;
  double mMaxWait64 = 0;
};

LoadResult RunLoad(LoadPolicy aPolicy, std::uint64_t aSeed);

} // namespace flamingoloom::placement
