// Queries the burn counts of all listed instances and merges them.
//
// An instance without a valid response within kCollectTimeout is listed as
// missing, with the reason, and its counts are left out. Runs on the thread of
// the ports.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/platform/ports.h"
#include "flamingoloom/report/burn_json.h"
#include "flamingoloom/report/burn_report.h"

namespace flamingoloom::report {

// An operator waits for the report, so one unresponsive instance must not delay
// it further.
inline constexpr base::Duration kCollectTimeout = std::chrono::seconds(1);
inline constexpr const char* kBurnTopic = "burn";

struct CollectedBurn
{
  BurnCounts mCounts;
  std::vector<CountingInstance> mInstances;
  std::vector<MissingInstance> mMissing;
};

using CollectDone = std::function<void(const CollectedBurn&)>;

// P must have After and QueryStatus as in platform::Ports. The object keeps
// itself alive until all callbacks have been released.
template <class P>
class BurnCollector : public std::enable_shared_from_this<BurnCollector<P>>
{
public:
  BurnCollector(P& aPorts, CollectDone aDone)
    : mPorts(aPorts)
    , mDone(std::move(aDone))
  {
  }

  void Start(const base::InstanceId& aSelf,
             const InstanceBurn& aOwn,
             const std::vector<platform::PeerAddress>& aPeers)
  {
    Add(aSelf.Value(), aOwn);
    for (const platform::PeerAddress& peer : aPeers) {
      mPending.insert(peer.mId.Value());
    }
    for (const platform::PeerAddress& peer : aPeers) {
      Query(peer);
    }
    mPorts.After(kCollectTimeout,
                 [self = this->shared_from_this()] { self->OnTimeout(); });
    FinishWhenComplete();
  }

private:
  void Query(const platform::PeerAddress& aPeer)
  {
    mPorts.QueryStatus(
      aPeer,
      kBurnTopic,
      [self = this->shared_from_this(),
       id = aPeer.mId.Value()](const base::Expected<std::string>& aResponse) {
        self->OnResponse(id, aResponse);
      });
  }

  void OnResponse(const std::string& aId,
                  const base::Expected<std::string>& aResponse)
  {
    if (mPending.erase(aId) == 0) {
      return;
    }
    auto burn = aResponse.and_then(DecodeBurn);
    if (burn) {
      Add(aId, *burn);
    } else {
      mCollected.mMissing.push_back({ aId, burn.error().ToString() });
    }
    FinishWhenComplete();
  }

  void OnTimeout()
  {
    for (const std::string& id : mPending) {
      mCollected.mMissing.push_back({ id, "no answer within 1 s" });
    }
    mPending.clear();
    FinishWhenComplete();
  }

  void Add(const std::string& aId, const InstanceBurn& aBurn)
  {
    Merge(mCollected.mCounts, aBurn.mCounts);
    mCollected.mInstances.push_back(
      { aId, aBurn.mCountingFor, aBurn.mTotalsOnly });
  }

  void FinishWhenComplete()
  {
    if (mPending.empty() && mDone) {
      std::exchange(mDone, nullptr)(mCollected);
    }
  }

  P& mPorts;
  CollectDone mDone;
  // Ids of the instances that have not responded yet.
  std::set<std::string> mPending;
  CollectedBurn mCollected;
};

// Calls aDone exactly once, at the latest after kCollectTimeout. aOwn holds the
// counts of this instance, aSelf. aPeers must not contain aSelf.
template <class P>
void CollectBurn(P& aPorts,
                 const base::InstanceId& aSelf,
                 const InstanceBurn& aOwn,
                 const std::vector<platform::PeerAddress>& aPeers,
                 CollectDone aDone)
{
  std::make_shared<BurnCollector<P>>(aPorts, std::move(aDone))
    ->Start(aSelf, aOwn, aPeers);
}

} // namespace flamingoloom::report
