// The links between the instances and the store, one LinkProxy each, with the
// usual delays between regions and the disturbances that troubles cause. Those
// of one kind that overlap last until the latest end. Not thread-safe.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "review/standins/runtime.h"
#include "testing/real_cluster/link_proxy.h"

namespace flamingoloom::testing::real_cluster {

class StoreLinks
{
public:
  StoreLinks(review::Runtime& aRuntime, std::string aStoreAddress);

  // Adds the link of the next instance and returns the address that it has for
  // the store. The store is in the region of the first instance.
  std::string Add(const std::string& aRegion);
  std::size_t Count() const { return mLinks.size(); }

  // Nothing is delivered in the directions of aHolds for aMs.
  void Cut(std::size_t aIndex, const LinkHolds& aHolds, double aMs);
  // Bytes of all links take aDelay each way for aMs.
  void DelayAll(std::chrono::milliseconds aDelay, double aMs);
  // Whether the link was cut at any time after aSinceMs.
  bool WasCutSince(std::size_t aIndex, double aSinceMs) const;
  // Resets the connections of one link.
  void Reset(std::size_t aIndex);

private:
  struct Link
  {
    std::unique_ptr<LinkProxy> mProxy;
    LinkDelays mUsual;
    double mCutUntilMs = 0;
  };

  review::Runtime& mRuntime;
  const std::string mStoreAddress;
  std::string mStoreRegion;
  std::vector<Link> mLinks;
  double mDelayedUntilMs = 0;
};

} // namespace flamingoloom::testing::real_cluster
