// What an instance keeps for one data centre, whether it owns it or not. Not
// thread-safe.
#pragma once

#include <optional>

#include "flamingoloom/control/context.h"
#include "flamingoloom/control/data_centre_jobs.h"
#include "flamingoloom/control/data_centre_ownership.h"
#include "flamingoloom/control/record_store.h"

namespace flamingoloom::control {

template <platform::Ports P>
struct ManagedDataCentre
{
  ManagedDataCentre(Context<P>& aContext,
                    RecordStore<P>& aStore,
                    const base::DataCentreId& aDataCentre)
    : mOwnership(aContext,
                 aDataCentre,
                 { [this] { mJobs.OnEpoch(); }, [this] { mJobs.OnLost(); } })
    , mJobs(aContext, aStore, mOwnership)
  {
  }
  ManagedDataCentre(const ManagedDataCentre&) = delete;
  ManagedDataCentre& operator=(const ManagedDataCentre&) = delete;

  // The last known owner, if it is an instance other than aSelf.
  std::optional<platform::PeerAddress> Owner(
    const base::InstanceId& aSelf) const
  {
    const auto& lease = mOwnership.State().Current();
    if (!lease || lease->mReleased || lease->mOwner == aSelf) {
      return std::nullopt;
    }
    return platform::PeerAddress{ lease->mOwner, lease->mPeerAddress };
  }

  DataCentreOwnership<P> mOwnership;
  DataCentreJobs<P> mJobs;
  // A release is on its way.
  bool mReleasing = false;
};

} // namespace flamingoloom::control
