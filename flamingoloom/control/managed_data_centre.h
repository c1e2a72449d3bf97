// The state that an instance holds for one data centre, whether it owns the
// data centre or not. Not thread-safe.
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
                 { [this] { mJobs.OnEpochAcquired(); },
                   [this] { mJobs.OnOwnershipLost(); } })
    , mJobs(aContext, aStore, mOwnership)
  {
  }
  ManagedDataCentre(const ManagedDataCentre&) = delete;
  ManagedDataCentre& operator=(const ManagedDataCentre&) = delete;

  // Returns the last known owner if it is an instance other than aSelf.
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
  // A release of the lease is in flight.
  bool mReleasing = false;
};

} // namespace flamingoloom::control
