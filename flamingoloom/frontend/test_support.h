// Helpers for the tests and the benchmark of the front end.
#pragma once

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

#include <arpa/inet.h>
#include <httplib.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "flamingoloom/frontend/http_frontend.h"

namespace flamingoloom::frontend::test {

inline control::CallerAnswer FinishedAnswer(const base::RequestId& aRequest)
{
  control::CallerAnswer answer;
  answer.mState = control::RequestState::eFinished;
  answer.mRan = control::Ran::eYes;
  answer.mRequest = aRequest;
  answer.mAttempt = base::AttemptId("attempt-1");
  answer.mAnswer = "42 EUR";
  answer.mServer = base::ServerId("s1");
  answer.mDataCentre = base::DataCentreId("dc-1");
  return answer;
}

// Returns a handler that accepts every request immediately.
inline FrontendHandler MakeAcceptingHandler()
{
  using platform::Done;
  using platform::Nothing;
  FrontendHandler handler;
  handler.mAuthorize = [](Role, const base::AccountId&, const std::string&) {
    return base::Expected<Nothing>(Nothing{});
  };
  handler.mSubmit = [](control::CallerRequest aRequest,
                       control::AnswerDone aDone) {
    aDone(FinishedAnswer({ aRequest.mAccount, aRequest.mKey }));
  };
  handler.mAwait =
    [](base::RequestId aId, base::Duration, control::AnswerDone aDone) {
      aDone(FinishedAnswer(aId));
    };
  handler.mCancel = [](base::RequestId aId, control::AnswerDone aDone) {
    aDone(FinishedAnswer(aId));
  };
  handler.mDataCentres = [](Done<std::vector<control::DataCentreView>> aDone) {
    aDone({});
  };
  handler.mChangeDataCentre = [](control::DataCentreChange aChange,
                                 control::DataCentreDone aDone) {
    control::DataCentreView view;
    view.mDataCentre = aChange.mDataCentre;
    view.mState = aChange.mState;
    aDone(view);
  };
  handler.mConfig = [](Done<ConfigDocument> aDone) { aDone(ConfigDocument{}); };
  handler.mPutConfig = [](std::uint64_t aVersion,
                          std::string,
                          Done<std::uint64_t> aDone) { aDone(aVersion + 1); };
  handler.mView = [](std::string aTopic, Done<std::string> aDone) {
    aDone("{\"topic\":\"" + aTopic + "\"}");
  };
  handler.mMetrics = []() { return std::string("up 1\n"); };
  handler.mReady = []() { return base::Expected<Nothing>(Nothing{}); };
  return handler;
}

inline std::unique_ptr<HttpFrontend> StartFrontend(
  FrontendHandler aHandler = MakeAcceptingHandler(),
  const FrontendSettings& aSettings = {})
{
  auto frontend = HttpFrontend::Start(aSettings, std::move(aHandler));
  if (!frontend) {
    throw std::runtime_error(frontend.error().ToString());
  }
  return std::move(*frontend);
}

inline int BoundPort(const HttpFrontend& aFrontend)
{
  const std::string& address = aFrontend.Address();
  return std::stoi(address.substr(address.rfind(':') + 1));
}

// An HTTP client with one persistent connection. Throws when a request fails.
class Client
{
public:
  explicit Client(const HttpFrontend& aFrontend)
    : mClient("127.0.0.1", BoundPort(aFrontend))
  {
    mClient.set_tcp_nodelay(true);
    mClient.set_keep_alive(true);
    mClient.set_read_timeout(std::chrono::seconds(20));
  }

  httplib::Response Get(const std::string& aPath,
                        const httplib::Headers& aHeaders = {})
  {
    return ValueOrThrow(mClient.Get(aPath.c_str(), aHeaders));
  }
  httplib::Response Delete(const std::string& aPath)
  {
    return ValueOrThrow(mClient.Delete(aPath.c_str()));
  }
  httplib::Response Post(const std::string& aPath,
                         const std::string& aBody,
                         const httplib::Headers& aHeaders = {},
                         const char* aType = "application/json")
  {
    return ValueOrThrow(mClient.Post(aPath.c_str(), aHeaders, aBody, aType));
  }
  httplib::Response Put(const std::string& aPath, const std::string& aBody)
  {
    return ValueOrThrow(mClient.Put(aPath.c_str(), aBody, "application/json"));
  }

private:
  static httplib::Response ValueOrThrow(const httplib::Result& aResult)
  {
    if (!aResult) {
      throw std::runtime_error(httplib::to_string(aResult.error()));
    }
    return *aResult;
  }

  httplib::Client mClient;
};

// A connection for sending arbitrary bytes, such as malformed requests.
class RawClient
{
public:
  explicit RawClient(const HttpFrontend& aFrontend)
    : mSocket(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(BoundPort(aFrontend)));
    timeval timeout{ 20, 0 };
    setsockopt(mSocket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (connect(mSocket,
                reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
      throw std::runtime_error("connect failed");
    }
  }
  ~RawClient() { close(mSocket); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Send(const std::string& aBytes) const
  {
    (void)send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  }

  void FinishSending() const { shutdown(mSocket, SHUT_WR); }

  // Returns the bytes of the first receive call; the server sends a small
  // response with one call.
  std::string ReadSome() const
  {
    char buffer[4096];
    ssize_t count = recv(mSocket, buffer, sizeof(buffer), 0);
    return std::string(buffer, std::max<ssize_t>(count, 0));
  }

  // Returns all bytes until the server closes its side.
  std::string ReadAll() const
  {
    std::string bytes;
    char buffer[4096];
    ssize_t count = 0;
    while ((count = recv(mSocket, buffer, sizeof(buffer), 0)) > 0) {
      bytes.append(buffer, count);
    }
    return bytes;
  }

private:
  int mSocket;
};

inline nlohmann::json Body(const httplib::Response& aResponse)
{
  return nlohmann::json::parse(aResponse.body);
}

inline std::string ErrorField(const httplib::Response& aResponse)
{
  return Body(aResponse)["error"]["field"];
}

inline std::string ErrorCode(const httplib::Response& aResponse)
{
  return Body(aResponse)["error"]["code"];
}

} // namespace flamingoloom::frontend::test
