// Runs operators' changes of data centres: takes a data centre out of service,
// returns it to service, and reports when the change has taken effect on all
// instances. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/control/context.h"
#include "flamingoloom/control/managed_data_centre.h"
#include "flamingoloom/ownership/records.h"

namespace flamingoloom::control {

template <platform::Ports P>
class DataCentreOperations
{
public:
  using ManagedDataCentres =
    std::map<base::DataCentreId, std::unique_ptr<ManagedDataCentre<P>>>;

  DataCentreOperations(Context<P>& aContext, ManagedDataCentres& aDataCentres)
    : mContext(aContext)
    , mManagedDataCentres(aDataCentres)
  {
  }

  // Writes the change, then waits until the owner acknowledges it or
  // mAcknowledgementTimeout has passed; DataCentreView::mAcknowledged shows
  // which. Errors: eInvalid for an unknown data centre, eConflict if another
  // operator has changed it first, eOutcomeUnknown if it is not known whether
  // the store applied the change.
  void Change(const DataCentreChange& aChange, DataCentreDone aDone)
  {
    if (!mManagedDataCentres.contains(aChange.mDataCentre)) {
      aDone(base::MakeError(base::ErrorCode::eInvalid,
                            "change data centre",
                            "operator",
                            "unknown data centre",
                            "/dataCentre"));
      return;
    }
    auto call = std::make_shared<Call>();
    call->mChange = aChange;
    call->mNonce = mContext.UniqueId();
    call->mDeadline =
      mContext.Now() + mContext.mOptions.mAcknowledgementTimeout;
    call->mDone = std::move(aDone);
    Write(call);
  }

  // Reports the state of all data centres, as far as their owners can be
  // reached.
  void List(platform::Done<std::vector<DataCentreView>> aDone)
  {
    auto views = std::make_shared<std::vector<DataCentreView>>();
    auto pending =
      std::make_shared<std::size_t>(mManagedDataCentres.size() + 1);
    auto finish = [views, pending, aDone] {
      if (--*pending == 0) {
        aDone(*views);
      }
    };
    views->resize(mManagedDataCentres.size());
    std::size_t index = 0;
    for (auto& [name, dataCentre] : mManagedDataCentres) {
      (*views)[index] = KnownView(*dataCentre);
      QueryOwner(*dataCentre,
                 dataCentre->mOwnership.State().DataCentreVersion(),
                 [views, index, finish](
                   const base::Expected<platform::DataCentreStatus>& aStatus) {
                   ApplyStatus((*views)[index], aStatus);
                   finish();
                 });
      ++index;
    }
    finish();
  }

private:
  struct Call
  {
    DataCentreChange mChange;
    std::string mNonce;
    // Version of the row that contains the change.
    std::uint64_t mVersion = 0;
    base::Time mDeadline{};
    DataCentreDone mDone;
  };
  using CallPtr = std::shared_ptr<Call>;
  using StatusDone = platform::Done<platform::DataCentreStatus>;

  static constexpr base::Duration kRetryDelay = std::chrono::milliseconds(200);

  void Write(const CallPtr& aCall)
  {
    const DataCentreChange& change = aCall->mChange;
    ownership::DataCentreRecord record{ change.mState ==
                                          DataCentreState::eOutOfService,
                                        change.mOperator,
                                        aCall->mNonce };
    std::string key = ownership::DataCentreKey(change.mDataCentre);
    std::string value = ownership::Encode(record);
    platform::Transaction transaction;
    transaction.mWrites = { { key, change.mExpectedVersion, value } };
    mContext.mPorts.Commit(
      transaction,
      [this, aCall, key, value](
        const base::Expected<platform::TransactionResult>& aOutcome) {
        if (aOutcome && aOutcome->Committed()) {
          aCall->mVersion = aOutcome->mVersions.front().mVersion;
          Observe(aCall, { key, aCall->mVersion, value });
          AwaitAcknowledgement(aCall);
        } else if (aOutcome) {
          ReadBack(aCall, {});
        } else {
          ReadBack(aCall, aOutcome.error());
        }
      });
  }

  // Applies a row that this call wrote or read, so that the instance does not
  // list an older version afterwards, with which the operator's next change
  // would be rejected.
  void Observe(const CallPtr& aCall, const platform::Row& aRow)
  {
    if (aRow.mVersion > 0) {
      mManagedDataCentres.at(aCall->mChange.mDataCentre)
        ->mOwnership.ObserveDataCentre(aRow);
    }
  }

  // Reads the row to find its writer: this call, if the response was lost, or
  // another operator.
  void ReadBack(const CallPtr& aCall, const base::Error& aCause)
  {
    std::string key = ownership::DataCentreKey(aCall->mChange.mDataCentre);
    mContext.mPorts.Read(
      { key },
      [this, aCall, aCause](
        const base::Expected<std::vector<platform::Row>>& aRows) {
        if (!aRows) {
          RetryOrFail(aCall, aRows.error());
          return;
        }
        platform::Row row = aRows->empty() ? platform::Row{} : aRows->front();
        Observe(aCall, row);
        auto record = ownership::DecodeDataCentre(row.mValue)
                        .value_or(ownership::DataCentreRecord{});
        if (record.mNonce == aCall->mNonce) {
          aCall->mVersion = row.mVersion;
          AwaitAcknowledgement(aCall);
        } else if (row.mVersion == aCall->mChange.mExpectedVersion) {
          RetryOrFail(aCall, aCause);
        } else {
          aCall->mDone(Conflict(record, row.mVersion));
        }
      });
  }

  static tl::unexpected<base::Error> Conflict(
    const ownership::DataCentreRecord& aWinner,
    std::uint64_t aVersion)
  {
    return base::MakeError(
      base::ErrorCode::eConflict,
      "change data centre",
      "table",
      fmt::format("operator {} has set it to {} (version {})",
                  aWinner.mOperator,
                  aWinner.mOutOfService ? "out" : "in",
                  aVersion),
      "/expectedVersion");
  }

  void RetryOrFail(const CallPtr& aCall, const base::Error& aCause)
  {
    if (mContext.Now() >= aCall->mDeadline) {
      aCall->mDone(base::MakeError(base::ErrorCode::eOutcomeUnknown,
                                   "change data centre",
                                   "table",
                                   aCause.ToString()));
      return;
    }
    mContext.mPorts.After(kRetryDelay, [this, aCall] { Write(aCall); });
  }

  void AwaitAcknowledgement(const CallPtr& aCall)
  {
    ManagedDataCentre<P>& dataCentre =
      *mManagedDataCentres.at(aCall->mChange.mDataCentre);
    QueryOwner(
      dataCentre,
      aCall->mVersion,
      [this, aCall](const base::Expected<platform::DataCentreStatus>& aStatus) {
        OnStatus(aCall, aStatus);
      });
  }

  void OnStatus(const CallPtr& aCall,
                const base::Expected<platform::DataCentreStatus>& aStatus)
  {
    DataCentreView view =
      KnownView(*mManagedDataCentres.at(aCall->mChange.mDataCentre));
    view.mState = aCall->mChange.mState;
    view.mOperator = aCall->mChange.mOperator;
    view.mVersion = aCall->mVersion;
    ApplyStatus(view, aStatus);
    if (view.mAcknowledged || mContext.Now() >= aCall->mDeadline) {
      aCall->mDone(view);
      return;
    }
    mContext.mPorts.After(kRetryDelay,
                          [this, aCall] { AwaitAcknowledgement(aCall); });
  }

  // Applies the owner's status. The change counts as acknowledged only if the
  // owner reports on the same version of the row.
  static void ApplyStatus(
    DataCentreView& aView,
    const base::Expected<platform::DataCentreStatus>& aStatus)
  {
    if (!aStatus) {
      aView.mAcknowledged = false;
      aView.mReason =
        "the owner cannot be reached: " + aStatus.error().ToString();
    } else if (aStatus->mRowVersion != aView.mVersion) {
      aView.mAcknowledged = false;
      aView.mReason = "the owner has not read this change";
    } else {
      aView.mAcknowledged = aStatus->mAcknowledged;
      aView.mReason = aStatus->mReason;
    }
  }

  DataCentreView KnownView(ManagedDataCentre<P>& aDataCentre)
  {
    const ownership::Lease& lease = aDataCentre.mOwnership.State();
    DataCentreView view;
    view.mDataCentre = aDataCentre.mOwnership.Name();
    view.mState = lease.IsOutOfService() ? DataCentreState::eOutOfService
                                         : DataCentreState::eInService;
    view.mOperator = lease.DataCentre().mOperator;
    view.mVersion = lease.DataCentreVersion();
    if (lease.Current()) {
      view.mOwner = lease.Current()->mOwner;
      view.mEpoch = lease.Current()->mEpoch;
    }
    return view;
  }

  void QueryOwner(ManagedDataCentre<P>& aDataCentre,
                  std::uint64_t aVersion,
                  StatusDone aDone)
  {
    if (aDataCentre.mOwnership.Holds()) {
      if (aDataCentre.mOwnership.State().DataCentreVersion() < aVersion) {
        aDataCentre.mOwnership.Read();
      }
      aDone(aDataCentre.mOwnership.Status());
      return;
    }
    auto owner = aDataCentre.Owner(mContext.mIdentity.mId);
    if (!owner) {
      aDone(base::MakeError(base::ErrorCode::eUnavailable,
                            "query owner",
                            aDataCentre.mOwnership.Name().Value(),
                            "no owner is known"));
      return;
    }
    mContext.mPorts.NotifyDataCentre(
      *owner, { aDataCentre.mOwnership.Name(), aVersion }, std::move(aDone));
  }

  Context<P>& mContext;
  ManagedDataCentres& mManagedDataCentres;
};

} // namespace flamingoloom::control
