#include "flamingoloom/frontend/http_server.h"

#include <algorithm>
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

// The HTTP library listens with a backlog of 5. In a burst, connections beyond
// the backlog are delayed by 1 s, until their SYN packet is retransmitted.
constexpr int kListenBacklog = 1024;

// How long the rest of a rejected request is read before the connection is
// closed. Closing with unread input resets the connection, and the reset could
// discard the response before the client has read it.
constexpr std::chrono::milliseconds kLingerTimeout(500);

// Internal header that passes the refusal of a request from Admit() to the
// routing handler. Admit() removes a header of this name that the client sent.
constexpr const char* kRefusalHeader = "Flamingoloom-Refusal";

struct ListenAddress
{
  std::string mHost;
  int mPort = 0;
};

std::optional<ListenAddress> ParseListenAddress(const std::string& aText)
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
  in6_addr parsed{};
  bool isNumeric = inet_pton(AF_INET, host.c_str(), &parsed) == 1 ||
                   inet_pton(AF_INET6, host.c_str(), &parsed) == 1;
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

void WriteReply(const ApiReply& aReply, Response& aResponse)
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

// Returns the reply for a request that the HTTP library itself rejected.
ApiReply LibraryErrorReply(int aStatus)
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

// Responds with 503 to a connection beyond the limit, without reading from it.
void RejectConnection(int aSocket)
{
  ApiReply reply =
    ErrorReply({ ErrorCode::eBusy,
                 "accept connection",
                 "instance",
                 "too many connections; the request was not executed",
                 "" });
  std::string response =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
    "Retry-After: 1\r\nContent-Type: application/json\r\nContent-Length: " +
    std::to_string(reply.mBody.size()) + "\r\n\r\n" + reply.mBody;
  (void)send(
    aSocket, response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  shutdown(aSocket, SHUT_WR);
}

// Reads and discards input until the client has closed its side, for about
// kLingerTimeout.
void LingerBeforeClose(int aSocket)
{
  using Clock = std::chrono::steady_clock;
  shutdown(aSocket, SHUT_WR);
  Clock::time_point deadline = Clock::now() + kLingerTimeout;
  pollfd descriptor{ aSocket, POLLIN, 0 };
  char buffer[4096];
  ssize_t count = 1;
  while (count > 0 && Clock::now() < deadline) {
    int ready = poll(&descriptor, 1, static_cast<int>(kLingerTimeout.count()));
    count = ready > 0 ? recv(aSocket, buffer, sizeof(buffer), MSG_DONTWAIT) : 0;
  }
}

void SetNoDelay(int aSocket)
{
  int enabled = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

} // namespace

HttpServer::HttpServer(const FrontendSettings& aSettings,
                       Admission& aAdmission,
                       RequestHandler aHandler)
  : mSettings(aSettings)
  , mAdmission(aAdmission)
  , mHandler(std::move(aHandler))
  , mConnections(aSettings.mThreads)
  , mRequestMemory(
      // The longest request has room if it is the only one.
      std::max(aSettings.mMaxRequestMemory,
               (kMemoryPerReceivedByte + kMemoryPerDecodedByte) *
                 (aSettings.mMaxBodyBytes + aSettings.mMaxHeaderBytes)))
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
  std::optional<ListenAddress> address = ParseListenAddress(mSettings.mListen);
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
  // stop() has no effect before the server accepts connections, so the
  // destructor must not run earlier.
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
  // By default the library sets SO_REUSEPORT, which lets a second process bind
  // the same port.
  set_socket_options([](socket_t aSocket) {
    int enabled = 1;
    setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  });
  set_payload_max_length(mSettings.mMaxBodyBytes);
  // The library only announces these two limits to the client. SocketStream
  // enforces the timeout; the number of requests per connection is not limited.
  set_keep_alive_timeout(
    std::chrono::duration_cast<std::chrono::seconds>(mSettings.mIdleTimeout)
      .count());
  set_keep_alive_max_count(1000000);
  new_task_queue = [this]() {
    mAccepting.set_value();
    // The additional thread rejects connections beyond the limit.
    return new httplib::ThreadPool(mSettings.mThreads + 1);
  };
}

void HttpServer::RegisterHandlers()
{
  // All paths go to one handler, and the router matches them: the library would
  // try the regular expression of each route in turn.
  auto handle = [this](const Request& aRequest, Response& aResponse) {
    const auto bytes = aRequest.body.size();
    CountedMemory decoded(mRequestMemory);
    if (!decoded.TryAdd(kMemoryPerDecodedByte * bytes,
                        bytes <= kOrdinaryRequestBytes)) {
      WriteReply(ErrorReply({ ErrorCode::eBusy,
                              "read request",
                              "instance",
                              "too many large requests; this one was not "
                              "executed",
                              "body" }),
                 aResponse);
      return;
    }
    WriteReply(mHandler(ToApiRequest(aRequest)), aResponse);
  };
  Get(".*", handle);
  Post(".*", handle);
  Put(".*", handle);
  Patch(".*", handle);
  Delete(".*", handle);
  Options(".*", handle);
  set_pre_routing_handler([](const Request& aRequest, Response& aResponse) {
    std::string text = aRequest.get_header_value(kRefusalHeader);
    if (text.empty()) {
      return HandlerResponse::Unhandled;
    }
    auto refusal = static_cast<Refusal>(text.front() - '0');
    WriteReply(ErrorReply(RefusalError(refusal)), aResponse);
    return HandlerResponse::Handled;
  });
  set_error_handler([](const Request&, Response& aResponse) {
    if (aResponse.body.empty()) {
      WriteReply(LibraryErrorReply(aResponse.status), aResponse);
    }
  });
  set_exception_handler(
    [](const Request&, Response& aResponse, std::exception_ptr) {
      WriteReply(ErrorReply({ ErrorCode::eFailed,
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
    RejectConnection(aSocket);
  }
  close(aSocket);
  return true;
}

void HttpServer::ServeConnection(int aSocket)
{
  SetNoDelay(aSocket);
  SocketStream stream(aSocket, mSettings, mRequestMemory);
  bool open = mConnections.MarkIdle(aSocket);
  while (open && stream.WaitForRequest()) {
    mConnections.MarkBusy(aSocket);
    if (!ServeRequest(stream)) {
      LingerBeforeClose(aSocket);
      return;
    }
  }
}

// Returns whether the connection can receive another request.
bool HttpServer::ServeRequest(SocketStream& aStream)
{
  AdmissionResult admitted;
  bool isClosing = mAdmission.IsShuttingDown();
  bool isClosedByClient = false;
  aStream.BeginRequest();
  bool ok = process_request(
    aStream, isClosing, isClosedByClient, [&](Request& aRequest) {
      Admit(aRequest, admitted);
      aStream.BeginBody();
    });
  // Marks the connection as idle before the response is sent: a client that has
  // received the response may open another connection at once, and this one
  // must then be idle, so that it can be evicted.
  bool open = mConnections.MarkIdle(aStream.socket());
  ok = aStream.Flush() && ok;
  aStream.EndRequest();
  if (admitted.mCounted) {
    mAdmission.EndRequest();
  }
  return ok && open && !isClosing && !isClosedByClient && admitted.mAccepted &&
         !aStream.Failed();
}

// Called after the headers of a request have been parsed and before its body is
// read.
void HttpServer::Admit(Request& aRequest, AdmissionResult& aResult)
{
  // Responses are always sent complete and uncompressed.
  aRequest.headers.erase("Accept-Encoding");
  aRequest.headers.erase("Range");
  aRequest.ranges.clear();
  // Without a length, the library would read the body until the connection is
  // closed.
  if (!aRequest.has_header("Content-Length") &&
      !aRequest.has_header("Transfer-Encoding")) {
    aRequest.set_header("Content-Length", "0");
  }
  Refusal refusal = CheckHeaders(aRequest);
  if (refusal == Refusal::eNone && IsApiPath(aRequest.path)) {
    aResult.mCounted = mAdmission.TryBeginRequest();
    refusal = aResult.mCounted ? Refusal::eNone : Refusal::eShuttingDown;
  }
  aRequest.headers.erase(kRefusalHeader);
  aResult.mAccepted = refusal == Refusal::eNone;
  if (!aResult.mAccepted) {
    aRequest.set_header(kRefusalHeader,
                        std::to_string(static_cast<int>(refusal)));
    aRequest.headers.erase("Connection");
    aRequest.set_header("Connection", "close");
  }
}

} // namespace flamingoloom::frontend::internal
