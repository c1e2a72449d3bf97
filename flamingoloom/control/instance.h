// One instance of flamingoloom: composes ownership, jobs, small requests and
// configuration over its ports.
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
    , mRecorded(mContext, mStore, MakeLinks())
    , mChanges(mContext, mManagedDataCentres)
    , mBurn(mContext.Now())
  {
  }
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  // Begins to follow the platform and the peers. Call once.
  void Start()
  {
    ListMembers();
    Watch();
    Tick();
  }

  // --- Callers -----------------------------------------------------------

  // Errors: eShuttingDown, eUnavailable without a configuration, eInvalid with
  // the field at fault, eConflict for a key that was used with another body.
  void Submit(const CallerRequest& aRequest, AnswerDone aDone)
  {
    if (auto error = CheckRequest(aRequest)) {
      aDone(tl::unexpected(*error));
      return;
    }
    const config::JobKind& kind = *mContext.mConfig->Kind(aRequest.mKind);
    aDone = CountEnd(aRequest, kind, std::move(aDone));
    if (NeedsRecord(kind)) {
      mRecorded.Submit(aRequest, std::move(aDone));
    } else {
      mUnrecorded.Submit(aRequest, kind, std::move(aDone));
    }
  }

  // The state of a recorded request; waits up to aWait for its end.
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
    mChanges.Change(aChange, std::move(aDone));
  }

  void DataCentres(platform::Done<std::vector<DataCentreView>> aDone)
  {
    mChanges.List(std::move(aDone));
  }

  void PutConfiguration(std::uint64_t aExpectedVersion,
                        config::Configuration aConfiguration,
                        ConfigDone aDone)
  {
    mConfig.Put(aExpectedVersion, std::move(aConfiguration), std::move(aDone));
  }

  // Planned stop: takes no new requests, hands over what it owns, finishes
  // what is in progress, then calls aDone.
  void Shutdown(std::function<void()> aDone)
  {
    mContext.mLeaving = true;
    mContext.Log({ "leaving", {} });
    mContext.mMembers.MarkDraining(mContext.mIdentity.mId.Value());
    mContext.AnnounceLeaving(mContext.mIdentity.mId.Value());
    mOnLeft = std::move(aDone);
  }

  // All accepted versions, oldest first, as far as the store can be read.
  void ConfigHistory(platform::Done<std::vector<ConfigRow>> aDone)
  {
    mConfig.History(std::move(aDone));
  }

  std::uint64_t ConfigVersion() const { return mConfig.Version(); }
  const std::string& ConfigDocument() const { return mConfig.Document(); }

  // Has a configuration and a member list and is not leaving.
  bool IsReady() const
  {
    return mContext.mConfig && mContext.mMembers.HasList() &&
           !mContext.mLeaving;
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
    ManagedDataCentre<P>* centre = FindManagedDataCentre(aRequest.mDataCentre);
    if (!centre || !centre->mJobs.IsLoaded()) {
      aDone(NotOwner("grant credits", aRequest.mDataCentre));
      return;
    }
    aDone(centre->mOwnership.GrantCredits(aRequest));
  }

  void OnNotifyRequest(const platform::RequestNotice& aNotice,
                       platform::Done<platform::Nothing> aDone)
  {
    ManagedDataCentre<P>* centre = FindManagedDataCentre(aNotice.mDataCentre);
    if (!centre || !centre->mOwnership.Holds()) {
      aDone(NotOwner("take request", aNotice.mDataCentre));
      return;
    }
    if (aNotice.mCancel) {
      centre->mJobs.CancelRequest(aNotice.mRequest);
    } else {
      centre->mJobs.Notice(aNotice.mRequest);
    }
    aDone(platform::Nothing{});
  }

  void OnAwaitRequest(const platform::RequestNotice& aNotice,
                      base::Duration aWait,
                      platform::Done<platform::RequestProgress> aDone)
  {
    ManagedDataCentre<P>* centre = FindManagedDataCentre(aNotice.mDataCentre);
    if (!centre || !centre->mOwnership.Holds()) {
      aDone(NotOwner("await request", aNotice.mDataCentre));
      return;
    }
    centre->mJobs.Await(aNotice.mRequest, aWait, std::move(aDone));
  }

  void OnNotifyDataCentre(const platform::DataCentreNotice& aNotice,
                          platform::Done<platform::DataCentreStatus> aDone)
  {
    ManagedDataCentre<P>* centre = FindManagedDataCentre(aNotice.mDataCentre);
    if (!centre || !centre->mOwnership.Holds()) {
      aDone(NotOwner("take out", aNotice.mDataCentre));
      return;
    }
    if (centre->mOwnership.State().DataCentreVersion() < aNotice.mRowVersion) {
      centre->mOwnership.Read();
    }
    aDone(centre->mOwnership.Status());
  }

  void OnRequestPromise(const platform::PromiseRequest&,
                        platform::Done<platform::Nothing> aDone)
  {
    aDone(base::MakeError(base::ErrorCode::eDenied,
                          "promise",
                          mContext.mIdentity.mId.Value(),
                          "promises are not in use"));
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

  // The topic "config" gives the document in force, "burn" what this instance
  // counted for the burn report.
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

  // What this instance counted for the burn report.
  report::InstanceBurn Burn()
  {
    base::Time now = mContext.Now();
    return { mBurn.Counts(now), mBurn.CountingFor(now) };
  }

private:
  // Counts the end of a request before the caller gets the answer.
  AnswerDone CountEnd(const CallerRequest& aRequest,
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
    auto fail = [](base::ErrorCode aCode,
                   const char* aMessage,
                   const char* aField) {
      return base::Error{ aCode, "accept request", "caller", aMessage, aField };
    };
    if (mContext.mLeaving) {
      return fail(
        base::ErrorCode::eShuttingDown, "the instance is leaving", "");
    }
    if (!mContext.mConfig) {
      return fail(
        base::ErrorCode::eUnavailable, "there is no configuration yet", "");
    }
    if (!mContext.mConfig->Account(aRequest.mAccount)) {
      return fail(
        base::ErrorCode::eInvalid, "unknown client account", "/account");
    }
    const config::JobKind* kind = mContext.mConfig->Kind(aRequest.mKind);
    if (!kind) {
      return fail(base::ErrorCode::eInvalid, "unknown job kind", "/kind");
    }
    if (NeedsRecord(*kind) && aRequest.mKey.empty()) {
      return fail(base::ErrorCode::eInvalid,
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

  // --- Following ---------------------------------------------------------

  void OnConfigChange()
  {
    for (const config::DataCentre& centre : mContext.mConfig->mDataCentres) {
      if (!mManagedDataCentres.contains(centre.mId)) {
        auto owned =
          std::make_unique<ManagedDataCentre<P>>(mContext, mStore, centre.mId);
        owned->mJobs.SetMover(
          [this, from = centre.mId](const ledger::Record& aRecord) {
            return ChooseDataCentre(
              aRecord.mRequest.mAccount, aRecord.mKind, from);
          },
          [this](const base::RequestId& aRequest,
                 const base::DataCentreId& aTo) {
            Notify({ aTo, aRequest, false });
          });
        mManagedDataCentres[centre.mId] = std::move(owned);
      }
    }
    for (auto& [name, centre] : mManagedDataCentres) {
      centre->mJobs.OnConfigChange();
    }
  }

  void ListMembers()
  {
    mContext.mPorts.ListMembers(
      [this](const base::Expected<platform::MemberList>& aList) {
        // Without an answer the last list is kept.
        if (aList) {
          mContext.mMembers.Update(*aList);
        }
      });
    mContext.mPorts.After(mContext.mOptions.mMembersEvery,
                          [this] { ListMembers(); });
  }

  // Reads in one call all rows that every instance follows.
  void Watch()
  {
    std::vector<std::string> keys{ kConfigKey };
    for (const auto& [name, centre] : mManagedDataCentres) {
      keys.push_back(ownership::LeaseKey(name));
      keys.push_back(ownership::DataCentreKey(name));
    }
    mContext.mPorts.Read(
      keys, [this](const base::Expected<std::vector<platform::Row>>& aRows) {
        if (aRows) {
          OnWatched(*aRows);
        } else {
          ++mContext.mCounters.mStoreFailures;
          mConfig.AskPeers();
        }
      });
    mConfig.AnnounceToOne();
    mContext.mPorts.After(mContext.mOptions.mWatchEvery, [this] { Watch(); });
  }

  void OnWatched(const std::vector<platform::Row>& aRows)
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
    for (auto& [name, centre] : mManagedDataCentres) {
      centre->mOwnership.Observe(find(ownership::LeaseKey(name)),
                                 find(ownership::DataCentreKey(name)));
    }
  }

  void Tick()
  {
    for (auto& [name, centre] : mManagedDataCentres) {
      centre->mOwnership.Step();
      centre->mJobs.Step();
    }
    mUnrecorded.Step();
    // Waiting requests have at most a few hundred milliseconds left, so they
    // do not wait for the next regular time.
    if (mContext.Now() >= mNextCredits || mUnrecorded.IsStarved()) {
      mNextCredits = mContext.Now() + mContext.mOptions.mCreditEvery;
      AskForCredits();
    }
    if (mContext.mLeaving) {
      StepLeaving();
    }
    mContext.mPorts.After(mContext.mOptions.mTickEvery, [this] { Tick(); });
  }

  // --- Credits -----------------------------------------------------------

  void AskForCredits()
  {
    bool near = mUnrecorded.HasNearCredits();
    for (auto& [name, centre] : mManagedDataCentres) {
      // The slow link carries credits only when there are none nearer.
      if (mContext.Distance(name) == 2 && near) {
        continue;
      }
      AskForCredits(*centre);
    }
  }

  void AskForCredits(ManagedDataCentre<P>& aCentre)
  {
    platform::CreditRequest request{ mContext.mIdentity.mId,
                                     aCentre.mOwnership.Name(),
                                     mUnrecorded.Wanted() };
    base::Time askedAt = mContext.Now();
    auto put = [this,
                askedAt](const base::Expected<platform::CreditGrant>& aGrant) {
      if (aGrant) {
        mUnrecorded.Put(*aGrant, askedAt);
      }
    };
    if (aCentre.mOwnership.Holds()) {
      OnRequestCredits(request, put);
    } else if (auto owner = OwnerOf(aCentre.mOwnership.Name())) {
      mContext.mPorts.RequestCredits(*owner, request, put);
    }
  }

  // --- Owners ------------------------------------------------------------

  // The last known owner of a data centre, if it is another instance.
  std::optional<platform::PeerAddress> OwnerOf(
    const base::DataCentreId& aDataCentre) const
  {
    ManagedDataCentre<P>* centre = FindManagedDataCentre(aDataCentre);
    return centre ? centre->Owner(mContext.mIdentity.mId) : std::nullopt;
  }

  void Notify(const platform::RequestNotice& aNotice)
  {
    ManagedDataCentre<P>* centre = FindManagedDataCentre(aNotice.mDataCentre);
    if (centre && centre->mOwnership.Holds()) {
      OnNotifyRequest(aNotice, [](const auto&) {});
    } else if (auto owner = OwnerOf(aNotice.mDataCentre)) {
      mContext.mPorts.NotifyRequest(*owner, aNotice, [](const auto&) {});
    }
  }

  void AwaitAtOwner(const platform::RequestNotice& aNotice,
                    base::Duration aWait,
                    platform::Done<platform::RequestProgress> aDone)
  {
    ManagedDataCentre<P>* centre = FindManagedDataCentre(aNotice.mDataCentre);
    if (centre && centre->mOwnership.Holds()) {
      OnAwaitRequest(aNotice, aWait, std::move(aDone));
    } else if (auto owner = OwnerOf(aNotice.mDataCentre)) {
      mContext.mPorts.AwaitRequest(*owner, aNotice, aWait, std::move(aDone));
    } else {
      aDone(NotOwner("await request", aNotice.mDataCentre));
    }
  }

  typename RecordedRequests<P>::Links MakeLinks()
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

  // The data centre for a recorded request: those without usable servers go
  // last, those where the account has a guarantee of the kind's size first,
  // then the near ones, then chance.
  std::optional<base::DataCentreId> ChooseDataCentre(
    const base::AccountId& aAccount,
    const base::KindId& aKind,
    const base::DataCentreId& aNot)
  {
    const config::JobKind* kind =
      mContext.mConfig ? mContext.mConfig->Kind(aKind) : nullptr;
    std::optional<std::tuple<bool, bool, int, std::uint64_t>> best;
    std::optional<base::DataCentreId> chosen;
    for (auto& [name, centre] : mManagedDataCentres) {
      if (name == aNot || centre->mOwnership.State().IsOutOfService() ||
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

  // --- Leaving -----------------------------------------------------------

  void StepLeaving()
  {
    for (auto& [name, centre] : mManagedDataCentres) {
      if (centre->mOwnership.IsOwner() && centre->mJobs.IsQuiet() &&
          !centre->mReleasing) {
        centre->mReleasing = true;
        centre->mOwnership.Release(SuccessorFor(name), [owned = centre.get()] {
          owned->mReleasing = false;
        });
      }
    }
    if (HasLeft() && mOnLeft) {
      std::exchange(mOnLeft, nullptr)();
    }
  }

  bool HasLeft()
  {
    for (auto& [name, centre] : mManagedDataCentres) {
      if (centre->mOwnership.IsOwner() || centre->mReleasing) {
        return false;
      }
    }
    return InProgress() == 0 || !mContext.mOptions.mMechanisms.mGracefulStop;
  }

  // The live instance that would take over first.
  base::InstanceId SuccessorFor(const base::DataCentreId& aDataCentre) const
  {
    const config::DataCentre* centre =
      mContext.mConfig->FindDataCentre(aDataCentre);
    base::RegionId region = centre ? centre->mRegion : base::RegionId();
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
  DataCentreOperations<P> mChanges;
  report::BurnCounter mBurn;
  base::Time mNextCredits{};
  std::function<void()> mOnLeft;
};

} // namespace flamingoloom::control
