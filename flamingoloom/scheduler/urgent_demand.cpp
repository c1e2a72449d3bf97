#include "flamingoloom/scheduler/urgent_demand.h"

namespace flamingoloom::scheduler {

namespace {

// Long enough for several arrivals, short enough to follow a burst.
constexpr base::Duration kWindow = std::chrono::seconds(5);
// A stop takes up to 0.9 s on the platform; storing and sending the start takes
// the rest.
constexpr base::Duration kHorizon = std::chrono::seconds(1);

} // namespace

void UrgentDemand::Record(base::Time aNow, std::int64_t aAccelerators)
{
  mArrivals.emplace_back(aNow, aAccelerators);
  mAccelerators += aAccelerators;
}

std::int64_t UrgentDemand::ExpectedAccelerators(base::Time aNow)
{
  while (!mArrivals.empty() && aNow - mArrivals.front().first > kWindow) {
    mAccelerators -= mArrivals.front().second;
    mArrivals.pop_front();
  }
  return mAccelerators * kHorizon.count() / kWindow.count();
}

} // namespace flamingoloom::scheduler
