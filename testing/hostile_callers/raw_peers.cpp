#include "testing/hostile_callers/raw_peers.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <string_view>
#include <utility>

#include <doctest/doctest.h>

namespace flamingoloom::testing::hostile_callers {
namespace {

constexpr int kSendTimeoutS = 5;

sockaddr_in Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void SetSendTimeout(int aSocket)
{
  const timeval timeout{ kSendTimeoutS, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
}

bool SendAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const auto count =
      send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

} // namespace

RawCaller::RawCaller(int aPort, int aReceiveBytes)
  : mSocket(socket(AF_INET, SOCK_STREAM, 0))
{
  if (aReceiveBytes > 0) {
    setsockopt(
      mSocket, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof aReceiveBytes);
  }
  const auto address = Loopback(aPort);
  REQUIRE(connect(mSocket,
                  reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) == 0);
  SetSendTimeout(mSocket);
}

RawCaller::RawCaller(RawCaller&& aOther) noexcept
  : mSocket(std::exchange(aOther.mSocket, -1))
{
}

RawCaller::~RawCaller()
{
  if (mSocket >= 0) {
    close(mSocket);
  }
}

bool RawCaller::Send(const std::string& aText)
{
  return SendAll(mSocket, aText);
}

void RawCaller::Repeat(const std::string& aText, std::size_t aBytes)
{
  for (std::size_t sent = 0; sent < aBytes; sent += aText.size()) {
    if (!Send(aText)) {
      return;
    }
  }
}

KeepAliveCaller::KeepAliveCaller(int aPort)
  : mPort(aPort)
{
}

KeepAliveCaller::~KeepAliveCaller()
{
  Close();
}

bool KeepAliveCaller::Connect()
{
  if (mSocket >= 0) {
    return true;
  }
  mSocket = socket(AF_INET, SOCK_STREAM, 0);
  const int enabled = 1;
  setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  const timeval timeout{ kSendTimeoutS, 0 };
  setsockopt(mSocket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  SetSendTimeout(mSocket);
  const auto address = Loopback(mPort);
  if (connect(mSocket,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    Close();
  }
  return mSocket >= 0;
}

void KeepAliveCaller::Close()
{
  if (mSocket >= 0) {
    close(std::exchange(mSocket, -1));
  }
}

int KeepAliveCaller::Call(const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aKey,
                          const std::string& aBody)
{
  const auto request =
    aMethod + " " + aPath + " HTTP/1.1\r\nHost: shop.example\r\nKey: " + aKey +
    "\r\nDeadline-Ms: 3000\r\nContent-Length: " + std::to_string(aBody.size()) +
    "\r\n\r\n" + aBody;
  const int status =
    Connect() && SendAll(mSocket, request) ? ReadResponse() : 0;
  if (status == 0) {
    Close();
  }
  return status;
}

void KeepAliveCaller::SendRaw(const std::string& aText, int aCount)
{
  for (int i = 0; i < aCount && Connect(); ++i) {
    if (!SendAll(mSocket, aText)) {
      Close();
      return;
    }
  }
}

int KeepAliveCaller::ReadResponse()
{
  static constexpr std::string_view kLength = "Content-Length: ";
  std::string response;
  std::size_t needed = 0;
  while (needed == 0 || response.size() < needed) {
    char part[4096];
    const auto count = recv(mSocket, part, sizeof part, 0);
    if (count <= 0) {
      return 0;
    }
    response.append(part, static_cast<std::size_t>(count));
    const auto headEnd = response.find("\r\n\r\n");
    if (needed == 0 && headEnd != std::string::npos) {
      const auto length = response.find(kLength);
      needed =
        headEnd + 4 +
        (length < headEnd ? std::stoul(response.substr(length + kLength.size()))
                          : 0);
    }
  }
  return std::stoi(response.substr(std::string_view("HTTP/1.1 ").size()));
}

UnresponsiveServer::UnresponsiveServer()
  : mRuntime("/dev/null")
  , mServer(std::make_shared<review::HttpServer>(
      mRuntime.Loop(),
      [this](const review::Request& aRequest,
             const review::Responder& aRespond) {
        if (aRequest.mTarget == "/run-start") {
          // The connection of a request without a response is never closed.
          constexpr double kFarTooLateMs = 5000;
          ++mStarts;
          mRuntime.After(kFarTooLateMs, [aRespond] { aRespond({ 503 }); });
          return;
        }
        const review::Json report{
          { "clock-ms", static_cast<std::int64_t>(mRuntime.NowMs()) + 1 },
          { "born", 1 },
          { "running-tasks", review::Json::array() },
          { "finished", review::Json::array() }
        };
        aRespond({ 200, {}, report.dump() });
      }))
{
  mServer->Start();
  mLoop = std::thread([this] {
    const auto work = boost::asio::make_work_guard(mRuntime.Loop());
    mRuntime.Loop().run();
  });
}

UnresponsiveServer::~UnresponsiveServer()
{
  mRuntime.Loop().stop();
  mLoop.join();
}

RawServer::RawServer(std::string aHead, std::string aPart, std::size_t aBytes)
  : mHead(std::move(aHead))
  , mPart(std::move(aPart))
  , mBytes(aBytes)
  , mListener(socket(AF_INET, SOCK_STREAM, 0))
{
  auto address = Loopback(0);
  auto* const any = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof address;
  REQUIRE(bind(mListener, any, size) == 0);
  REQUIRE(listen(mListener, SOMAXCONN) == 0);
  REQUIRE(getsockname(mListener, any, &size) == 0);
  mPort = ntohs(address.sin_port);
  mAccepting = std::thread([this] { Accept(); });
}

RawServer::~RawServer()
{
  shutdown(mListener, SHUT_RDWR);
  mAccepting.join();
  {
    const std::lock_guard lock(mMutex);
    for (const int socket : mSockets) {
      shutdown(socket, SHUT_RDWR);
    }
  }
  for (auto& thread : mThreads) {
    thread.join();
  }
  close(mListener);
}

void RawServer::Accept()
{
  for (;;) {
    const int socket = accept(mListener, nullptr, nullptr);
    if (socket < 0) {
      return;
    }
    const std::lock_guard lock(mMutex);
    mSockets.insert(socket);
    mThreads.emplace_back([this, socket] { Serve(socket); });
  }
}

void RawServer::Serve(int aSocket)
{
  SetSendTimeout(aSocket);
  char request[4096];
  if (recv(aSocket, request, sizeof request, 0) > 0 &&
      SendAll(aSocket, mHead)) {
    std::size_t sent = 0;
    while (sent < mBytes && SendAll(aSocket, mPart)) {
      sent += mPart.size();
    }
    ++mFinished;
  }
  const std::lock_guard lock(mMutex);
  mSockets.erase(aSocket);
  close(aSocket);
}

} // namespace flamingoloom::testing::hostile_callers
