#include "testing/standins/backend_server.h"

#include <algorithm>

#include "flamingoloom/platform/json_codec.h"
#include "testing/standins/clock.h"

namespace flamingoloom::standins {
namespace {

using nlohmann::json;

constexpr auto kAnnounceInterval = std::chrono::seconds(1);

json EventToJson(const HistoryEvent& aEvent)
{
  return { { "event", aEvent.mIsStart ? "start" : "end" },
           { "attempt", aEvent.mAttempt.Value() },
           { "account", aEvent.mRequest.mAccount.Value() },
           { "key", aEvent.mRequest.mKey },
           { "kind", aEvent.mKind.Value() },
           { "epoch", aEvent.mEpoch.Value() },
           { "tMs", ToWallClockMs(aEvent.mAt) } };
}

TaskTableOptions MakeTableOptions(const BackendOptions& aOptions)
{
  return { aOptions.mMember.mDataCentre,
           aOptions.mMember.mSlots,
           aOptions.mMember.mAccelerators,
           aOptions.mRunTime };
}

std::chrono::steady_clock::time_point ToSteady(base::Time aTime)
{
  return std::chrono::steady_clock::time_point(aTime.time_since_epoch());
}

} // namespace

BackendServer::BackendServer(const BackendOptions& aOptions)
  : mOptions(aOptions)
  , mTasks(MakeTableOptions(aOptions))
  // A POST /tasks request occupies its connection until the task ends, even if
  // its caller has disconnected. Hence one more connection for each slot.
  , mServer(aOptions.mMember.mConnections + aOptions.mMember.mSlots)
{
  mTasks.SetFailTasks(aOptions.mFailTasks);
  mUsageHistory.emplace_back(Now(), Usage{});
  if (!aOptions.mHistoryFile.empty()) {
    mHistoryFile.open(aOptions.mHistoryFile, std::ios::app);
  }
  AddTaskRoutes();
  AddOtherRoutes();
}

BackendServer::~BackendServer()
{
  {
    std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  mChanged.notify_all();
  if (mAnnouncer.joinable()) {
    mAnnouncer.join();
  }
}

base::Expected<std::string> BackendServer::Listen(const std::string& aAddress)
{
  auto address = mServer.Listen(aAddress);
  if (address) {
    mOptions.mMember.mAddress = *address;
    if (!mOptions.mPlatformAddress.empty()) {
      mAnnouncer = std::thread([this] { RunAnnouncer(); });
    }
  }
  return address;
}

void BackendServer::Drain()
{
  std::unique_lock lock(mMutex);
  mTasks.Drain();
  mChanged.notify_all();
  while (!mTasks.IsIdle()) {
    mChanged.wait_until(lock, ToSteady(*mTasks.NextDeadline()));
    mTasks.Advance(Now());
    PublishChanges();
  }
  lock.unlock();
  while (mServer.PendingRequests() > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

platform::TaskStatus BackendServer::AwaitTask(
  std::unique_lock<std::mutex>& aLock,
  const base::AttemptId& aAttempt,
  std::optional<base::Time> aUntil)
{
  while (true) {
    const base::Time now = Now();
    mTasks.Advance(now);
    PublishChanges();
    auto status = mTasks.Status(aAttempt);
    const bool isPending = status.mState == platform::TaskState::eRunning ||
                           status.mState == platform::TaskState::ePrepared;
    if (!isPending || mIsStopping || (aUntil && now >= *aUntil)) {
      return status;
    }
    const base::Time next = *mTasks.NextDeadline();
    mChanged.wait_until(aLock,
                        ToSteady(aUntil ? std::min(next, *aUntil) : next));
  }
}

void BackendServer::PublishChanges()
{
  bool hasChanged = false;
  if (mUsageHistory.back().second != mTasks.CurrentUsage()) {
    mUsageHistory.emplace_back(Now(), mTasks.CurrentUsage());
    hasChanged = true;
  }
  const base::Time shownTime = Now() - mOptions.mUsageLag;
  while (mUsageHistory.size() > 1 && mUsageHistory[1].first <= shownTime) {
    mUsageHistory.pop_front();
  }
  const auto& history = mTasks.History();
  for (; mPublishedEvents < history.size(); ++mPublishedEvents) {
    hasChanged = true;
    if (mHistoryFile.is_open()) {
      mHistoryFile << EventToJson(history[mPublishedEvents])
                   << std::endl; // NOLINT
    }
  }
  if (hasChanged) {
    mChanged.notify_all();
  }
}

void BackendServer::AddTaskRoutes()
{
  auto& routes = mServer.Routes();
  routes.Post("/fence", [this](const auto& aRequest, auto& aResponse) {
    auto body = ReadBody<std::map<std::string, json>>(aRequest, aResponse);
    if (!body) {
      return;
    }
    const json& epoch = (*body)["epoch"];
    const json& dataCentre = (*body)["dataCentre"];
    if (!epoch.is_number_unsigned() || !dataCentre.is_string()) {
      RespondWithError(
        aResponse,
        { base::ErrorCode::eInvalid, "fence", "caller", "invalid body", "" });
      return;
    }
    std::lock_guard lock(mMutex);
    auto result =
      mTasks.Fence(base::DataCentreId(dataCentre.get<std::string>()),
                   base::Epoch(epoch.get<std::uint64_t>()));
    if (result) {
      Respond(aResponse, { { "epoch", result->Value() } });
    } else {
      RespondWithError(aResponse, result.error());
    }
  });
  routes.Post("/tasks", [this](const auto& aRequest, auto& aResponse) {
    auto start = ReadBody<platform::TaskStart>(aRequest, aResponse);
    if (!start) {
      return;
    }
    std::unique_lock lock(mMutex);
    auto status = mTasks.Start(Now(), *start);
    PublishChanges();
    if (status && status->mState == platform::TaskState::eRunning) {
      status = AwaitTask(lock, start->mAttempt, std::nullopt);
    }
    lock.unlock();
    RespondWithResult(aResponse, status);
  });
  routes.Post("/tasks/(.+)/(commit|renew|release|stop|checkpoint|throttle)",
              [this](const auto& aRequest, auto& aResponse) {
                base::Duration lease{};
                const auto action =
                  platform::TaskActionFromName(aRequest.matches[2].str());
                if (action == platform::TaskAction::eRenew) {
                  auto body =
                    ReadBody<std::map<std::string, long>>(aRequest, aResponse);
                  if (!body) {
                    return;
                  }
                  lease = std::chrono::milliseconds((*body)["leaseMs"]);
                }
                std::lock_guard lock(mMutex);
                auto status = mTasks.ApplyAction(
                  Now(), base::AttemptId(aRequest.matches[1]), action, lease);
                PublishChanges();
                RespondWithResult(aResponse, status);
              });
  routes.Get("/tasks/(.+)", [this](const auto& aRequest, auto& aResponse) {
    const auto wait =
      std::chrono::milliseconds(NumberParameter(aRequest, "waitMs"));
    std::unique_lock lock(mMutex);
    auto status =
      AwaitTask(lock, base::AttemptId(aRequest.matches[1]), Now() + wait);
    lock.unlock();
    Respond(aResponse, status);
  });
}

void BackendServer::AddOtherRoutes()
{
  auto& routes = mServer.Routes();
  routes.Get("/usage", [this](const auto&, auto& aResponse) {
    std::lock_guard lock(mMutex);
    mTasks.Advance(Now());
    PublishChanges();
    const Usage& usage = mUsageHistory.front().second;
    Respond(aResponse,
            { { "slots", mOptions.mMember.mSlots },
              { "slotsInUse", usage.mSlots },
              { "accelerators", mOptions.mMember.mAccelerators },
              { "acceleratorsInUse", usage.mAccelerators },
              { "ageMs", base::ToMilliseconds(mOptions.mUsageLag) } });
  });
  routes.Get("/history", [this](const auto&, auto& aResponse) {
    std::lock_guard lock(mMutex);
    mTasks.Advance(Now());
    PublishChanges();
    json events = json::array();
    for (const HistoryEvent& event : mTasks.History()) {
      events.push_back(EventToJson(event));
    }
    Respond(aResponse, events);
  });
  routes.Post("/fault", [this](const auto& aRequest, auto& aResponse) {
    if (auto body =
          ReadBody<std::map<std::string, bool>>(aRequest, aResponse)) {
      std::lock_guard lock(mMutex);
      mTasks.SetFailTasks((*body)["failTasks"]);
      Respond(aResponse, json::object());
    }
  });
}

void BackendServer::RunAnnouncer()
{
  httplib::Client client("http://" + mOptions.mPlatformAddress);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(kAnnounceInterval);
  client.set_read_timeout(kAnnounceInterval);
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    const bool isDraining = mTasks.IsDraining();
    platform::Member member = mOptions.mMember;
    member.mState = isDraining ? platform::MemberState::eDraining
                               : platform::MemberState::eLive;
    lock.unlock();
    // A failed announcement is not retried, as the next one replaces it.
    client.Post("/members", json(member).dump(), "application/json");
    lock.lock();
    mChanged.wait_for(lock, kAnnounceInterval, [&] {
      return mIsStopping || isDraining != mTasks.IsDraining();
    });
  }
}

} // namespace flamingoloom::standins
