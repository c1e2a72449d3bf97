// What an instance keeps for one data centre, whether it owns it or not. Not
// thread-safe.
#pragma once

#include <optional>

#include "flamingoloom/control/centre_jobs.h"
#include "flamingoloom/control/centre_keeper.h"
#include "flamingoloom/control/context.h"
#include "flamingoloom/control/record_store.h"

namespace flamingoloom::control {

template <platform::Ports P>
struct OwnedCentre
{
  OwnedCentre(Context<P>& aContext,
              RecordStore<P>& aStore,
              const base::DataCentreId& aDataCentre)
    : mKeeper(aContext,
              aDataCentre,
              { [this] { mJobs.OnEpoch(); }, [this] { mJobs.OnLost(); } })
    , mJobs(aContext, aStore, mKeeper)
  {
  }
  OwnedCentre(const OwnedCentre&) = delete;
  OwnedCentre& operator=(const OwnedCentre&) = delete;

  // The last known owner, if it is an instance other than aSelf.
  std::optional<platform::PeerAddress> Owner(
    const base::InstanceId& aSelf) const
  {
    const auto& lease = mKeeper.State().Current();
    if (!lease || lease->mReleased || lease->mOwner == aSelf) {
      return std::nullopt;
    }
    return platform::PeerAddress{ lease->mOwner, lease->mPeerAddress };
  }

  CentreKeeper<P> mKeeper;
  CentreJobs<P> mJobs;
  // A release is on its way.
  bool mReleasing = false;
};

} // namespace flamingoloom::control
