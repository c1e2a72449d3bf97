#include "testing/scenario/runner.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "testing/fakes/simulated_cluster.h"
#include "testing/scenario/deployment.h"

namespace flamingoloom::testing::scenario {

using namespace std::chrono_literals;
using base::DataCentreId;
using base::Duration;
using base::ErrorCode;
using base::RequestId;
using base::Time;
using control::CallerAnswer;
using control::DataCentreState;
using control::RequestState;
using fakes::Event;
using fakes::EventKind;
using fakes::InstanceProcess;

namespace {

constexpr Duration kSampleInterval = 50ms;
constexpr Duration kFirstConfigurationDelay = 1500ms;
constexpr Duration kOperatorRetryDelay = 500ms;
constexpr Duration kCallerRetryDelay = 1s;
// A caller closes its connection this long after the wait that it requested.
constexpr Duration kCallerTimeoutMargin = 3s;
constexpr Duration kOperatorTimeout = 5s;

enum class CallKind
{
  eSubmit,
  eAwait,
  eCancel,
};

// A caller with one request.
struct Caller
{
  control::CallerRequest mRequest;
  std::string mInstance;
  std::optional<Duration> mStartsWithin;
  bool mDurable = true;
  bool mEnded = false;
  Duration mLatency{};

  RequestId Id() const { return { mRequest.mAccount, mRequest.mKey }; }
};

struct OpenCall
{
  InstanceProcess* mProcess = nullptr;
  std::shared_ptr<Caller> mCaller;
  CallKind mKind = CallKind::eSubmit;
};

struct Change
{
  std::uint64_t mChangeNumber = 0;
  control::DataCentreChange mValue;
  std::string mInstance;
  // Incremented by each call and each response, to detect outdated timers and
  // responses.
  int mSequence = 0;
  bool mAccepted = false;
  bool mAcknowledged = false;
  bool mEnded = false;
};

class Runner
{
public:
  Runner(const Script& aScript, const RunOptions& aOptions)
    : mScript(aScript)
    , mOptions(aOptions)
    , mConfiguration(StandardConfiguration())
    , mCluster(MakeSimulationOptions())
    , mClock(mCluster.Clock())
  {
  }

  RunResult Run()
  {
    mCluster.Log().mKinds = mConfiguration.mKinds;
    for (const std::string& name : StandardServers()) {
      mCluster.AddServer(name);
    }
    for (const std::string& name : StandardInstances()) {
      mCluster.StartInstance(name);
    }
    mClock.After(kFirstConfigurationDelay, [this] { PutConfiguration("a1"); });
    SampleInstances();
    Time end;
    for (const Action& action : mScript.mActions) {
      end = Time(action.mAt);
      mClock.At(end, [this, &action] { Apply(action); });
    }
    mClock.RunUntil(end);
    Event ended;
    ended.mKind = EventKind::eRunEnded;
    mCluster.Record(std::move(ended));
    RunResult result;
    result.mSeed = mOptions.mSeed;
    result.mViolations = fakes::Check(mCluster.Log(), mOptions.mLimits);
    result.mHistory = std::move(mCluster.Log());
    result.mEventsRun = mClock.EventsRun();
    result.mCrossRegionBytes = mCluster.CrossRegionBytes();
    return result;
  }

private:
  fakes::SimulationOptions MakeSimulationOptions() const
  {
    fakes::SimulationOptions options;
    options.mSeed = mOptions.mSeed;
    options.mDataCentres = mConfiguration.mDataCentres;
    options.mFactory = mOptions.mFactory;
    options.mRunTime = StandardRunTime(mOptions.mSeed);
    return options;
  }

  void Apply(const Action& aAction)
  {
    using Handler = void (Runner::*)(const Action&);
    static const std::map<std::string, Handler> sHandlers{
      { "kill", &Runner::Kill },
      { "start", &Runner::Start },
      { "freeze", &Runner::Freeze },
      { "thaw", &Runner::Thaw },
      { "cut", &Runner::PartitionNetwork },
      { "heal", &Runner::HealPartition },
      { "store", &Runner::Store },
      { "take-out", &Runner::ChangeDataCentre },
      { "bring-back", &Runner::ChangeDataCentre },
      { "submit", &Runner::Submit },
      { "cancel", &Runner::Cancel },
      { "stop", &Runner::Stop },
      { "leave-server", &Runner::ChangeServer },
      { "kill-server", &Runner::ChangeServer },
      { "start-server", &Runner::ChangeServer },
      { "break-server", &Runner::ChangeServer },
      { "repair-server", &Runner::ChangeServer },
      { "mix-answers", &Runner::ChangeServer },
      { "put-config", &Runner::PutNewConfiguration },
      { "expect", &Runner::Expect },
    };
    auto handler = sHandlers.find(aAction.mVerb);
    if (handler == sHandlers.end()) {
      return;
    }
    Action action = aAction;
    for (std::string& name : action.mNames) {
      name = Resolve(name);
    }
    for (std::string& name : action.mRepeatedAt) {
      name = Resolve(name);
    }
    action.mInstance = Resolve(action.mInstance);
    CheckNames(action);
    (this->*handler->second)(action);
  }

  // Fails an expectation if a name of the action does not exist. Otherwise a
  // script with a misspelled name would pass without its fault.
  void CheckNames(const Action& aAction)
  {
    static const std::set<std::string> sOnInstances{
      "kill", "freeze", "thaw", "stop"
    };
    static const std::set<std::string> sOnServers{ "leave-server",
                                                   "kill-server",
                                                   "break-server",
                                                   "repair-server",
                                                   "mix-answers" };
    auto require = [&](bool aHolds, const std::string& aName) {
      if (!aHolds) {
        FailExpectation(
          fmt::format("\"{} {}\" has an effect", aAction.mVerb, aName));
      }
    };
    auto isMember = [&](const std::string& aName) {
      return mCluster.FindInstance(aName) != nullptr ||
             mCluster.FindServer(aName) != nullptr;
    };
    std::vector<std::string> members = aAction.mRepeatedAt;
    if (!aAction.mInstance.empty()) {
      members.push_back(aAction.mInstance);
    }
    if (sOnInstances.contains(aAction.mVerb)) {
      members.push_back(aAction.mNames[0]);
    }
    for (const std::string& name : members) {
      require(mCluster.FindInstance(name) != nullptr, name);
    }
    if (sOnServers.contains(aAction.mVerb)) {
      require(mCluster.FindServer(aAction.mNames[0]) != nullptr,
              aAction.mNames[0]);
    } else if (aAction.mVerb == "start" || aAction.mVerb == "start-server") {
      require(!isMember(aAction.mNames[0]), aAction.mNames[0]);
    } else if (aAction.mVerb == "cut" || aAction.mVerb == "heal") {
      for (const std::string& name : aAction.mNames) {
        require(isMember(name) || name == "store" || IsRegion(name), name);
      }
    } else if (aAction.mVerb == "store") {
      static const std::set<std::string> sModes{
        "up", "down", "slow", "loses-answers"
      };
      require(sModes.contains(aAction.mNames[0]), aAction.mNames[0]);
    }
  }

  bool IsRegion(const std::string& aName) const
  {
    return std::ranges::any_of(mConfiguration.mDataCentres,
                               [&](const config::DataCentre& aEntry) {
                                 return aEntry.mRegion.Value() == aName;
                               });
  }

  // Replaces "owner:a" and "other:a" by the name of an instance; see script.h.
  std::string Resolve(const std::string& aName)
  {
    if (!aName.starts_with("owner:") && !aName.starts_with("other:")) {
      return aName;
    }
    std::string dataCentre = aName.substr(aName.find(':') + 1);
    std::string& owner = mOwners[dataCentre];
    if (owner.empty()) {
      owner = OwnerOf(dataCentre);
    }
    std::string first = dataCentre + "1";
    return aName.starts_with("owner:") ? owner
           : owner == first            ? dataCentre + "2"
                                       : first;
  }

  // Returns the instance whose quoted name is in the lease row. Without such a
  // row, as with the dummy instance, it is the first instance.
  std::string OwnerOf(const std::string& aDataCentre)
  {
    auto rows = mCluster.Store().Read({ "lease/" + aDataCentre });
    for (const auto& [name, process] : mCluster.Instances()) {
      if (!rows.empty() &&
          rows[0].mValue.find('"' + name + '"') != std::string::npos) {
        return name;
      }
    }
    if (!rows.empty()) {
      FailExpectation("lease/" + aDataCentre + " names no instance");
    }
    return aDataCentre + "1";
  }

  // --- Faults ----------------------------------------------------------------

  void Kill(const Action& aAction)
  {
    if (aAction.mCount > 0) {
      mCluster.KillAtMessage(aAction.mNames[0], aAction.mCount);
    } else {
      mCluster.Kill(aAction.mNames[0]);
    }
  }
  void Start(const Action& aAction)
  {
    mCluster.StartInstance(aAction.mNames[0]);
  }
  void Freeze(const Action& aAction)
  {
    if (aAction.mFlag) {
      mCluster.FreezeAtStart(aAction.mNames[0]);
    } else {
      mCluster.Freeze(aAction.mNames[0]);
    }
  }
  void Thaw(const Action& aAction) { mCluster.Thaw(aAction.mNames[0]); }
  void PartitionNetwork(const Action& aAction)
  {
    mCluster.PartitionNetwork(aAction.mNames[0], aAction.mNames[1]);
  }
  void HealPartition(const Action& aAction)
  {
    if (aAction.mNames.size() == 2) {
      mCluster.HealPartition(aAction.mNames[0], aAction.mNames[1]);
    } else {
      mCluster.HealAll();
    }
  }
  void Store(const Action& aAction)
  {
    const std::string& mode = aAction.mNames[0];
    mCluster.SetStore(mode == "down"   ? fakes::StoreMode::eDown
                      : mode == "slow" ? fakes::StoreMode::eSlow
                      : mode == "loses-answers"
                        ? fakes::StoreMode::eLosesAnswers
                        : fakes::StoreMode::eUp,
                      aAction.mProbability);
  }
  void Stop(const Action& aAction) { mCluster.StopInstance(aAction.mNames[0]); }
  void ChangeServer(const Action& aAction)
  {
    const std::string& name = aAction.mNames[0];
    if (aAction.mVerb == "leave-server") {
      mCluster.DrainBackendServer(name, !aAction.mFlag);
    } else if (aAction.mVerb == "kill-server") {
      mCluster.KillServer(name);
    } else if (aAction.mVerb == "start-server") {
      mCluster.AddServer(name);
    } else if (aAction.mVerb == "mix-answers") {
      mCluster.MisrouteAnswers(name, aAction.mProbability);
    } else {
      mCluster.SetServerFaulty(name, aAction.mVerb == "break-server");
    }
  }

  // --- Callers ---------------------------------------------------------------

  // Returns the named instance if it is live. Otherwise chooses, like a load
  // balancer, any instance that is live and not listed as draining. Returns
  // null if there is none.
  InstanceProcess* ChooseInstance(const std::string& aName)
  {
    InstanceProcess* named = mCluster.FindInstance(aName);
    if (named != nullptr && named->mAlive) {
      return named;
    }
    std::vector<InstanceProcess*> live;
    for (const auto& [name, process] : mCluster.Instances()) {
      if (process->mAlive && process->mDrainingFrom > mClock.Now()) {
        live.push_back(process.get());
      }
    }
    return live.empty() ? nullptr : live[mClock.Random() % live.size()];
  }

  void Submit(const Action& aAction)
  {
    Caller caller;
    caller.mRequest.mAccount = base::AccountId(aAction.mAccount);
    caller.mRequest.mKind = base::KindId(aAction.mNames[0]);
    caller.mRequest.mKey = aAction.mKey;
    caller.mRequest.mPayload = aAction.mPayload;
    caller.mRequest.mWait = aAction.mWait;
    caller.mStartsWithin = aAction.mStartsWithin;
    caller.mInstance = aAction.mInstance;
    caller.mLatency = aAction.mAccount == "paper" ? 1ms : 3ms;
    const config::JobKind* kind = mConfiguration.Kind(caller.mRequest.mKind);
    caller.mDurable = kind == nullptr || kind->mDurable;
    Send(std::make_shared<Caller>(caller), CallKind::eSubmit);
    mCallers.emplace(caller.Id(), caller);
    for (const std::string& instance : aAction.mRepeatedAt) {
      caller.mInstance = instance;
      Send(std::make_shared<Caller>(caller), CallKind::eSubmit);
    }
  }

  void Cancel(const Action& aAction)
  {
    const std::string& name = aAction.mNames[0];
    std::size_t slash = name.find('/');
    RequestId id{ base::AccountId(name.substr(0, slash)),
                  name.substr(std::min(slash, name.size() - 1) + 1) };
    auto known = mCallers.find(id);
    if (known == mCallers.end()) {
      return;
    }
    Event event;
    event.mKind = EventKind::eCancelRequested;
    event.mRequest = id;
    mCluster.Record(std::move(event));
    auto caller = std::make_shared<Caller>(known->second);
    caller->mInstance = aAction.mInstance;
    caller->mStartsWithin.reset();
    Send(std::move(caller), CallKind::eCancel);
  }

  void RetryLater(std::shared_ptr<Caller> aCaller, CallKind aKind)
  {
    // The retry may go to another instance than the failed call.
    aCaller->mInstance.clear();
    mClock.After(mClock.Between(kCallerRetryDelay / 2, kCallerRetryDelay),
                 [this, aCaller, aKind] { Send(aCaller, aKind); });
  }

  void Send(std::shared_ptr<Caller> aCaller, CallKind aKind)
  {
    if (aCaller->mEnded) {
      return;
    }
    InstanceProcess* process = ChooseInstance(aCaller->mInstance);
    if (process == nullptr) {
      RetryLater(std::move(aCaller), aKind);
      return;
    }
    mClock.After(aCaller->mLatency, [this, aCaller, aKind, process] {
      DeliverCall(aCaller, aKind, *process);
    });
  }

  void DeliverCall(const std::shared_ptr<Caller>& aCaller,
                   CallKind aKind,
                   InstanceProcess& aProcess)
  {
    if (!aProcess.mAlive) {
      RetryLater(aCaller, aKind);
      return;
    }
    std::uint64_t call = ++mLastNumber;
    mOpenCalls[call] = { &aProcess, aCaller, aKind };
    Event event = CallEvent(EventKind::eSubmitted, call);
    event.mPayload = aCaller->mRequest.mPayload;
    event.mBound = std::exchange(aCaller->mStartsWithin, std::nullopt);
    mCluster.Record(std::move(event));
    control::AnswerDone done = [this, call, &aProcess, count = 0](
                                 base::Expected<CallerAnswer> aAnswer) mutable {
      if (aProcess.mAlive) {
        if (++count > 1) {
          FailExpectation(fmt::format("call {} is answered once", call));
        }
        OnAnswer(call, aAnswer);
      }
    };
    mCluster.DeliverTo(aProcess, [&aProcess, aCaller, aKind, done] {
      fakes::InstanceApi& instance = *aProcess.mInstance;
      switch (aKind) {
        case CallKind::eSubmit:
          instance.Submit(aCaller->mRequest, done);
          break;
        case CallKind::eAwait:
          instance.Await(aCaller->Id(), aCaller->mRequest.mWait, done);
          break;
        case CallKind::eCancel:
          instance.Cancel(aCaller->Id(), done);
          break;
      }
    });
    mClock.After(aCaller->mRequest.mWait + kCallerTimeoutMargin,
                 [this, call] { Disconnect(call); });
  }

  // Ends a call whose caller lost or closed its connection.
  void Disconnect(std::uint64_t aCall)
  {
    auto open = mOpenCalls.find(aCall);
    if (open == mOpenCalls.end()) {
      return;
    }
    mCluster.Record(CallEvent(EventKind::eCallerDisconnected, aCall));
    OpenCall call = open->second;
    mOpenCalls.erase(open);
    if (call.mCaller->mDurable && call.mKind != CallKind::eCancel) {
      RetryLater(call.mCaller, CallKind::eSubmit);
    }
  }

  Event CallEvent(EventKind aKind, std::uint64_t aCall)
  {
    const OpenCall& call = mOpenCalls[aCall];
    Event event;
    event.mKind = aKind;
    event.mCall = aCall;
    event.mRequest = call.mCaller->Id();
    event.mJobKind = call.mCaller->mRequest.mKind;
    event.mInstance = call.mProcess->mEndpoint.mName;
    return event;
  }

  void OnAnswer(std::uint64_t aCall,
                const base::Expected<CallerAnswer>& aAnswer)
  {
    auto open = mOpenCalls.find(aCall);
    if (open == mOpenCalls.end()) {
      return;
    }
    OpenCall call = open->second;
    Caller& caller = *call.mCaller;
    if (!aAnswer) {
      OnError(aCall, call, aAnswer.error());
      return;
    }
    Event event = CallEvent(EventKind::eAnswered, aCall);
    event.mState = aAnswer->mState;
    event.mRan = aAnswer->mRan;
    event.mAttempt = aAnswer->mAttempt;
    event.mAnswer = aAnswer->mAnswer;
    event.mAnswerSha256 = aAnswer->mAnswerSha256;
    event.mDetail = aAnswer->mReason;
    mCluster.Record(std::move(event));
    mOpenCalls.erase(open);
    mReportedStates[caller.Id()] =
      std::string(RequestStateName(aAnswer->mState));
    if (!caller.mDurable || call.mKind == CallKind::eCancel) {
      return;
    }
    if (aAnswer->mState == RequestState::ePending) {
      // Half of the callers send the next call to another instance.
      if (mClock.Chance(0.5)) {
        caller.mInstance.clear();
      }
      Send(call.mCaller, CallKind::eAwait);
    } else if (aAnswer->mState == RequestState::eUnknown) {
      RetryLater(call.mCaller, CallKind::eSubmit);
    } else {
      caller.mEnded = true;
    }
  }

  void OnError(std::uint64_t aCall,
               const OpenCall& aOpen,
               const base::Error& aError)
  {
    bool rejected = aError.mCode == ErrorCode::eInvalid ||
                    aError.mCode == ErrorCode::eDenied ||
                    aError.mCode == ErrorCode::eConflict;
    bool notFound = aError.mCode == ErrorCode::eNotFound;
    Event event =
      CallEvent(rejected || notFound ? EventKind::eCallerDisconnected
                                     : EventKind::eCallFailed,
                aCall);
    event.mDetail = aError.ToString();
    mCluster.Record(std::move(event));
    OpenCall call = aOpen;
    mOpenCalls.erase(aCall);
    if (rejected) {
      mRejected[call.mCaller->Id()].insert(
        std::string(ErrorCodeName(aError.mCode)));
    } else if (call.mCaller->mDurable && call.mKind != CallKind::eCancel) {
      RetryLater(call.mCaller, CallKind::eSubmit);
    }
  }

  // --- Operators -------------------------------------------------------------

  void ChangeDataCentre(const Action& aAction)
  {
    auto change = std::make_shared<Change>();
    change->mChangeNumber = ++mLastNumber;
    change->mValue.mDataCentre = DataCentreId(aAction.mNames[0]);
    change->mValue.mState = aAction.mVerb == "take-out"
                              ? DataCentreState::eOutOfService
                              : DataCentreState::eInService;
    change->mValue.mOperator = aAction.mOperator;
    change->mValue.mExpectedVersion = RowVersion(*change);
    change->mInstance = aAction.mInstance;
    for (auto& earlier : mChanges) {
      // The opposite change ends the retries of the earlier change.
      if (earlier->mValue.mDataCentre == change->mValue.mDataCentre &&
          earlier->mValue.mState != change->mValue.mState) {
        earlier->mEnded = true;
      }
    }
    mChanges.push_back(change);
    RecordChange(*change,
                 change->mValue.mState == DataCentreState::eOutOfService
                   ? EventKind::eTakeOutRequested
                   : EventKind::eBringBackRequested);
    SendChange(change);
  }

  std::uint64_t RowVersion(const Change& aChange)
  {
    return mCluster.Store().VersionOf("datacentre/" +
                                      aChange.mValue.mDataCentre.Value());
  }

  void RecordChange(const Change& aChange, EventKind aKind)
  {
    Event event;
    event.mKind = aKind;
    event.mCall = aChange.mChangeNumber;
    event.mDataCentre = aChange.mValue.mDataCentre;
    event.mDetail = aChange.mValue.mOperator;
    mCluster.Record(std::move(event));
  }

  void SendChange(const std::shared_ptr<Change>& aChange)
  {
    InstanceProcess* process = ChooseInstance(aChange->mInstance);
    if (aChange->mEnded || process == nullptr) {
      return;
    }
    int sequence = ++aChange->mSequence;
    mCluster.DeliverTo(*process, [this, process, aChange, sequence] {
      process->mInstance->ChangeDataCentre(
        aChange->mValue,
        [this, process, aChange, sequence](
          base::Expected<control::DataCentreView> aView) {
          if (process->mAlive && sequence == aChange->mSequence) {
            OnChange(aChange, aView);
          }
        });
    });
    mClock.After(kOperatorTimeout, [this, aChange, sequence] {
      if (sequence == aChange->mSequence) {
        aChange->mInstance.clear();
        SendChange(aChange);
      }
    });
  }

  void OnChange(const std::shared_ptr<Change>& aChange,
                const base::Expected<control::DataCentreView>& aView)
  {
    // Invalidates the timer of kOperatorTimeout.
    int sequence = ++aChange->mSequence;
    bool isOut = aChange->mValue.mState == DataCentreState::eOutOfService;
    if (aView) {
      aChange->mAccepted = true;
      aChange->mValue.mExpectedVersion = aView->mVersion;
      if (!isOut || aView->mAcknowledged) {
        aChange->mEnded = true;
      }
      if (isOut && aView->mAcknowledged &&
          aView->mState == DataCentreState::eOutOfService) {
        aChange->mAcknowledged = true;
        RecordChange(*aChange, EventKind::eTakeOutAcknowledged);
      }
    } else if (aView.error().mCode == ErrorCode::eConflict &&
               (sequence == 2 || aChange->mAccepted)) {
      // Another operator changed the row before this change or after it.
      aChange->mEnded = true;
      if (!aChange->mAccepted) {
        RecordChange(*aChange,
                     isOut ? EventKind::eTakeOutRefused
                           : EventKind::eBringBackRefused);
      }
    } else {
      aChange->mInstance.clear();
      aChange->mValue.mExpectedVersion = RowVersion(*aChange);
    }
    mClock.After(kOperatorRetryDelay, [this, aChange, sequence] {
      if (sequence == aChange->mSequence) {
        SendChange(aChange);
      }
    });
  }

  void PutNewConfiguration(const Action& aAction)
  {
    // Change some value, so that the new configuration differs from the old.
    mConfiguration.mAccounts[0].mWeight += 1;
    PutConfiguration(aAction.mInstance);
  }

  void PutConfiguration(const std::string& aInstance)
  {
    InstanceProcess* process = ChooseInstance(aInstance);
    if (process == nullptr) {
      return;
    }
    auto accepted = std::make_shared<bool>(false);
    mCluster.DeliverTo(*process, [this, process, accepted] {
      process->mInstance->PutConfiguration(
        process->mInstance->ConfigVersion(),
        mConfiguration,
        [this, process, accepted](
          base::Expected<config::Configuration> aResult) {
          if (!process->mAlive) {
            return;
          }
          if (aResult) {
            *accepted = true;
            mAccepted = std::max(mAccepted, aResult->mVersion);
            Event event;
            event.mKind = EventKind::eConfigAccepted;
            event.mInstance = process->mEndpoint.mName;
            event.mVersion = aResult->mVersion;
            mCluster.Record(std::move(event));
          }
        });
    });
    mClock.After(kOperatorTimeout, [this, accepted] {
      if (!*accepted) {
        PutConfiguration("");
      }
    });
  }

  // --- Observation -----------------------------------------------------------

  void SampleInstances()
  {
    for (const auto& [name, process] : mCluster.Instances()) {
      if (process->mAlive) {
        SampleConfiguration(*process);
      }
    }
    std::vector<std::uint64_t> lostCalls;
    for (const auto& [call, open] : mOpenCalls) {
      if (!open.mProcess->mAlive) {
        lostCalls.push_back(call);
      }
    }
    for (std::uint64_t call : lostCalls) {
      Disconnect(call);
    }
    mClock.After(kSampleInterval, [this] { SampleInstances(); });
  }

  void SampleConfiguration(InstanceProcess& aProcess)
  {
    std::uint64_t version = aProcess.mInstance->ConfigVersion();
    std::uint64_t reachable = version;
    if (!aProcess.mFrozen) {
      if (mCluster.Mode() == fakes::StoreMode::eUp &&
          mCluster.IsConnected(aProcess.mEndpoint, mCluster.StoreEndpoint())) {
        reachable = std::max(reachable, mAccepted);
      }
      // Without a member list an instance knows no peer to read from.
      for (const auto& [name, peer] : mCluster.Instances()) {
        if (aProcess.mHasMemberList && mOptions.mPeersPassConfiguration &&
            peer->mAlive && !peer->mFrozen &&
            mCluster.IsConnected(aProcess.mEndpoint, peer->mEndpoint)) {
          reachable = std::max(reachable, peer->mInstance->ConfigVersion());
        }
      }
    }
    auto sample = std::pair(version, reachable);
    auto [last, isNew] = mSamples.emplace(aProcess.mEndpoint.mName, sample);
    if (isNew || last->second != sample) {
      last->second = sample;
      Event event;
      event.mKind = EventKind::eConfigSample;
      event.mInstance = aProcess.mEndpoint.mName;
      event.mVersion = version;
      event.mReachable = reachable;
      mCluster.Record(std::move(event));
    }
  }

  void FailExpectation(std::string aText)
  {
    Event event;
    event.mKind = EventKind::eExpectationFailed;
    event.mDetail = std::move(aText);
    mCluster.Record(std::move(event));
  }

  void Expect(const Action& aAction)
  {
    const std::vector<std::string>& names = aAction.mNames;
    if (names[0] == "request" && names.size() > 2) {
      ExpectRequest(names);
    } else if (names[0] == "config") {
      for (const auto& [name, process] : mCluster.Instances()) {
        if (process->mAlive &&
            process->mInstance->ConfigVersion() < mAccepted) {
          FailExpectation(
            fmt::format("{} uses configuration {}, accepted is {}",
                        name,
                        process->mInstance->ConfigVersion(),
                        mAccepted));
        }
      }
      if (mAccepted == 0) {
        FailExpectation("no configuration was accepted");
      }
    } else if ((names[0] == "out" || names[0] == "in") && names.size() == 2) {
      if (ObservedDataCentreState(names[1]) != names[0]) {
        FailExpectation(fmt::format("{} is {}, not {}",
                                    names[1],
                                    ObservedDataCentreState(names[1]),
                                    names[0]));
      }
    } else {
      FailExpectation("unknown expectation " + names[0]);
    }
  }

  // Returns the state of a data centre as reported to operators: "in", "out"
  // after an acknowledged take-out, otherwise "changing".
  std::string ObservedDataCentreState(const std::string& aDataCentre) const
  {
    std::string state = "in";
    for (const auto& change : mChanges) {
      if (change->mValue.mDataCentre.Value() == aDataCentre &&
          change->mAccepted) {
        state = change->mValue.mState == DataCentreState::eInService ? "in"
                : change->mAcknowledged                              ? "out"
                                        : "changing";
      }
    }
    return state;
  }

  void ExpectRequest(const std::vector<std::string>& aNames)
  {
    std::size_t slash = aNames[1].find('/');
    RequestId id{ base::AccountId(aNames[1].substr(0, slash)),
                  aNames[1].substr(std::min(slash, aNames[1].size() - 1) + 1) };
    std::string reported =
      mReportedStates.contains(id) ? mReportedStates[id] : "not answered";
    bool holds =
      std::any_of(aNames.begin() + 2, aNames.end(), [&](const auto& aState) {
        return aState == reported || mRejected[id].contains(aState);
      });
    if (!holds) {
      FailExpectation(fmt::format("{} is {}", aNames[1], reported));
    }
  }

  const Script& mScript;
  const RunOptions& mOptions;
  config::Configuration mConfiguration;
  fakes::SimulatedCluster mCluster;
  fakes::VirtualClock& mClock;
  std::uint64_t mLastNumber = 0;
  // Highest configuration version that was accepted.
  std::uint64_t mAccepted = 0;
  std::map<std::uint64_t, OpenCall> mOpenCalls;
  std::map<RequestId, Caller> mCallers;
  // Last reported state and the rejections of each request.
  std::map<RequestId, std::string> mReportedStates;
  std::map<RequestId, std::set<std::string>> mRejected;
  std::vector<std::shared_ptr<Change>> mChanges;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> mSamples;
  std::map<std::string, std::string> mOwners;
};

double Seconds(Time aTime)
{
  return std::chrono::duration<double>(aTime.time_since_epoch()).count();
}

} // namespace

RunResult RunScript(const Script& aScript, const RunOptions& aOptions)
{
  return Runner(aScript, aOptions).Run();
}

std::string DescribeViolations(const RunResult& aResult)
{
  std::string text;
  for (const fakes::Violation& violation : aResult.mViolations) {
    text += fmt::format("seed {}: {} at {:.3f}s: {}\n",
                        aResult.mSeed,
                        violation.mRule,
                        Seconds(violation.mTime),
                        violation.mText);
  }
  return text;
}

std::string DescribeEvents(const RunResult& aResult, const std::string& aText)
{
  static constexpr const char* kEventNames[] = {
    "submitted",        "answered",         "call failed",
    "caller left",      "cancel requested", "task started",
    "task ended",       "take-out",         "take-out acknowledged",
    "take-out refused", "bring-back",       "bring-back refused",
    "server leaving",   "config accepted",  "config sample",
    "stop began",       "stop ended",       "instance ended",
    "fault began",      "fault ended",      "expectation failed",
    "run ended"
  };
  std::string text;
  for (const Event& event : aResult.mHistory.mEvents) {
    std::string line = fmt::format(
      "{:.6f}s {} {}/{} {} {} {} {} {} epoch {} {} ran {} task {} v{}/{} {}",
      Seconds(event.mTime),
      kEventNames[static_cast<std::size_t>(event.mKind)],
      event.mRequest.mAccount.Value(),
      event.mRequest.mKey,
      event.mJobKind.Value(),
      event.mInstance,
      event.mServer.Value(),
      event.mDataCentre.Value(),
      event.mAttempt.Value(),
      event.mEpoch.Value(),
      RequestStateName(event.mState),
      RanName(event.mRan),
      static_cast<int>(event.mTaskState),
      event.mVersion,
      event.mReachable,
      event.mDetail);
    if (line.find(aText) != std::string::npos) {
      text += line + "\n";
    }
  }
  return text;
}

} // namespace flamingoloom::testing::scenario
