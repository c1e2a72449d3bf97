#include "testing/bench/decision_run.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "flamingoloom/control/instance.h"
#include "testing/fakes/simulated_cluster.h"

namespace flamingoloom::testing::bench {

using namespace std::chrono_literals;
using control::CallerAnswer;
using control::RequestState;
using fakes::Event;
using fakes::EventKind;

namespace {

constexpr base::Duration kCallerWait = 10s;
constexpr base::Duration kCallerRetry = 500ms;
constexpr base::Duration kOperatorRetry = 500ms;

double Seconds(base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

std::size_t SecondOf(base::Time aTime)
{
  return static_cast<std::size_t>(aTime.time_since_epoch() / 1s);
}

fakes::InstanceFactory FactoryFor(Policy aPolicy)
{
  using Product = control::Instance<fakes::FakePorts>;
  using Baseline =
    control::Instance<fakes::FakePorts, dispatch::LeastLoadedRouting>;
  control::InstanceOptions options;
  return aPolicy == Policy::eProduct ? fakes::FactoryOf<Product>(options)
                                     : fakes::FactoryOf<Baseline>(options);
}

// Adds aRate for each second of [aFrom, aTo).
void Spread(std::vector<double>& aSeconds,
            base::Time aFrom,
            base::Time aTo,
            double aRate)
{
  for (base::Time from = aFrom; from < aTo;) {
    base::Time next = std::min(aTo, base::Time((SecondOf(from) + 1) * 1s));
    if (SecondOf(from) < aSeconds.size()) {
      aSeconds[SecondOf(from)] += aRate * Seconds(next - from);
    }
    from = next;
  }
}

void AddEach(std::vector<double>& aTo, const std::vector<double>& aFrom)
{
  aTo.resize(std::max(aTo.size(), aFrom.size()));
  for (std::size_t i = 0; i < aFrom.size(); ++i) {
    aTo[i] += aFrom[i];
  }
}

class DecisionRun
{
public:
  explicit DecisionRun(const RunSetup& aSetup)
    : mSetup(aSetup)
    , mConfiguration(aSetup.mDeployment->mConfiguration)
    , mCluster(MakeOptions())
    , mClock(mCluster.Clock())
    , mArrivals(MakeArrivals(*aSetup.mDeployment,
                             aSetup.mTimes.mFirstArrival,
                             aSetup.mTimes.mLastArrival,
                             aSetup.mSeed))
  {
    std::size_t seconds = SecondOf(mSetup.mTimes.mEnd);
    mResult.mAcceleratorSeconds.resize(seconds);
    mResult.mSlotSeconds.resize(seconds);
    mResult.mPossibleAcceleratorSeconds.resize(seconds);
  }

  RunResult Run()
  {
    for (const std::string& name : ServerNames(mConfiguration)) {
      mCluster.AddServer(name, mServersAdded[name[0]]++ / 8);
    }
    for (const std::string& name : InstanceNames()) {
      mCluster.StartInstance(name);
    }
    mClock.After(1500ms, [this] { PutConfiguration(); });
    ScheduleDisturbance();
    for (const Arrival& arrival : mArrivals) {
      mClock.At(arrival.mTime, [this, &arrival] { Arrive(arrival); });
    }
    CollectEvery();
    mClock.RunUntil(mSetup.mTimes.mEnd);
    Collect();
    ComputePossibleWork();
    for (auto& [kind, result] : mResult.mKinds) {
      std::ranges::sort(result.mCompletion);
    }
    for (const auto& [id, call] : mOpen) {
      ++mResult.mKinds[call->mRequest.mKind.Value()].mStates["open"];
      mResult.mOpen.push_back(Describe(*call));
    }
    constexpr std::size_t kFewStarts = 3;
    for (const auto& [request, gangs] : mGangs) {
      mResult.mOftenStarted += gangs.size() > kFewStarts ? 1 : 0;
    }
    mResult.mCrossRegionBytes = mCluster.CrossRegionBytes();
    mResult.mEvents = mClock.EventsRun();
    return std::move(mResult);
  }

private:
  struct Call
  {
    control::CallerRequest mRequest;
    base::Time mSubmittedAt;
    bool mRecorded = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  fakes::SimulationOptions MakeOptions() const
  {
    fakes::SimulationOptions options;
    options.mSeed = mSetup.mSeed;
    options.mDataCentres = mConfiguration.mDataCentres;
    options.mFactory = FactoryFor(mSetup.mPolicy);
    options.mRunTime = MakeRunTime(mConfiguration, mSetup.mSeed);
    return options;
  }

  fakes::InstanceProcess& AnyInstance()
  {
    std::vector<std::string> names = InstanceNames();
    return *mCluster.FindInstance(names[mClock.Random() % names.size()]);
  }

  void PutConfiguration()
  {
    AnyInstance().mInstance->PutConfiguration(
      0, mConfiguration, [this](const auto& aResult) {
        if (!aResult) {
          mClock.After(kOperatorRetry, [this] { PutConfiguration(); });
        }
      });
  }

  void ScheduleDisturbance()
  {
    const RunTimes& times = mSetup.mTimes;
    if (mSetup.mDisturbance == Disturbance::eDataCentreOut) {
      mClock.At(times.mOut, [this] {
        ChangeCentre(control::DataCentreState::eOutOfService);
      });
      mClock.At(times.mBack,
                [this] { ChangeCentre(control::DataCentreState::eInService); });
    } else if (mSetup.mDisturbance == Disturbance::eBrokenServers) {
      mClock.At(times.mBroken, [this] {
        for (const char* name : { "a-s03", "b-s07", "c-s12" }) {
          mCluster.SetServerFaulty(name, true);
        }
      });
    }
  }

  void ChangeCentre(control::DataCentreState aState)
  {
    control::DataCentreChange change;
    change.mDataCentre = base::DataCentreId("a");
    change.mState = aState;
    change.mOperator = "benchmark";
    change.mExpectedVersion = mCluster.Store().VersionOf("datacentre/a");
    AnyInstance().mInstance->ChangeDataCentre(
      change,
      [this, aState](const base::Expected<control::DataCentreView>& aView) {
        bool isOut = aState == control::DataCentreState::eOutOfService;
        if (!aView || (isOut && !aView->mAcknowledged)) {
          mClock.After(kOperatorRetry,
                       [this, aState] { ChangeCentre(aState); });
        } else if (isOut) {
          mResult.mTakeOutTime = mClock.Now() - mSetup.mTimes.mOut;
        }
      });
  }

  // --- Callers -------------------------------------------------------------

  void Arrive(const Arrival& aArrival)
  {
    const config::JobKind& kind = *mConfiguration.Kind(aArrival.mKind);
    auto call = std::make_shared<Call>();
    call->mRequest.mAccount = aArrival.mAccount;
    call->mRequest.mKind = aArrival.mKind;
    call->mRequest.mKey = aArrival.mKey;
    call->mRequest.mPayload = "{}";
    call->mRequest.mWait = kCallerWait;
    call->mSubmittedAt = mClock.Now();
    call->mRecorded = kind.mDurable;
    ++mResult.mKinds[kind.mId.Value()].mSubmitted;
    mOpen[aArrival.mKey] = call;
    Send(call);
  }

  void Send(const CallPtr& aCall)
  {
    base::Duration latency = mSetup.mDeployment->mClientLatency;
    mClock.After(latency, [this, aCall, latency] {
      AnyInstance().mInstance->Submit(
        aCall->mRequest,
        [this, aCall, latency](const base::Expected<CallerAnswer>& aAnswer) {
          mClock.After(latency,
                       [this, aCall, aAnswer] { OnAnswer(aCall, aAnswer); });
        });
    });
  }

  void OnAnswer(const CallPtr& aCall,
                const base::Expected<CallerAnswer>& aAnswer)
  {
    RequestState state = aAnswer ? aAnswer->mState : RequestState::eUnknown;
    bool again =
      aCall->mRecorded && (state == RequestState::ePending || (!aAnswer) ||
                           (state == RequestState::eUnknown &&
                            aAnswer->mRan == control::Ran::eUnknown &&
                            aAnswer->mAttempt.IsEmpty()));
    if (again) {
      mClock.After(state == RequestState::ePending ? 0ms : kCallerRetry,
                   [this, aCall] { Send(aCall); });
      return;
    }
    if (mOpen.erase(aCall->mRequest.mKey) == 0) {
      return;
    }
    const config::JobKind& kind = *mConfiguration.Kind(aCall->mRequest.mKind);
    KindResult& result = mResult.mKinds[kind.mId.Value()];
    ++result.mStates[std::string(RequestStateName(state))];
    base::Duration time = mClock.Now() - aCall->mSubmittedAt;
    result.mCompletion.push_back(time);
    if (state == RequestState::eFinished && time <= kind.mTarget) {
      ++result.mInTime;
    }
  }

  std::string Describe(const Call& aCall)
  {
    const control::CallerRequest& request = aCall.mRequest;
    std::string text =
      fmt::format("seed {}: {}/{} since {:.1f} s, started {} times:",
                  mSetup.mSeed,
                  request.mAccount.Value(),
                  request.mKey,
                  Seconds(aCall.mSubmittedAt.time_since_epoch()),
                  mGangs[{ request.mAccount, request.mKey }].size());
    for (const config::DataCentre& centre : mConfiguration.mDataCentres) {
      for (const platform::Row& row :
           mCluster.Store().Read({ fmt::format("request/{}/{}/{}",
                                               centre.mId.Value(),
                                               request.mAccount.Value(),
                                               request.mKey) })) {
        text += " " + row.mKey + " " + row.mValue;
      }
    }
    return text;
  }

  // --- Work ----------------------------------------------------------------

  // The history would otherwise keep every answer until the end.
  void CollectEvery()
  {
    Collect();
    mClock.After(1s, [this] { CollectEvery(); });
  }

  void Collect()
  {
    for (const Event& event : mCluster.Log().mEvents) {
      std::pair task(event.mAttempt, event.mServer);
      if (event.mKind == EventKind::eTaskStarted) {
        mStarted[task] = event.mTime;
        if (event.mGangSize > 1) {
          mGangs[event.mRequest].insert(event.mGang);
        }
      } else if (event.mKind == EventKind::eTaskEnded) {
        auto started = mStarted.find(task);
        if (started != mStarted.end()) {
          CountWork(event, started->second);
          mStarted.erase(started);
        }
      }
    }
    mCluster.Log().mEvents.clear();
  }

  void CountWork(const Event& aEnd, base::Time aStart)
  {
    const config::JobKind& kind = *mConfiguration.Kind(aEnd.mJobKind);
    bool finished = aEnd.mTaskState == platform::TaskState::eFinished;
    int accelerators = kind.mAcceleratorsPerTask;
    if (!kind.mIdempotent && aEnd.mTaskState == platform::TaskState::eFailed &&
        aStart >= mSetup.mTimes.mBroken + mSetup.mTimes.mEvidence) {
      ++mResult.mLateFailures;
    }
    if (!finished) {
      mResult.mLostAcceleratorSeconds +=
        accelerators * Seconds(aEnd.mTime - aStart);
    } else if (accelerators > 0) {
      Spread(mResult.mAcceleratorSeconds, aStart, aEnd.mTime, accelerators);
    } else {
      Spread(mResult.mSlotSeconds, aStart, aEnd.mTime, 1);
    }
  }

  // Arrived work goes through a queue that is served at the rate of the
  // accelerators in service.
  void ComputePossibleWork()
  {
    constexpr base::Duration kStep = 100ms;
    double queued = 0;
    auto arrival = mArrivals.begin();
    for (base::Time time{}; time < mSetup.mTimes.mEnd; time += kStep) {
      for (; arrival != mArrivals.end() && arrival->mTime <= time; ++arrival) {
        const config::JobKind& kind = *mConfiguration.Kind(arrival->mKind);
        queued += kind.Accelerators() *
                  Seconds(TrueRunTime(
                    kind, { arrival->mAccount, arrival->mKey }, mSetup.mSeed));
      }
      double served =
        std::min(queued, AcceleratorsInService(time) * Seconds(kStep));
      queued -= served;
      mResult.mPossibleAcceleratorSeconds[SecondOf(time)] += served;
    }
  }

  double AcceleratorsInService(base::Time aTime) const
  {
    const RunTimes& times = mSetup.mTimes;
    int accelerators = 0;
    for (const config::DataCentre& centre : mConfiguration.mDataCentres) {
      bool out = mSetup.mDisturbance == Disturbance::eDataCentreOut &&
                 centre.mId.Value() == "a" && aTime >= times.mOut &&
                 aTime < times.mBack;
      int servers = centre.mRacks * centre.mServersPerRack;
      if (mSetup.mDisturbance == Disturbance::eBrokenServers &&
          aTime >= times.mBroken) {
        --servers;
      }
      accelerators += out ? 0 : servers * centre.mAcceleratorsPerServer;
    }
    return accelerators;
  }

  RunSetup mSetup;
  const config::Configuration& mConfiguration;
  fakes::SimulatedCluster mCluster;
  fakes::VirtualClock& mClock;
  std::vector<Arrival> mArrivals;
  std::map<char, int> mServersAdded;
  std::map<std::string, CallPtr> mOpen;
  std::map<std::pair<base::AttemptId, base::ServerId>, base::Time> mStarted;
  std::map<base::RequestId, std::set<std::string>> mGangs;
  RunResult mResult;
};

} // namespace

RunResult Run(const RunSetup& aSetup)
{
  return DecisionRun(aSetup).Run();
}

void Add(RunResult& aTo, const RunResult& aFrom)
{
  for (const auto& [name, from] : aFrom.mKinds) {
    KindResult& to = aTo.mKinds[name];
    to.mSubmitted += from.mSubmitted;
    to.mInTime += from.mInTime;
    for (const auto& [state, count] : from.mStates) {
      to.mStates[state] += count;
    }
    to.mCompletion.insert(
      to.mCompletion.end(), from.mCompletion.begin(), from.mCompletion.end());
    std::ranges::sort(to.mCompletion);
  }
  AddEach(aTo.mAcceleratorSeconds, aFrom.mAcceleratorSeconds);
  AddEach(aTo.mSlotSeconds, aFrom.mSlotSeconds);
  AddEach(aTo.mPossibleAcceleratorSeconds, aFrom.mPossibleAcceleratorSeconds);
  aTo.mLostAcceleratorSeconds += aFrom.mLostAcceleratorSeconds;
  aTo.mCrossRegionBytes += aFrom.mCrossRegionBytes;
  aTo.mTakeOutTime = std::max(aTo.mTakeOutTime, aFrom.mTakeOutTime);
  aTo.mOftenStarted += aFrom.mOftenStarted;
  aTo.mEvents += aFrom.mEvents;
  aTo.mLateFailures += aFrom.mLateFailures;
  aTo.mOpen.insert(aTo.mOpen.end(), aFrom.mOpen.begin(), aFrom.mOpen.end());
}

} // namespace flamingoloom::testing::bench
