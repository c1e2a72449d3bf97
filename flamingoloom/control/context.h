// What the parts of an instance share: its ports, identity, configuration,
// members and counters. Not thread-safe; all parts of an instance run on one
// thread.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "flamingoloom/config/configuration.h"
#include "flamingoloom/control/api.h"
#include "flamingoloom/control/options.h"
#include "flamingoloom/ledger/group_commit.h"
#include "flamingoloom/ownership/membership.h"
#include "flamingoloom/platform/ports.h"
#include "flamingoloom/report/request_completion.h"

namespace flamingoloom::control {

// A change of state that operators want to see in the log.
struct StateChange
{
  // Such as "lease taken" or "configuration in force".
  std::string mName;
  std::vector<std::pair<std::string, std::string>> mFields;
};

// Counts since the start of the instance.
struct Counters
{
  std::uint64_t mUnrecordedRequests = 0;
  std::uint64_t mUnrecordedRefused = 0;
  std::uint64_t mUnrecordedRetries = 0;
  std::uint64_t mRecordedRequests = 0;
  std::uint64_t mDeduplicatedRequests = 0;
  std::uint64_t mAttempts = 0;
  std::uint64_t mAttemptsFailed = 0;
  std::uint64_t mAttemptsLost = 0;
  std::uint64_t mUnknownOutcomes = 0;
  std::uint64_t mBadAnswers = 0;
  std::uint64_t mTakeOvers = 0;
  std::uint64_t mLeasesLost = 0;
  std::uint64_t mStaleEpochs = 0;
  std::uint64_t mRelocatedRequests = 0;
  std::uint64_t mPreemptions = 0;
  std::uint64_t mStoreFailures = 0;
  std::uint64_t mConfigChanges = 0;
};

template <platform::Ports P>
class Context
{
public:
  Context(P& aPorts,
          InstanceIdentity aIdentity,
          const InstanceOptions& aOptions)
    : mPorts(aPorts)
    , mIdentity(std::move(aIdentity))
    , mOptions(aOptions)
    , mGroupCommit(aPorts)
  {
  }

  base::Time Now() { return mPorts.Now(); }

  // An id that no other call of any instance returns.
  std::string UniqueId()
  {
    return fmt::format(
      "{}-{:x}-{:x}", mIdentity.mId.Value(), ++mIds, mPorts.Random());
  }

  bool IsLeaving() const { return mLeaving; }

  // All other listed instances.
  std::vector<platform::PeerAddress> Peers() const
  {
    std::vector<platform::PeerAddress> peers;
    for (const platform::Member& peer : mMembers.Instances()) {
      if (peer.mId != mIdentity.mId.Value()) {
        peers.push_back({ base::InstanceId(peer.mId), peer.mPeerAddress });
      }
    }
    return peers;
  }

  // Tells all other instances that a member is leaving.
  void AnnounceLeaving(const std::string& aMember)
  {
    for (const platform::PeerAddress& peer : Peers()) {
      mPorts.AnnounceLeaving(peer, { aMember }, [](const auto&) {});
    }
  }

  // 0 for the same data centre, 1 for the same region, 2 for another region.
  int Distance(const base::DataCentreId& aDataCentre) const
  {
    if (aDataCentre == mIdentity.mDataCentre) {
      return 0;
    }
    const config::DataCentre* centre =
      mConfig ? mConfig->FindDataCentre(aDataCentre) : nullptr;
    return centre && centre->mRegion == mIdentity.mRegion ? 1 : 2;
  }

  void Log(StateChange aChange) const
  {
    if (mOnStateChange) {
      mOnStateChange(aChange);
    }
  }

  void ReportCompletion(const report::RequestCompletion& aCompletion) const
  {
    if (mOnRequestCompletion) {
      mOnRequestCompletion(aCompletion);
    }
  }

  P& mPorts;
  const InstanceIdentity mIdentity;
  const InstanceOptions mOptions;
  // Null until the first configuration has arrived.
  std::shared_ptr<const config::Configuration> mConfig;
  ownership::Membership mMembers;
  ledger::GroupCommit<P> mGroupCommit;
  Counters mCounters;
  bool mLeaving = false;
  // Where changes of state are reported; may be empty.
  std::function<void(const StateChange&)> mOnStateChange;
  // Where ends of submitted requests are reported; may be empty.
  std::function<void(const report::RequestCompletion&)> mOnRequestCompletion;

private:
  std::uint64_t mIds = 0;
};

} // namespace flamingoloom::control
