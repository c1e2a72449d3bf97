#include "flamingoloom/frontend/http_server.h"

#include <charconv>
#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "flamingoloom/frontend/reply.h"
#include "flamingoloom/frontend/router.h"

namespace flamingoloom::frontend::internal {
namespace {

using base::ErrorCode;
using httplib::Request;
using httplib::Response;

// The HTTP library listens with a backlog of 5, and a burst of connections
// beyond that waits for the retransmission of its first packet, 1 s.
constexpr int kListenBacklog = 1024;

// How long the rest of a refused request is read, so that a reset of the
// connection does not overtake the answer.
constexpr std::chrono::milliseconds kLingerTime(500);

// Carries the verdict on a request to its handler. A header of this name that
// was sent from outside is removed first.
constexpr const char* kRefusalHeader = "Flamingoloom-Refusal";

struct ListenAddress
{
  std::string mHost;
  int mPort = 0;
};

std::optional<ListenAddress> ParseListen(const std::string& aText)
{
  std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  ListenAddress address{ aText.substr(0, colon), 0 };
  std::string& host = address.mHost;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const char* end = aText.data() + aText.size();
  auto [last, error] =
    std::from_chars(aText.data() + colon + 1, end, address.mPort);
  in6_addr ignored{};
  bool isNumeric = inet_pton(AF_INET, host.c_str(), &ignored) == 1 ||
                   inet_pton(AF_INET6, host.c_str(), &ignored) == 1;
  if (error != std::errc() || last != end || !isNumeric || address.mPort < 0 ||
      address.mPort > 65535) {
    return std::nullopt;
  }
  return address;
}

ApiRequest ToApiRequest(const Request& aRequest)
{
  ApiRequest request;
  request.mMethod = aRequest.method;
  request.mPath = aRequest.path;
  for (const auto& [name, value] : aRequest.params) {
    request.mQuery[name] = value;
  }
  request.mAuthorization = aRequest.get_header_value("Authorization");
  request.mIdempotencyKey = aRequest.get_header_value("Idempotency-Key");
  request.mContentType = aRequest.get_header_value("Content-Type");
  request.mBody = aRequest.body;
  return request;
}

void Write(const ApiReply& aReply, Response& aResponse)
{
  aResponse.status = aReply.mStatus;
  aResponse.set_content(aReply.mBody, aReply.mContentType);
  if (aReply.mStatus == 401) {
    aResponse.set_header("WWW-Authenticate", "Bearer");
  }
  if (aReply.mStatus == 429 || aReply.mStatus == 503) {
    aResponse.set_header("Retry-After", "1");
  }
}

// The answer where the HTTP library itself refused a request.
ApiReply LibraryError(int aStatus)
{
  std::string message = "the request is malformed";
  std::string field;
  if (aStatus == 413) {
    message = "the body is too large";
    field = "body";
  } else if (aStatus == 414) {
    message = "the path is too long";
    field = "path";
  }
  ApiReply reply = ErrorReply(
    { ErrorCode::eInvalid, "read request", "client", message, field });
  reply.mStatus = aStatus;
  return reply;
}

// Refuses a connection beyond the limit without reading from it.
void RefuseConnection(int aSocket)
{
  ApiReply reply = ErrorReply({ ErrorCode::eBusy,
                                "accept connection",
                                "instance",
                                "too many connections, nothing ran",
                                "" });
  std::string answer =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
    "Retry-After: 1\r\nContent-Type: application/json\r\nContent-Length: " +
    std::to_string(reply.mBody.size()) + "\r\n\r\n" + reply.mBody;
  (void)send(
    aSocket, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  shutdown(aSocket, SHUT_WR);
}

// Reads until the sender has closed its side, for a limited time.
void Linger(int aSocket)
{
  using Clock = std::chrono::steady_clock;
  shutdown(aSocket, SHUT_WR);
  Clock::time_point end = Clock::now() + kLingerTime;
  pollfd descriptor{ aSocket, POLLIN, 0 };
  char buffer[4096];
  ssize_t count = 1;
  while (count > 0 && Clock::now() < end) {
    int ready = poll(&descriptor, 1, static_cast<int>(kLingerTime.count()));
    count = ready > 0 ? recv(aSocket, buffer, sizeof(buffer), MSG_DONTWAIT) : 0;
  }
}

void SetNoDelay(int aSocket)
{
  int yes = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

} // namespace

HttpServer::HttpServer(const FrontendSettings& aSettings,
                       Admission& aAdmission,
                       Answer aAnswer)
  : mSettings(aSettings)
  , mAdmission(aAdmission)
  , mAnswer(std::move(aAnswer))
  , mConnections(aSettings.mThreads)
{
  Configure();
  RegisterHandlers();
}

HttpServer::~HttpServer()
{
  if (mThread.joinable()) {
    mConnections.Close();
    stop();
    mThread.join();
  }
}

base::Expected<int> HttpServer::Start()
{
  std::optional<ListenAddress> address = ParseListen(mSettings.mListen);
  if (!address) {
    return base::MakeError(ErrorCode::eInvalid,
                           "start HTTP server",
                           mSettings.mListen,
                           "not of the form ip:port");
  }
  int port = Bind(address->mHost, address->mPort);
  if (port < 0) {
    return base::MakeError(ErrorCode::eUnavailable,
                           "start HTTP server",
                           mSettings.mListen,
                           "the address cannot be bound");
  }
  mThread = std::thread([this]() { listen_after_bind(); });
  // stop() has no effect before this point.
  mAccepting.get_future().wait();
  return port;
}

int HttpServer::Bind(const std::string& aHost, int aPort)
{
  int port = aPort;
  if (aPort == 0) {
    port = bind_to_any_port(aHost);
  } else if (!bind_to_port(aHost, aPort)) {
    port = -1;
  }
  if (port > 0 && ::listen(svr_sock_, kListenBacklog) != 0) {
    return -1;
  }
  return port;
}

void HttpServer::Configure()
{
  // The library's default lets a second process bind the same port.
  set_socket_options([](socket_t aSocket) {
    int yes = 1;
    setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  });
  set_payload_max_length(mSettings.mMaxBodyBytes);
  // Both are only announced to the client; ServeConnection applies the first
  // and has no limit for the second.
  set_keep_alive_timeout(
    std::chrono::duration_cast<std::chrono::seconds>(mSettings.mIdleTimeout)
      .count());
  set_keep_alive_max_count(1000000);
  new_task_queue = [this]() {
    mAccepting.set_value();
    // One thread more than connections, to refuse those beyond the limit.
    return new httplib::ThreadPool(mSettings.mThreads + 1);
  };
}

void HttpServer::RegisterHandlers()
{
  // The router compares paths itself: the library would match each route by a
  // regular expression in turn.
  auto answer = [this](const Request& aRequest, Response& aResponse) {
    Write(mAnswer(ToApiRequest(aRequest)), aResponse);
  };
  Get(".*", answer);
  Post(".*", answer);
  Put(".*", answer);
  Patch(".*", answer);
  Delete(".*", answer);
  Options(".*", answer);
  set_pre_routing_handler([](const Request& aRequest, Response& aResponse) {
    std::string text = aRequest.get_header_value(kRefusalHeader);
    if (text.empty()) {
      return HandlerResponse::Unhandled;
    }
    auto refusal = static_cast<Refusal>(text.front() - '0');
    Write(ErrorReply(RefusalError(refusal)), aResponse);
    return HandlerResponse::Handled;
  });
  set_error_handler([](const Request&, Response& aResponse) {
    if (aResponse.body.empty()) {
      Write(LibraryError(aResponse.status), aResponse);
    }
  });
  set_exception_handler(
    [](const Request&, Response& aResponse, std::exception_ptr) {
      Write(ErrorReply({ ErrorCode::eFailed,
                         "answer request",
                         "instance",
                         "an internal error occurred",
                         "" }),
            aResponse);
    });
}

bool HttpServer::process_and_close_socket(socket_t aSocket)
{
  if (mConnections.Add(aSocket)) {
    ServeConnection(aSocket);
    mConnections.Remove(aSocket);
  } else {
    RefuseConnection(aSocket);
  }
  close(aSocket);
  return true;
}

void HttpServer::ServeConnection(int aSocket)
{
  SetNoDelay(aSocket);
  SocketStream stream(aSocket, mSettings);
  bool open = mConnections.MarkIdle(aSocket);
  while (open && stream.WaitForRequest()) {
    mConnections.MarkBusy(aSocket);
    if (!ServeRequest(stream)) {
      Linger(aSocket);
      return;
    }
  }
}

// Whether the connection can take another request.
bool HttpServer::ServeRequest(SocketStream& aStream)
{
  Progress progress;
  bool isClosing = mAdmission.IsLeaving();
  bool isClosedByClient = false;
  aStream.BeginRequest();
  bool ok = process_request(
    aStream, isClosing, isClosedByClient, [&](Request& aRequest) {
      Admit(aRequest, progress);
      aStream.BeginBody();
    });
  // Before the answer leaves: a client that has it may connect again at once
  // and must find this connection idle.
  bool open = mConnections.MarkIdle(aStream.socket());
  ok = aStream.Flush() && ok;
  if (progress.mEntered) {
    mAdmission.Leave();
  }
  return ok && open && !isClosing && !isClosedByClient && progress.mAccepted &&
         !aStream.Failed();
}

// Runs between the headers of a request and its body.
void HttpServer::Admit(Request& aRequest, Progress& aProgress)
{
  // Answers are sent whole and uncompressed.
  aRequest.headers.erase("Accept-Encoding");
  aRequest.headers.erase("Range");
  aRequest.ranges.clear();
  // The library reads a body without a length until the connection ends.
  if (!aRequest.has_header("Content-Length") &&
      !aRequest.has_header("Transfer-Encoding")) {
    aRequest.set_header("Content-Length", "0");
  }
  Refusal refusal = Examine(aRequest);
  if (refusal == Refusal::eNone && IsWork(aRequest.path)) {
    aProgress.mEntered = mAdmission.TryEnter();
    refusal = aProgress.mEntered ? Refusal::eNone : Refusal::eShuttingDown;
  }
  aRequest.headers.erase(kRefusalHeader);
  aProgress.mAccepted = refusal == Refusal::eNone;
  if (!aProgress.mAccepted) {
    aRequest.set_header(kRefusalHeader,
                        std::to_string(static_cast<int>(refusal)));
    aRequest.headers.erase("Connection");
    aRequest.set_header("Connection", "close");
  }
}

} // namespace flamingoloom::frontend::internal
