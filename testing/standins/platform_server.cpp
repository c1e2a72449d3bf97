#include "testing/standins/platform_server.h"

#include <thread>

#include "flamingoloom/base/digest.h"
#include "testing/standins/clock.h"

namespace flamingoloom::standins {
namespace {

using nlohmann::json;

constexpr int kMaxConnections = 512;

// Replaces the response by status 504, or by headers after which the connection
// closes before the body.
void DropResponse(httplib::Response& aResponse, bool aAsTimeout)
{
  if (aAsTimeout) {
    aResponse.body.clear();
    aResponse.status = 504;
    return;
  }
  const std::size_t length = aResponse.body.size();
  aResponse.body.clear();
  aResponse.set_content_provider(
    length,
    "application/json",
    [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

} // namespace

PlatformServer::PlatformServer(PlatformFaults aFaults)
  : mFaults(aFaults)
  , mServer(kMaxConnections)
{
  AddTableRoutes();
  AddObjectRoutes();
  AddMemberRoutes();
  AddFaultRoute();
}

base::Expected<std::string> PlatformServer::Listen(const std::string& aAddress)
{
  return mServer.Listen(aAddress);
}

void PlatformServer::SetFaults(const PlatformFaults& aFaults)
{
  std::lock_guard lock(mMutex);
  mFaults = aFaults;
}

PlatformServer::Handler PlatformServer::WithStoreFaults(bool aIsWrite,
                                                        Handler aHandler)
{
  return [this, aIsWrite, aHandler](const httplib::Request& aRequest,
                                    httplib::Response& aResponse) {
    std::unique_lock lock(mMutex);
    if (mFaults.mStore == StoreFault::eSlow) {
      const base::Duration delay = mFaults.mSlow;
      lock.unlock();
      std::this_thread::sleep_for(delay);
      lock.lock();
    }
    if (mFaults.mStore == StoreFault::eDown) {
      RespondWithError(aResponse,
                       { base::ErrorCode::eUnavailable,
                         aRequest.path,
                         "store",
                         "the store is down",
                         "" });
      return;
    }
    aHandler(aRequest, aResponse);
    if (aIsWrite && mFaults.mStore == StoreFault::eDropsResponses) {
      DropResponse(aResponse, ++mDroppedResponses % 2 == 0);
    }
  };
}

void PlatformServer::AddTableRoutes()
{
  auto& routes = mServer.Routes();
  routes.Post(
    "/table/commit",
    WithStoreFaults(true, [this](const auto& aRequest, auto& aResponse) {
      auto body = ReadBody<platform::Transaction>(aRequest, aResponse);
      if (body) {
        auto result = mTable.Commit(*body);
        Respond(aResponse, result, result.Committed() ? 200 : 409);
      }
    }));
  routes.Post(
    "/table/get",
    WithStoreFaults(false, [this](const auto& aRequest, auto& aResponse) {
      using Body = std::map<std::string, std::vector<std::string>>;
      if (auto body = ReadBody<Body>(aRequest, aResponse)) {
        Respond(aResponse, { { "rows", mTable.Read((*body)["keys"]) } });
      }
    }));
  routes.Post(
    "/table/scan",
    WithStoreFaults(false, [this](const auto& aRequest, auto& aResponse) {
      using Body = std::map<std::string, std::string>;
      if (auto body = ReadBody<Body>(aRequest, aResponse)) {
        Respond(aResponse, { { "rows", mTable.Scan((*body)["prefix"]) } });
      }
    }));
}

void PlatformServer::AddObjectRoutes()
{
  auto& routes = mServer.Routes();
  routes.Put(
    "/objects/([0-9a-f]{64})",
    WithStoreFaults(true, [this](const auto& aRequest, auto& aResponse) {
      const std::string digest = aRequest.matches[1];
      if (base::Sha256Hex(aRequest.body) != digest) {
        RespondWithError(aResponse,
                         { base::ErrorCode::eInvalid,
                           aRequest.path,
                           "store",
                           "the object does not match its digest",
                           "" });
        return;
      }
      mObjects[digest] = aRequest.body;
      Respond(aResponse, json::object());
    }));
  routes.Get(
    "/objects/([0-9a-f]{64})",
    WithStoreFaults(false, [this](const auto& aRequest, auto& aResponse) {
      auto found = mObjects.find(aRequest.matches[1]);
      if (found == mObjects.end()) {
        RespondWithError(aResponse,
                         { base::ErrorCode::eNotFound,
                           aRequest.path,
                           "store",
                           "no such object",
                           "" });
        return;
      }
      aResponse.set_content(found->second, "application/octet-stream");
    }));
}

void PlatformServer::AddMemberRoutes()
{
  auto& routes = mServer.Routes();
  routes.Post("/members", [this](const auto& aRequest, auto& aResponse) {
    if (auto member = ReadBody<platform::Member>(aRequest, aResponse)) {
      std::lock_guard lock(mMutex);
      mMembers.Announce(Now(), *member);
      Respond(aResponse, json::object());
    }
  });
  routes.Get("/members", [this](const auto&, auto& aResponse) {
    std::lock_guard lock(mMutex);
    Respond(aResponse, mMembers.List(Now(), mFaults.mListLag));
  });
}

void PlatformServer::AddFaultRoute()
{
  mServer.Routes().Post(
    "/fault", [this](const auto& aRequest, auto& aResponse) {
      const std::map<std::string, StoreFault> storeFaults = {
        { "up", StoreFault::eUp },
        { "down", StoreFault::eDown },
        { "slow", StoreFault::eSlow },
        { "losesAnswers", StoreFault::eDropsResponses },
      };
      auto body = ReadBody<std::map<std::string, json>>(aRequest, aResponse);
      if (!body) {
        return;
      }
      std::lock_guard lock(mMutex);
      PlatformFaults faults = mFaults;
      bool isValid = true;
      for (const auto& [name, value] : *body) {
        if (name == "store" && value.is_string() &&
            storeFaults.contains(value.template get<std::string>())) {
          faults.mStore = storeFaults.at(value.template get<std::string>());
        } else if (name == "listLagMs" && value.is_number_integer()) {
          faults.mListLag =
            std::chrono::milliseconds(value.template get<long>());
        } else if (name == "slowMs" && value.is_number_integer()) {
          faults.mSlow = std::chrono::milliseconds(value.template get<long>());
        } else {
          isValid = false;
          RespondWithError(aResponse,
                           { base::ErrorCode::eInvalid,
                             "set faults",
                             "platform",
                             "unknown fault or value",
                             "/" + name });
        }
      }
      if (isValid) {
        mFaults = faults;
        Respond(aResponse, json::object());
      }
    });
}

} // namespace flamingoloom::standins
