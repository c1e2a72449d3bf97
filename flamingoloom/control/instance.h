// One instance of flamingoloom. It combines ownership, recorded and unrecorded
// requests and configuration over its ports.
//
//   Instance<MyPorts> instance(ports, identity, InstanceOptions{});
//   instance.Start();
//   instance.Submit(request, [](base::Expected<CallerAnswer> aAnswer) { ... });
//
// All instances are equal. Not thread-safe: every call, and every callback of
// the ports, happens on one thread. The instance must outlive the callbacks.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/control/config_manager.h"
#include "flamingoloom/control/context.h"
#include "flamingoloom/control/data_centre_jobs.h"
#include "flamingoloom/control/data_centre_operations.h"
#include "flamingoloom/control/data_centre_ownership.h"
#include "flamingoloom/control/managed_data_centre.h"
#include "flamingoloom/control/record_store.h"
#include "flamingoloom/control/recorded_requests.h"
#include "flamingoloom/control/unrecorded_requests.h"
#include "flamingoloom/report/burn_json.h"

namespace flamingoloom::control {

template <platform::Ports P, class Routing = dispatch::WeightedRouting>
class Instance
{
public:
  Instance(P& aPorts,
           InstanceIdentity aIdentity,
           const InstanceOptions& aOptions)
    : mContext(aPorts, std::move(aIdentity), aOptions)
    , mStore(mContext)
    , mConfig(mContext, [this] { OnConfigChange(); })
    , mUnrecorded(mContext)
    , mRecorded(mContext, mStore, MakeCallbacks())
    , mOperations(mContext, mManagedDataCentres)
    , mBurn(mContext.Now())
  {
  }
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  // Begins to watch the platform and the peers. Must be called once.
  void Start()
  {
    ListMembers();
    Watch();
    Tick();
  }

  // --- Callers -----------------------------------------------------------

  // Submits a request. Errors: eShuttingDown, eUnavailable without a
  // configuration, eInvalid with the invalid field, eConflict for a key that
  // was used with another body.
  void Submit(const CallerRequest& aRequest, AnswerDone aDone)
  {
    if (auto error = CheckRequest(aRequest)) {
      aDone(tl::unexpected(*error));
      return;
    }
    const config::JobKind& kind = *mContext.mConfig->Kind(aRequest.mKind);
    aDone = CountCompletion(aRequest, kind, std::move(aDone));
    if (NeedsRecord(kind)) {
      mRecorded.Submit(aRequest, std::move(aDone));
    } else {
      mUnrecorded.Submit(aRequest, kind, std::move(aDone));
    }
  }

  // Reports the state of a recorded request; waits up to aWait for its
  // completion.
  void Await(const base::RequestId& aRequest,
             base::Duration aWait,
             AnswerDone aDone)
  {
    mRecorded.Await(aRequest, aWait, std::move(aDone));
  }

  void Cancel(const base::RequestId& aRequest, AnswerDone aDone)
  {
    mRecorded.CancelRequest(aRequest, std::move(aDone));
  }

  // --- Operators ---------------------------------------------------------

  void ChangeDataCentre(const DataCentreChange& aChange, DataCentreDone aDone)
  {
    mOperations.Change(aChange, std::move(aDone));
  }

  void DataCentres(platform::Done<std::vector<DataCentreView>> aDone)
  {
    mOperations.List(std::move(aDone));
  }

  void PutConfiguration(std::uint64_t aExpectedVersion,
                        config::Configuration aConfiguration,
                        ConfigDone aDone)
  {
    mConfig.Put(aExpectedVersion, std::move(aConfiguration), std::move(aDone));
  }

  // Shuts down gracefully: rejects new requests, hands over the data centres
  // that this instance owns, waits for the requests in progress, then calls
  // aDone.
  void Shutdown(std::function<void()> aDone)
  {
    mContext.mShuttingDown = true;
    mContext.Log({ "leaving", {} });
    mContext.mMembers.MarkDraining(mContext.mIdentity.mId.Value());
    mContext.AnnounceLeaving(mContext.mIdentity.mId.Value());
    mOnShutdownDone = std::move(aDone);
  }

  // Reads all accepted versions, oldest first, as far as the store can be read.
  void ConfigHistory(platform::Done<std::vector<ConfigRow>> aDone)
  {
    mConfig.History(std::move(aDone));
  }

  std::uint64_t ConfigVersion() const { return mConfig.Version(); }
  const std::string& ConfigDocument() const { return mConfig.Document(); }

  // Returns true if the instance has a configuration and a member list and is
  // not shutting down.
  bool IsReady() const
  {
    return mContext.mConfig && mContext.mMembers.HasList() &&
           !mContext.mShuttingDown;
  }

  Context<P>& State() { return mContext; }
  const std::map<base::DataCentreId, std::unique_ptr<ManagedDataCentre<P>>>&
  ManagedDataCentres() const
  {
    return mManagedDataCentres;
  }
  std::size_t InProgress() const
  {
    return mUnrecorded.InProgress() + mRecorded.InProgress();
  }

  // --- Peers -------------------------------------------------------------

  void OnRequestCredits(const platform::CreditRequest& aRequest,
                        platform::Done<platform::CreditGrant> aDone)
  {
    ManagedDataCentre<P>* dataCentre =
      FindManagedDataCentre(aRequest.mDataCentre);
    if (!dataCentre || !dataCentre->mJobs.IsLoaded()) {
      aDone(NotOwner("grant credits", aRequest.mDataCentre));
      return;
    }
    aDone(dataCentre->mOwnership.GrantCredits(aRequest));
  }

  void OnNotifyRequest(const platform::RequestNotice& aNotice,
                       platform::Done<platform::Nothing> aDone)
  {
    ManagedDataCentre<P>* dataCentre =
      FindManagedDataCentre(aNotice.mDataCentre);
    if (!dataCentre || !dataCentre->mOwnership.Holds()) {
      aDone(NotOwner("notify request", aNotice.mDataCentre));
      return;
    }
    if (aNotice.mCancel) {
      dataCentre->mJobs.CancelRequest(aNotice.mRequest);
    } else {
      dataCentre->mJobs.LoadIfUnknown(aNotice.mRequest);
    }
    aDone(platform::Nothing{});
  }

  void OnAwaitRequest(const platform::RequestNotice& aNotice,
                      base::Duration aWait,
                      platform::Done<platform::RequestProgress> aDone)
  {
    ManagedDataCentre<P>* dataCentre =
      FindManagedDataCentre(aNotice.mDataCentre);
    if (!dataCentre || !dataCentre->mOwnership.Holds()) {
      aDone(NotOwner("await request", aNotice.mDataCentre));
      return;
    }
    dataCentre->mJobs.Await(aNotice.mRequest, aWait, std::move(aDone));
  }

  void OnNotifyDataCentre(const platform::DataCentreNotice& aNotice,
                          platform::Done<platform::DataCentreStatus> aDone)
  {
    ManagedDataCentre<P>* dataCentre =
      FindManagedDataCentre(aNotice.mDataCentre);
    if (!dataCentre || !dataCentre->mOwnership.Holds()) {
      aDone(NotOwner("take out", aNotice.mDataCentre));
      return;
    }
    if (dataCentre->mOwnership.State().DataCentreVersion() <
        aNotice.mRowVersion) {
      dataCentre->mOwnership.Read();
    }
    aDone(dataCentre->mOwnership.Status());
  }

  void OnRequestPromise(const platform::PromiseRequest&,
                        platform::Done<platform::Nothing> aDone)
  {
    aDone(base::MakeError(base::ErrorCode::eDenied,
                          "promise",
                          mContext.mIdentity.mId.Value(),
                          "promises are not supported"));
  }

  void OnAnnounceConfig(const platform::ConfigNotice& aNotice,
                        platform::Done<platform::Nothing> aDone)
  {
    mConfig.OnAnnounced(aNotice);
    aDone(platform::Nothing{});
  }

  void OnAnnounceLeaving(const platform::LeavingNotice& aNotice,
                         platform::Done<platform::Nothing> aDone)
  {
    mContext.mMembers.MarkDraining(aNotice.mMember);
    aDone(platform::Nothing{});
  }

  // Responds with the active configuration document for the topic "config", and
  // with the counts of this instance for the burn report for "burn".
  void OnQueryStatus(const std::string& aTopic,
                     platform::Done<std::string> aDone)
  {
    if (aTopic == "config" && !mConfig.Document().empty()) {
      aDone(mConfig.Document());
      return;
    }
    if (aTopic == "burn") {
      aDone(report::EncodeBurn(Burn()));
      return;
    }
    aDone(base::MakeError(base::ErrorCode::eNotFound,
                          "query status",
                          mContext.mIdentity.mId.Value(),
                          "no such topic: " + aTopic,
                          "topic"));
  }

  // Returns the counts of this instance for the burn report.
  report::InstanceBurn Burn()
  {
    base::Time now = mContext.Now();
    return { mBurn.Counts(now), mBurn.CountingFor(now) };
  }

private:
  // Wraps aDone so that the completion of a request is counted before the
  // caller gets the response.
  AnswerDone CountCompletion(const CallerRequest& aRequest,
                             const config::JobKind& aKind,
                             AnswerDone aDone)
  {
    return [this,
            account = aRequest.mAccount,
            kind = aKind.mId,
            target = aKind.mTarget,
            arrived = mContext.Now(),
            done = std::move(aDone)](base::Expected<CallerAnswer> aAnswer) {
      base::Time now = mContext.Now();
      if (auto result = report::ResultOf(aAnswer, now - arrived, target)) {
        report::RequestCompletion completion{
          account, kind, *result, now - arrived
        };
        mBurn.Record(now, completion);
        mContext.ReportCompletion(completion);
      }
      done(std::move(aAnswer));
    };
  }

  static bool NeedsRecord(const config::JobKind& aKind)
  {
    return aKind.mDurable || !aKind.mIdempotent || aKind.mTasks > 1 ||
           aKind.mAcceleratorsPerTask > 0;
  }

  std::optional<base::Error> CheckRequest(const CallerRequest& aRequest) const
  {
    auto makeError = [](base::ErrorCode aCode,
                        const char* aMessage,
                        const char* aField) {
      return base::Error{ aCode, "accept request", "caller", aMessage, aField };
    };
    if (mContext.mShuttingDown) {
      return makeError(
        base::ErrorCode::eShuttingDown, "the instance is shutting down", "");
    }
    if (!mContext.mConfig) {
      return makeError(
        base::ErrorCode::eUnavailable, "there is no configuration yet", "");
    }
    if (!mContext.mConfig->Account(aRequest.mAccount)) {
      return makeError(
        base::ErrorCode::eInvalid, "unknown client account", "/account");
    }
    const config::JobKind* kind = mContext.mConfig->Kind(aRequest.mKind);
    if (!kind) {
      return makeError(base::ErrorCode::eInvalid, "unknown job kind", "/kind");
    }
    if (NeedsRecord(*kind) && aRequest.mKey.empty()) {
      return makeError(base::ErrorCode::eInvalid,
                       "this job kind needs an idempotency key",
                       "Idempotency-Key");
    }
    return std::nullopt;
  }

  tl::unexpected<base::Error> NotOwner(
    const std::string& aStep,
    const base::DataCentreId& aDataCentre) const
  {
    return base::MakeError(base::ErrorCode::eUnavailable,
                           aStep,
                           mContext.mIdentity.mId.Value(),
                           "does not own " + aDataCentre.Value());
  }

  ManagedDataCentre<P>* FindManagedDataCentre(
    const base::DataCentreId& aDataCentre) const
  {
    auto found = mManagedDataCentres.find(aDataCentre);
    return found == mManagedDataCentres.end() ? nullptr : found->second.get();
  }

  // --- Watching ----------------------------------------------------------

  void OnConfigChange()
  {
    for (const config::DataCentre& dataCentre :
         mContext.mConfig->mDataCentres) {
      if (!mManagedDataCentres.contains(dataCentre.mId)) {
        auto managed = std::make_unique<ManagedDataCentre<P>>(
          mContext, mStore, dataCentre.mId);
        managed->mJobs.SetRelocationCallbacks(
          [this, from = dataCentre.mId](const ledger::Record& aRecord) {
            return ChooseDataCentre(
              aRecord.mRequest.mAccount, aRecord.mKind, from);
          },
          [this](const base::RequestId& aRequest,
                 const base::DataCentreId& aTo) {
            Notify({ aTo, aRequest, false });
          });
        mManagedDataCentres[dataCentre.mId] = std::move(managed);
      }
    }
    for (auto& [name, dataCentre] : mManagedDataCentres) {
      dataCentre->mJobs.OnConfigChange();
    }
  }

  void ListMembers()
  {
    mContext.mPorts.ListMembers(
      [this](const base::Expected<platform::MemberList>& aList) {
        // If there is no response, the previous list stays in use.
        if (aList) {
          mContext.mMembers.Update(*aList);
        }
      });
    mContext.mPorts.After(mContext.mOptions.mMemberListInterval,
                          [this] { ListMembers(); });
  }

  // Reads in one call all rows that every instance watches.
  void Watch()
  {
    std::vector<std::string> keys{ kConfigKey };
    for (const auto& [name, dataCentre] : mManagedDataCentres) {
      keys.push_back(ownership::LeaseKey(name));
      keys.push_back(ownership::DataCentreKey(name));
    }
    mContext.mPorts.Read(
      keys, [this](const base::Expected<std::vector<platform::Row>>& aRows) {
        if (aRows) {
          ApplyWatchedRows(*aRows);
        } else {
          ++mContext.mCounters.mStoreFailures;
          mConfig.QueryPeers();
        }
      });
    mConfig.AnnounceToRandomPeer();
    mContext.mPorts.After(mContext.mOptions.mWatchInterval,
                          [this] { Watch(); });
  }

  void ApplyWatchedRows(const std::vector<platform::Row>& aRows)
  {
    std::map<std::string, platform::Row> rows;
    for (const platform::Row& row : aRows) {
      rows[row.mKey] = row;
    }
    auto find = [&](const std::string& aKey) -> std::optional<platform::Row> {
      auto found = rows.find(aKey);
      return found == rows.end() ? std::nullopt : std::optional(found->second);
    };
    if (auto row = find(kConfigKey)) {
      mConfig.Observe(*row);
    }
    for (auto& [name, dataCentre] : mManagedDataCentres) {
      dataCentre->mOwnership.Observe(find(ownership::LeaseKey(name)),
                                     find(ownership::DataCentreKey(name)));
    }
  }

  void Tick()
  {
    for (auto& [name, dataCentre] : mManagedDataCentres) {
      dataCentre->mOwnership.OnTick();
      dataCentre->mJobs.OnTick();
    }
    mUnrecorded.OnTick();
    // Queued requests have at most a few hundred milliseconds left, so they do
    // not wait for the next credit interval.
    if (mContext.Now() >= mNextCreditsAt || mUnrecorded.IsStarved()) {
      mNextCreditsAt = mContext.Now() + mContext.mOptions.mCreditInterval;
      FetchCredits();
    }
    if (mContext.mShuttingDown) {
      StepShutdown();
    }
    mContext.mPorts.After(mContext.mOptions.mTickInterval, [this] { Tick(); });
  }

  // --- Credits -----------------------------------------------------------

  void FetchCredits()
  {
    bool hasNearCredits = mUnrecorded.HasNearCredits();
    for (auto& [name, dataCentre] : mManagedDataCentres) {
      // Credits from another region are requested only if there are none
      // nearer.
      if (mContext.Distance(name) == 2 && hasNearCredits) {
        continue;
      }
      FetchCredits(*dataCentre);
    }
  }

  void FetchCredits(ManagedDataCentre<P>& aDataCentre)
  {
    platform::CreditRequest request{ mContext.mIdentity.mId,
                                     aDataCentre.mOwnership.Name(),
                                     mUnrecorded.WantedCredits() };
    base::Time requestedAt = mContext.Now();
    auto put =
      [this, requestedAt](const base::Expected<platform::CreditGrant>& aGrant) {
        if (aGrant) {
          mUnrecorded.Put(*aGrant, requestedAt);
        }
      };
    if (aDataCentre.mOwnership.Holds()) {
      OnRequestCredits(request, put);
    } else if (auto owner = OwnerOf(aDataCentre.mOwnership.Name())) {
      mContext.mPorts.RequestCredits(*owner, request, put);
    }
  }

  // --- Owners ------------------------------------------------------------

  // Returns the last known owner of a data centre if it is another instance.
  std::optional<platform::PeerAddress> OwnerOf(
    const base::DataCentreId& aDataCentre) const
  {
    ManagedDataCentre<P>* dataCentre = FindManagedDataCentre(aDataCentre);
    return dataCentre ? dataCentre->Owner(mContext.mIdentity.mId)
                      : std::nullopt;
  }

  void Notify(const platform::RequestNotice& aNotice)
  {
    ManagedDataCentre<P>* dataCentre =
      FindManagedDataCentre(aNotice.mDataCentre);
    if (dataCentre && dataCentre->mOwnership.Holds()) {
      OnNotifyRequest(aNotice, [](const auto&) {});
    } else if (auto owner = OwnerOf(aNotice.mDataCentre)) {
      mContext.mPorts.NotifyRequest(*owner, aNotice, [](const auto&) {});
    }
  }

  void AwaitAtOwner(const platform::RequestNotice& aNotice,
                    base::Duration aWait,
                    platform::Done<platform::RequestProgress> aDone)
  {
    ManagedDataCentre<P>* dataCentre =
      FindManagedDataCentre(aNotice.mDataCentre);
    if (dataCentre && dataCentre->mOwnership.Holds()) {
      OnAwaitRequest(aNotice, aWait, std::move(aDone));
    } else if (auto owner = OwnerOf(aNotice.mDataCentre)) {
      mContext.mPorts.AwaitRequest(*owner, aNotice, aWait, std::move(aDone));
    } else {
      aDone(NotOwner("await request", aNotice.mDataCentre));
    }
  }

  typename RecordedRequests<P>::Callbacks MakeCallbacks()
  {
    return { [this](const CallerRequest& aRequest) {
              return ChooseDataCentre(aRequest.mAccount, aRequest.mKind, {});
            },
             [this](const platform::RequestNotice& aNotice) {
               Notify(aNotice);
             },
             [this](const platform::RequestNotice& aNotice,
                    base::Duration aWait,
                    platform::Done<platform::RequestProgress> aDone) {
               AwaitAtOwner(aNotice, aWait, std::move(aDone));
             } };
  }

  // Chooses the data centre for a recorded request. Data centres without usable
  // servers come last. Among the others, those with a guarantee of the account
  // for the kind's size come first, then the nearer ones; ties are broken at
  // random.
  std::optional<base::DataCentreId> ChooseDataCentre(
    const base::AccountId& aAccount,
    const base::KindId& aKind,
    const base::DataCentreId& aExcluded)
  {
    const config::JobKind* kind =
      mContext.mConfig ? mContext.mConfig->Kind(aKind) : nullptr;
    std::optional<std::tuple<bool, bool, int, std::uint64_t>> best;
    std::optional<base::DataCentreId> chosen;
    for (auto& [name, dataCentre] : mManagedDataCentres) {
      if (name == aExcluded ||
          dataCentre->mOwnership.State().IsOutOfService() ||
          !mContext.mConfig->FindDataCentre(name)) {
        continue;
      }
      std::tuple order(mContext.mMembers.UsableServers(name).empty(),
                       !HasGuarantee(aAccount, kind, name),
                       mContext.Distance(name),
                       mContext.mPorts.Random());
      if (!best || order < *best) {
        best = order;
        chosen = name;
      }
    }
    return chosen;
  }

  bool HasGuarantee(const base::AccountId& aAccount,
                    const config::JobKind* aKind,
                    const base::DataCentreId& aDataCentre) const
  {
    if (!aKind || aKind->Accelerators() == 0) {
      return false;
    }
    for (const config::DataCentreGuarantee& assigned :
         mContext.mConfig->mAssignments) {
      if (assigned.mDataCentre == aDataCentre &&
          assigned.mGuarantee.mAccount == aAccount &&
          assigned.mGuarantee.mShape >= aKind->Accelerators()) {
        return true;
      }
    }
    return false;
  }

  // --- Shutdown ----------------------------------------------------------

  void StepShutdown()
  {
    for (auto& [name, dataCentre] : mManagedDataCentres) {
      if (dataCentre->mOwnership.IsOwner() &&
          dataCentre->mJobs.HasNothingInFlight() && !dataCentre->mReleasing) {
        dataCentre->mReleasing = true;
        dataCentre->mOwnership.Release(
          SuccessorFor(name),
          [managed = dataCentre.get()] { managed->mReleasing = false; });
      }
    }
    if (IsShutdownComplete() && mOnShutdownDone) {
      std::exchange(mOnShutdownDone, nullptr)();
    }
  }

  bool IsShutdownComplete()
  {
    for (auto& [name, dataCentre] : mManagedDataCentres) {
      if (dataCentre->mOwnership.IsOwner() || dataCentre->mReleasing) {
        return false;
      }
    }
    return InProgress() == 0 || !mContext.mOptions.mMechanisms.mGracefulStop;
  }

  // Returns the eligible instance that would take over first, or an empty id.
  base::InstanceId SuccessorFor(const base::DataCentreId& aDataCentre) const
  {
    const config::DataCentre* dataCentre =
      mContext.mConfig->FindDataCentre(aDataCentre);
    base::RegionId region = dataCentre ? dataCentre->mRegion : base::RegionId();
    for (const platform::Member& peer : mContext.mMembers.Instances()) {
      base::InstanceId id(peer.mId);
      auto takeoverRank =
        mContext.mMembers.TakeoverRankOf(id, aDataCentre, region);
      if (takeoverRank.mEligible && takeoverRank.mRank == 0) {
        return id;
      }
    }
    return {};
  }

  Context<P> mContext;
  RecordStore<P> mStore;
  ConfigManager<P> mConfig;
  std::map<base::DataCentreId, std::unique_ptr<ManagedDataCentre<P>>>
    mManagedDataCentres;
  UnrecordedRequests<P, Routing> mUnrecorded;
  RecordedRequests<P> mRecorded;
  DataCentreOperations<P> mOperations;
  report::BurnCounter mBurn;
  base::Time mNextCreditsAt{};
  std::function<void()> mOnShutdownDone;
};

} // namespace flamingoloom::control
