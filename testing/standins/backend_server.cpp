#include "testing/standins/backend_server.h"

#include <algorithm>

#include "flamingoloom/platform/json_codec.h"
#include "testing/standins/clock.h"

namespace flamingoloom::standins {
namespace {

using nlohmann::json;

constexpr auto kAnnouncePeriod = std::chrono::seconds(1);

json EventJson(const HistoryEvent& aEvent)
{
  return { { "event", aEvent.mIsStart ? "start" : "end" },
           { "attempt", aEvent.mAttempt.Value() },
           { "account", aEvent.mRequest.mAccount.Value() },
           { "key", aEvent.mRequest.mKey },
           { "kind", aEvent.mKind.Value() },
           { "epoch", aEvent.mEpoch.Value() },
           { "tMs", ToWallClockMs(aEvent.mAt) } };
}

TaskTableOptions TableOptions(const BackendOptions& aOptions)
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
  , mTasks(TableOptions(aOptions))
  // A waiting POST /tasks holds a connection as long as the task runs, even
  // after its caller has gone.
  , mServer(aOptions.mMember.mConnections + aOptions.mMember.mSlots)
{
  mTasks.FailTasks(aOptions.mFailTasks);
  mUsage.emplace_back(Now(), Usage{});
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
      mAnnouncer = std::thread([this] { AnnounceMember(); });
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
    mChanged.wait_until(lock, ToSteady(*mTasks.NextEvent()));
    mTasks.Advance(Now());
    NoteChange();
  }
  lock.unlock();
  while (mServer.Pending() > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

platform::TaskStatus BackendServer::Await(std::unique_lock<std::mutex>& aLock,
                                          const base::AttemptId& aAttempt,
                                          std::optional<base::Time> aUntil)
{
  while (true) {
    const base::Time now = Now();
    mTasks.Advance(now);
    NoteChange();
    auto status = mTasks.Status(aAttempt);
    const bool isPending = status.mState == platform::TaskState::eRunning ||
                           status.mState == platform::TaskState::ePrepared;
    if (!isPending || mIsStopping || (aUntil && now >= *aUntil)) {
      return status;
    }
    const base::Time next = *mTasks.NextEvent();
    mChanged.wait_until(aLock,
                        ToSteady(aUntil ? std::min(next, *aUntil) : next));
  }
}

void BackendServer::NoteChange()
{
  bool hasChanged = false;
  if (mUsage.back().second != mTasks.CurrentUsage()) {
    mUsage.emplace_back(Now(), mTasks.CurrentUsage());
    hasChanged = true;
  }
  const base::Time shown = Now() - mOptions.mUsageLag;
  while (mUsage.size() > 1 && mUsage[1].first <= shown) {
    mUsage.pop_front();
  }
  const auto& history = mTasks.History();
  for (; mHistoryNoted < history.size(); ++mHistoryNoted) {
    hasChanged = true;
    if (mHistoryFile.is_open()) {
      mHistoryFile << EventJson(history[mHistoryNoted]) << std::endl; // NOLINT
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
      AnswerError(
        aResponse,
        { base::ErrorCode::eInvalid, "fence", "caller", "invalid body", "" });
      return;
    }
    std::lock_guard lock(mMutex);
    auto result =
      mTasks.Fence(base::DataCentreId(dataCentre.get<std::string>()),
                   base::Epoch(epoch.get<std::uint64_t>()));
    if (result) {
      Answer(aResponse, { { "epoch", result->Value() } });
    } else {
      AnswerError(aResponse, result.error());
    }
  });
  routes.Post("/tasks", [this](const auto& aRequest, auto& aResponse) {
    auto start = ReadBody<platform::TaskStart>(aRequest, aResponse);
    if (!start) {
      return;
    }
    std::unique_lock lock(mMutex);
    auto status = mTasks.Start(Now(), *start);
    NoteChange();
    if (status && status->mState == platform::TaskState::eRunning) {
      status = Await(lock, start->mAttempt, std::nullopt);
    }
    lock.unlock();
    AnswerResult(aResponse, status);
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
                auto status = mTasks.Act(
                  Now(), base::AttemptId(aRequest.matches[1]), action, lease);
                NoteChange();
                AnswerResult(aResponse, status);
              });
  routes.Get("/tasks/(.+)", [this](const auto& aRequest, auto& aResponse) {
    const auto wait =
      std::chrono::milliseconds(NumberParameter(aRequest, "waitMs"));
    std::unique_lock lock(mMutex);
    auto status =
      Await(lock, base::AttemptId(aRequest.matches[1]), Now() + wait);
    lock.unlock();
    Answer(aResponse, status);
  });
}

void BackendServer::AddOtherRoutes()
{
  auto& routes = mServer.Routes();
  routes.Get("/usage", [this](const auto&, auto& aResponse) {
    std::lock_guard lock(mMutex);
    mTasks.Advance(Now());
    NoteChange();
    const Usage& usage = mUsage.front().second;
    Answer(aResponse,
           { { "slots", mOptions.mMember.mSlots },
             { "slotsInUse", usage.mSlots },
             { "accelerators", mOptions.mMember.mAccelerators },
             { "acceleratorsInUse", usage.mAccelerators },
             { "ageMs", base::ToMilliseconds(mOptions.mUsageLag) } });
  });
  routes.Get("/history", [this](const auto&, auto& aResponse) {
    std::lock_guard lock(mMutex);
    mTasks.Advance(Now());
    NoteChange();
    json events = json::array();
    for (const HistoryEvent& event : mTasks.History()) {
      events.push_back(EventJson(event));
    }
    Answer(aResponse, events);
  });
  routes.Post("/fault", [this](const auto& aRequest, auto& aResponse) {
    if (auto body =
          ReadBody<std::map<std::string, bool>>(aRequest, aResponse)) {
      std::lock_guard lock(mMutex);
      mTasks.FailTasks((*body)["failTasks"]);
      Answer(aResponse, json::object());
    }
  });
}

void BackendServer::AnnounceMember()
{
  httplib::Client client("http://" + mOptions.mPlatformAddress);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(kAnnouncePeriod);
  client.set_read_timeout(kAnnouncePeriod);
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    const bool isLeaving = mTasks.IsLeaving();
    platform::Member member = mOptions.mMember;
    member.mState = isLeaving ? platform::MemberState::eDraining
                              : platform::MemberState::eLive;
    lock.unlock();
    // A failed announcement is made up for by the next one.
    client.Post("/members", json(member).dump(), "application/json");
    lock.lock();
    mChanged.wait_for(lock, kAnnouncePeriod, [&] {
      return mIsStopping || isLeaving != mTasks.IsLeaving();
    });
  }
}

} // namespace flamingoloom::standins
