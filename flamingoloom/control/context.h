// State that the parts of an instance share: its ports, identity,
// configuration, members and counters. Not thread-safe; all parts of an
// instance run on one thread.
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

// A change of state that is written to the log for operators.
struct StateChange
{
  // The name of the log event, such as "lease held" or "configuration in
  // force".
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

  // Returns an id that no other call on any instance returns.
  std::string UniqueId()
  {
    return fmt::format(
      "{}-{:x}-{:x}", mIdentity.mId.Value(), ++mLastId, mPorts.Random());
  }

  bool IsShuttingDown() const { return mShuttingDown; }

  // Returns all other listed instances.
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

  // Announces to all other instances that a member is draining.
  void AnnounceLeaving(const std::string& aMember)
  {
    for (const platform::PeerAddress& peer : Peers()) {
      mPorts.AnnounceLeaving(peer, { aMember }, [](const auto&) {});
    }
  }

  // Returns 0 for the same data centre, 1 for the same region, 2 for another
  // region.
  int Distance(const base::DataCentreId& aDataCentre) const
  {
    if (aDataCentre == mIdentity.mDataCentre) {
      return 0;
    }
    const config::DataCentre* dataCentre =
      mConfig ? mConfig->FindDataCentre(aDataCentre) : nullptr;
    return dataCentre && dataCentre->mRegion == mIdentity.mRegion ? 1 : 2;
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
  bool mShuttingDown = false;
  // Called with each change of state; may be empty.
  std::function<void(const StateChange&)> mOnStateChange;
  // Called with the completion of each submitted request; may be empty.
  std::function<void(const report::RequestCompletion&)> mOnRequestCompletion;

private:
  std::uint64_t mLastId = 0;
};

} // namespace flamingoloom::control
