// Asks all listed instances for their burn counts and merges the answers.
//
// An instance that gives no usable answer within kCollectTimeout is named with
// the reason; the others are reported without it. Runs on the thread of the
// ports.
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

// An operator waits for the report, so one silent instance must not hold it
// up for longer.
inline constexpr base::Duration kCollectTimeout = std::chrono::seconds(1);
inline constexpr const char* kBurnTopic = "burn";

struct CollectedBurn
{
  BurnCounts mCounts;
  std::vector<CountingInstance> mInstances;
  std::vector<MissingInstance> mMissing;
};

using CollectDone = std::function<void(const CollectedBurn&)>;

// aPorts needs After and QueryStatus of platform::Ports.
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
      mWaiting.insert(peer.mId.Value());
    }
    for (const platform::PeerAddress& peer : aPeers) {
      Ask(peer);
    }
    mPorts.After(kCollectTimeout,
                 [self = this->shared_from_this()] { self->OnTimeout(); });
    FinishWhenComplete();
  }

private:
  void Ask(const platform::PeerAddress& aPeer)
  {
    mPorts.QueryStatus(
      aPeer,
      kBurnTopic,
      [self = this->shared_from_this(),
       id = aPeer.mId.Value()](const base::Expected<std::string>& aAnswer) {
        self->OnAnswer(id, aAnswer);
      });
  }

  void OnAnswer(const std::string& aId,
                const base::Expected<std::string>& aAnswer)
  {
    if (mWaiting.erase(aId) == 0) {
      return;
    }
    auto burn = aAnswer.and_then(DecodeBurn);
    if (burn) {
      Add(aId, *burn);
    } else {
      mCollected.mMissing.push_back({ aId, burn.error().ToString() });
    }
    FinishWhenComplete();
  }

  void OnTimeout()
  {
    for (const std::string& id : mWaiting) {
      mCollected.mMissing.push_back({ id, "no answer within 1 s" });
    }
    mWaiting.clear();
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
    if (mWaiting.empty() && mDone) {
      std::exchange(mDone, nullptr)(mCollected);
    }
  }

  P& mPorts;
  CollectDone mDone;
  // Instances that have not answered yet.
  std::set<std::string> mWaiting;
  CollectedBurn mCollected;
};

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
