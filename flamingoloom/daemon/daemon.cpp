#include "flamingoloom/daemon/daemon.h"

#include <future>
#include <mutex>
#include <utility>

#include <caf/all.hpp>
#include <fmt/format.h>

#include "flamingoloom/daemon/access_check.h"
#include "flamingoloom/daemon/burn_view.h"
#include "flamingoloom/daemon/daemon_ports.h"
#include "flamingoloom/daemon/log.h"
#include "flamingoloom/daemon/runtime.h"
#include "flamingoloom/daemon/views.h"
#include "flamingoloom/frontend/http_frontend.h"
#include "flamingoloom/report/request_metrics.h"

namespace flamingoloom::daemon {
namespace {

constexpr base::Duration kAnnounceInterval = std::chrono::seconds(1);
constexpr base::Duration kRefreshInterval = std::chrono::milliseconds(100);
constexpr int kRefreshesPerMetricsUpdate = 10;

// All work runs on one actor, so more scheduler threads would only add context
// switches.
class SystemConfig : public caf::actor_system_config
{
public:
  SystemConfig() { set("scheduler.max-threads", std::size_t{ 2 }); }
};

// State of the instance that threads of the front end read without waiting for
// the runtime.
struct Snapshot
{
  std::shared_ptr<const config::Configuration> mConfig;
  bool mReady = false;
  std::string mMetrics;
};

control::InstanceOptions MakeOptions(const config::Settings& aSettings)
{
  control::InstanceOptions options;
  options.mLease.mDuration = aSettings.mOwnership.mLease;
  options.mLease.mRenewEvery = aSettings.mOwnership.mRenew;

  return options;
}

frontend::FrontendSettings MakeFrontendSettings(
  const config::Settings& aSettings)
{
  frontend::FrontendSettings settings;
  settings.mListen = aSettings.mListen.mHttpAddress;
  settings.mThreads = static_cast<std::size_t>(aSettings.mLimits.mHttpThreads);
  settings.mMaxBodyBytes = aSettings.mLimits.mMaxBodyBytes;
  settings.mMaxHeaderBytes = aSettings.mLimits.mMaxHeaderBytes;
  settings.mMaxRequestMemory = aSettings.mLimits.mMaxRequestMemoryBytes;
  return settings;
}

// Returns an id that is unique to this process: a replacement process may have
// the same id in its settings, but must not count as the same lease holder.
base::InstanceId MakeInstanceId(const config::Settings& aSettings)
{
  return base::InstanceId(fmt::format(
    "{}.{:08x}", aSettings.mInstance.mId.Value(), std::random_device()()));
}

} // namespace

class Daemon::Impl
{
public:
  explicit Impl(const config::Settings& aSettings)
    : mSettings(aSettings)
    , mId(MakeInstanceId(aSettings))
    , mLog(aSettings.mLogs, mId.Value())
    , mSystem(mSystemConfig)
    , mRuntime(mSystem)
  {
  }

  ~Impl()
  {
    mFrontend.reset();
    // No callback runs after Stop(), so that the clients can be destroyed.
    mRuntime.Stop();
    mPeers.reset();
    mClients.reset();
  }

  base::Expected<void> Start()
  {
    platform::HttpClientOptions clientOptions;
    clientOptions.mPlatformAddress = mSettings.mPlatformAddress;
    mClients =
      std::make_unique<platform::HttpClients>(clientOptions, Executor());
    peer::PeerSettings peerSettings;
    peerSettings.mListen = mSettings.mListen.mPeerAddress;
    auto peers =
      peer::PeerNode::Start(peerSettings, MakePeerHandler(), Executor());
    if (!peers) {
      return tl::unexpected(peers.error());
    }
    mPeers = std::move(*peers);
    mPorts = std::make_unique<DaemonPorts>(mRuntime, *mClients, *mPeers);
    auto frontend = frontend::HttpFrontend::Start(
      MakeFrontendSettings(mSettings), MakeFrontendHandler());
    if (!frontend) {
      return tl::unexpected(frontend.error());
    }
    mFrontend = std::move(*frontend);
    mRuntime.Post([this] { StartInstance(); });
    return {};
  }

  bool Shutdown(base::Duration aTimeout)
  {
    auto stopped = std::make_shared<std::promise<void>>();
    mFrontend->BeginShutdown();
    mRuntime.Post([this, stopped] {
      mShuttingDown = true;
      Announce();
      mInstance->Shutdown([stopped] { stopped->set_value(); });
    });
    bool inTime =
      stopped->get_future().wait_for(aTimeout) == std::future_status::ready;
    inTime = mFrontend->WaitUntilIdle(aTimeout) && inTime;
    mLog.Write(inTime ? config::LogLevel::eInfo : config::LogLevel::eWarning,
               inTime ? "left" : "left with requests in progress",
               {});
    return inTime;
  }

  const std::string& HttpAddress() const { return mFrontend->Address(); }
  const std::string& PeerAddress() const { return mPeers->Address(); }

private:
  std::function<void(std::function<void()>)> Executor()
  {
    return [this](std::function<void()> aAction) {
      mRuntime.Post(std::move(aAction));
    };
  }

  // --- On the runtime ----------------------------------------------------

  void StartInstance()
  {
    control::InstanceIdentity identity{ mId,
                                        mSettings.mInstance.mDataCentre,
                                        mSettings.mInstance.mRegion,
                                        HttpAddress(),
                                        PeerAddress() };
    mInstance = std::make_unique<DaemonInstance>(
      *mPorts, identity, MakeOptions(mSettings));
    mInstance->State().mOnStateChange =
      [this](const control::StateChange& aChange) {
        mLog.Write(config::LogLevel::eInfo, aChange.mName, aChange.mFields);
      };
    mInstance->State().mOnRequestCompletion =
      [this](const report::RequestCompletion& aCompletion) {
        mRequestMetrics.Record(aCompletion);
      };
    mLog.Write(config::LogLevel::eInfo,
               "started",
               { { "http", HttpAddress() }, { "peer", PeerAddress() } });
    Announce();
    AnnouncePeriodically();
    mInstance->Start();
    RefreshSnapshot();
  }

  void AnnouncePeriodically()
  {
    mRuntime.After(kAnnounceInterval, [this] {
      Announce();
      AnnouncePeriodically();
    });
  }

  void Announce()
  {
    platform::Member member;
    member.mId = mId.Value();
    member.mKind = platform::MemberKind::eInstance;
    member.mDataCentre = mSettings.mInstance.mDataCentre;
    member.mRegion = mSettings.mInstance.mRegion;
    member.mAddress = HttpAddress();
    member.mPeerAddress = PeerAddress();
    member.mState = mShuttingDown ? platform::MemberState::eDraining
                                  : platform::MemberState::eLive;
    // A failed announcement needs no retry: the next one follows after
    // kAnnounceInterval.
    mClients->AnnounceMember(member, [](const auto&) {});
  }

  void RefreshSnapshot()
  {
    bool withMetrics = mRefreshCount++ % kRefreshesPerMetricsUpdate == 0;
    std::string metrics =
      withMetrics ? RenderMetrics(*mInstance) + mRequestMetrics.Text() : "";
    {
      std::scoped_lock lock(mSnapshotMutex);
      mSnapshot.mConfig = mInstance->State().mConfig;
      mSnapshot.mReady = mInstance->IsReady();
      if (withMetrics) {
        mSnapshot.mMetrics = std::move(metrics);
      }
    }
    mRuntime.After(kRefreshInterval, [this] { RefreshSnapshot(); });
  }

  Snapshot CurrentSnapshot() const
  {
    std::scoped_lock lock(mSnapshotMutex);
    return mSnapshot;
  }

  // --- Handlers ----------------------------------------------------------

  // Returns a function that posts aCall to the runtime, with the instance and
  // the arguments of the function.
  template <class Call>
  auto OnInstance(Call aCall)
  {
    return [this, aCall](auto... aArgs) {
      mRuntime.Post([this, aCall, ... args = std::move(aArgs)]() mutable {
        aCall(*mInstance, std::move(args)...);
      });
    };
  }

  // The peer node calls its handlers on the runtime, so they need no Post().
  peer::PeerHandler MakePeerHandler()
  {
    auto forwardTo = [this](auto aMember) {
      return [this, aMember](auto aValue, auto... aRest) {
        if (mInstance) {
          (mInstance.get()->*aMember)(aValue, std::move(aRest)...);
        }
      };
    };
    peer::PeerHandler handler;
    handler.mRequestCredits = forwardTo(&DaemonInstance::OnRequestCredits);
    handler.mNotifyRequest = forwardTo(&DaemonInstance::OnNotifyRequest);
    handler.mAwaitRequest = forwardTo(&DaemonInstance::OnAwaitRequest);
    handler.mNotifyDataCentre = forwardTo(&DaemonInstance::OnNotifyDataCentre);
    handler.mRequestPromise = forwardTo(&DaemonInstance::OnRequestPromise);
    handler.mAnnounceConfig = forwardTo(&DaemonInstance::OnAnnounceConfig);
    handler.mAnnounceLeaving = forwardTo(&DaemonInstance::OnAnnounceLeaving);
    handler.mQueryStatus = forwardTo(&DaemonInstance::OnQueryStatus);
    return handler;
  }

  frontend::FrontendHandler MakeFrontendHandler()
  {
    frontend::FrontendHandler handler;
    handler.mAuthorize = [this](frontend::Role aRole,
                                const base::AccountId& aAccount,
                                const std::string& aKey) {
      return CheckAccess(aRole,
                         aAccount,
                         aKey,
                         mSettings.mKeys.mOperatorKeySha256,
                         CurrentSnapshot().mConfig.get());
    };
    handler.mSubmit = OnInstance(
      [](auto& aInstance, const auto& aRequest, control::AnswerDone aDone) {
        aInstance.Submit(aRequest, std::move(aDone));
      });
    handler.mAwait = OnInstance([](auto& aInstance,
                                   const auto& aRequest,
                                   base::Duration aWait,
                                   control::AnswerDone aDone) {
      aInstance.Await(aRequest, aWait, std::move(aDone));
    });
    handler.mCancel = OnInstance(
      [](auto& aInstance, const auto& aRequest, control::AnswerDone aDone) {
        aInstance.Cancel(aRequest, std::move(aDone));
      });
    handler.mDataCentres = OnInstance([](auto& aInstance, auto aDone) {
      aInstance.DataCentres(std::move(aDone));
    });
    handler.mChangeDataCentre =
      OnInstance([](auto& aInstance, const auto& aChange, auto aDone) {
        aInstance.ChangeDataCentre(aChange, std::move(aDone));
      });
    handler.mConfig = OnInstance([](auto& aInstance, auto aDone) {
      aDone(frontend::ConfigDocument{ aInstance.ConfigVersion(),
                                      aInstance.ConfigDocument() });
    });
    handler.mPutConfig = OnInstance(PutConfig);
    handler.mView =
      OnInstance([](auto& aInstance, const std::string& aTopic, auto aDone) {
        if (aTopic == report::kBurnTopic) {
          CollectBurnReport(aInstance, std::move(aDone));
        } else if (aTopic == kHistoryTopic) {
          aInstance.ConfigHistory(
            [done = std::move(aDone)](
              const base::Expected<std::vector<control::ConfigRow>>& aRows) {
              done(aRows.map(RenderConfigHistory));
            });
        } else {
          aDone(RenderView(aInstance, aTopic));
        }
      });
    handler.mMetrics = [this] { return CurrentSnapshot().mMetrics; };
    handler.mReady = [this]() -> base::Expected<platform::Nothing> {
      if (CurrentSnapshot().mReady) {
        return platform::Nothing{};
      }
      return base::MakeError(base::ErrorCode::eUnavailable,
                             "check readiness",
                             mId.Value(),
                             "there is no configuration yet, or the "
                             "instance is shutting down");
    };
    return handler;
  }

  static void PutConfig(DaemonInstance& aInstance,
                        std::uint64_t aExpectedVersion,
                        const std::string& aJson,
                        const platform::Done<std::uint64_t>& aDone)
  {
    auto configuration = config::ConfigurationFromText(aJson, "configuration");
    if (!configuration) {
      aDone(tl::unexpected(config::Combine(configuration.error())));
      return;
    }
    aInstance.PutConfiguration(
      aExpectedVersion,
      std::move(*configuration),
      [aDone](const base::Expected<config::Configuration>& aAccepted) {
        if (aAccepted) {
          aDone(aAccepted->mVersion);
        } else {
          aDone(tl::unexpected(aAccepted.error()));
        }
      });
  }

  const config::Settings mSettings;
  const base::InstanceId mId;
  const Log mLog;
  SystemConfig mSystemConfig;
  caf::actor_system mSystem;
  Runtime mRuntime;
  std::unique_ptr<platform::HttpClients> mClients;
  std::unique_ptr<peer::PeerNode> mPeers;
  std::unique_ptr<DaemonPorts> mPorts;
  std::unique_ptr<DaemonInstance> mInstance;
  std::unique_ptr<frontend::HttpFrontend> mFrontend;
  // Used on the runtime only, up to mRefreshCount.
  report::RequestMetrics mRequestMetrics;
  bool mShuttingDown = false;
  int mRefreshCount = 0;
  mutable std::mutex mSnapshotMutex;
  Snapshot mSnapshot;
};

Daemon::Daemon(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

Daemon::~Daemon() = default;

base::Expected<std::unique_ptr<Daemon>> Daemon::Start(
  const config::Settings& aSettings)
{
  if (aSettings.mOwnership.mStoreDownPolicy ==
      config::StoreDownPolicy::ePromises) {
    return base::MakeError(base::ErrorCode::eInvalid,
                           "start",
                           "settings",
                           "the policy \"promises\" is not available yet",
                           "/ownership/storeDownPolicy");
  }
  auto impl = std::make_unique<Impl>(aSettings);
  if (auto started = impl->Start(); !started) {
    return tl::unexpected(started.error());
  }
  return std::unique_ptr<Daemon>(new Daemon(std::move(impl)));
}

bool Daemon::Shutdown(base::Duration aTimeout)
{
  return mImpl->Shutdown(aTimeout);
}

const std::string& Daemon::HttpAddress() const
{
  return mImpl->HttpAddress();
}

const std::string& Daemon::PeerAddress() const
{
  return mImpl->PeerAddress();
}

} // namespace flamingoloom::daemon
