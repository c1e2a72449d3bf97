#include "testing/real_cluster/store_links.h"

#include <algorithm>

#include <fmt/format.h>

namespace flamingoloom::testing::real_cluster {

StoreLinks::StoreLinks(review::Runtime& aRuntime, std::string aStoreAddress)
  : mRuntime(aRuntime)
  , mStoreAddress(std::move(aStoreAddress))
{
}

std::string StoreLinks::Add(const std::string& aRegion)
{
  constexpr LinkDelays kBetweenRegions{ std::chrono::milliseconds(20),
                                        std::chrono::milliseconds(20) };
  if (mLinks.empty()) {
    mStoreRegion = aRegion;
  }
  Link link{ std::make_unique<LinkProxy>(mRuntime.Loop(), mStoreAddress),
             aRegion == mStoreRegion ? LinkDelays{} : kBetweenRegions };
  link.mProxy->SetDelays(link.mUsual);
  mLinks.push_back(std::move(link));
  return mLinks.back().mProxy->Address();
}

void StoreLinks::Cut(std::size_t aIndex, const LinkHolds& aHolds, double aMs)
{
  Link& link = mLinks.at(aIndex);
  link.mCutUntilMs = std::max(link.mCutUntilMs, mRuntime.NowMs() + aMs);
  link.mProxy->SetHolds(aHolds);
  mRuntime.Record(fmt::format("link of instance-{} is silent{} for {:.0f} ms",
                              aIndex,
                              aHolds.mToTarget && aHolds.mToClient ? ""
                              : aHolds.mToTarget ? " to the store"
                                                 : " from the store",
                              aMs));
  mRuntime.After(aMs, [this, aIndex] {
    Link& cut = mLinks[aIndex];
    if (mRuntime.NowMs() >= cut.mCutUntilMs) {
      cut.mProxy->SetHolds({});
      mRuntime.Record(fmt::format("link of instance-{} is back", aIndex));
    }
  });
}

bool StoreLinks::WasCutSince(std::size_t aIndex, double aSinceMs) const
{
  return mLinks.at(aIndex).mCutUntilMs > aSinceMs;
}

void StoreLinks::DelayAll(std::chrono::milliseconds aDelay, double aMs)
{
  mDelayedUntilMs = std::max(mDelayedUntilMs, mRuntime.NowMs() + aMs);
  for (const auto& link : mLinks) {
    link.mProxy->SetDelays({ aDelay, aDelay });
  }
  mRuntime.After(aMs, [this] {
    if (mRuntime.NowMs() >= mDelayedUntilMs) {
      for (const auto& link : mLinks) {
        link.mProxy->SetDelays(link.mUsual);
      }
    }
  });
}

void StoreLinks::Reset(std::size_t aIndex)
{
  mLinks.at(aIndex).mProxy->ResetConnections();
}

} // namespace flamingoloom::testing::real_cluster
