#include "review/cluster/http.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace cluster {
namespace {

sockaddr_in Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aChar) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
  });
  return aText;
}

// Reads a message: its first line, its headers and its body. Returns false at
// the end of the connection. aUntil is a time after which reading is given up.
using Clock = std::chrono::steady_clock;
bool ReadMessage(int aSocket,
                 std::string& aBuffer,
                 std::optional<Clock::time_point> aUntil,
                 std::string& aFirstLine,
                 std::map<std::string, std::string>& aHeaders,
                 std::string& aBody)
{
  const auto more = [&] {
    if (aUntil) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        *aUntil - Clock::now());
      pollfd wait{ aSocket, POLLIN, 0 };
      if (left.count() <= 0 ||
          poll(&wait, 1, static_cast<int>(left.count())) <= 0) {
        return false;
      }
    }
    char bytes[16384];
    const auto count = recv(aSocket, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    aBuffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  const std::string head = aBuffer.substr(0, end + 2);
  aBuffer.erase(0, end + 4);
  aHeaders.clear();
  std::size_t from = head.find("\r\n");
  aFirstLine = head.substr(0, from);
  from += 2;
  while (from < head.size()) {
    const auto to = head.find("\r\n", from);
    const auto line = head.substr(from, to - from);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      aHeaders[Lower(line.substr(0, colon))] = value;
    }
    from = to + 2;
  }
  const auto length = aHeaders.find("content-length");
  const std::size_t bytes =
    length == aHeaders.end() ? 0 : std::stoul(length->second);
  while (aBuffer.size() < bytes) {
    if (!more()) {
      return false;
    }
  }
  aBody = aBuffer.substr(0, bytes);
  aBuffer.erase(0, bytes);
  return true;
}

bool WriteAll(int aSocket, const std::string& aText)
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

void SetNoDelay(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

struct HttpServer::State
{
  Handler mHandle;
  std::mutex mMutex;
  int mListener = -1;
  std::set<int> mConnections;

  void Serve(int aSocket)
  {
    std::string buffer;
    Request request;
    std::string line;
    while (ReadMessage(
      aSocket, buffer, std::nullopt, line, request.mHeaders, request.mBody)) {
      const auto space = line.find(' ');
      request.mMethod = line.substr(0, space);
      request.mTarget =
        line.substr(space + 1, line.find(' ', space + 1) - space - 1);
      const auto response = mHandle(request);
      if (response.mDrop ||
          !WriteAll(aSocket,
                    "HTTP/1.1 " + std::to_string(response.mStatus) +
                      " -\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(response.mBody.size()) + "\r\n\r\n" +
                      response.mBody)) {
        break;
      }
    }
    const std::lock_guard lock(mMutex);
    mConnections.erase(aSocket);
    close(aSocket);
  }
};

HttpServer::HttpServer(Handler aHandle)
  : mState(std::make_shared<State>())
{
  mState->mHandle = std::move(aHandle);
}

HttpServer::~HttpServer()
{
  Crash();
}

void HttpServer::Start()
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (mPort == 0) {
    mPort = FreePort();
  }
  auto address = Loopback(mPort);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0 ||
      listen(listener, 512) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  {
    const std::lock_guard lock(mState->mMutex);
    mState->mListener = listener;
  }
  std::thread([state = mState, listener] {
    for (;;) {
      const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        return;
      }
      SetNoDelay(socket);
      {
        const std::lock_guard lock(state->mMutex);
        if (state->mListener != listener) {
          close(socket);
          continue;
        }
        state->mConnections.insert(socket);
      }
      std::thread([state, socket] { state->Serve(socket); }).detach();
    }
  }).detach();
}

void HttpServer::Crash()
{
  const std::lock_guard lock(mState->mMutex);
  if (mState->mListener >= 0) {
    shutdown(mState->mListener, SHUT_RDWR);
    close(mState->mListener);
    mState->mListener = -1;
  }
  for (const int socket : mState->mConnections) {
    const linger reset{ 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    shutdown(socket, SHUT_RDWR);
  }
}

std::string HttpServer::Address() const
{
  return "127.0.0.1:" + std::to_string(mPort);
}

std::optional<Response> Call(const std::string& aAddress,
                             const std::string& aMethod,
                             const std::string& aTarget,
                             const std::map<std::string, std::string>& aHeaders,
                             const std::string& aBody,
                             int aTimeoutMs)
{
  const auto until = Clock::now() + std::chrono::milliseconds(aTimeoutMs);
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = Loopback(std::stoi(aAddress.substr(aAddress.find(':') + 1)));
  std::optional<Response> result;
  if (connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
      0) {
    SetNoDelay(socket);
    std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
    for (const auto& [name, value] : aHeaders) {
      text.append(name).append(": ").append(value).append("\r\n");
    }
    text +=
      "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    std::string buffer;
    std::string line;
    std::map<std::string, std::string> headers;
    Response response;
    if (WriteAll(socket, text) &&
        ReadMessage(socket, buffer, until, line, headers, response.mBody)) {
      response.mStatus = std::stoi(line.substr(line.find(' ') + 1));
      result = response;
    }
  }
  close(socket);
  return result;
}

int FreePort()
{
  // Below the ports of outgoing connections.
  static std::atomic<int> sNext{ static_cast<int>(getpid()) * 97 };
  for (;;) {
    const int port = 18000 + sNext++ % 14000;
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = Loopback(port);
    const bool isFree =
      bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(probe);
    if (isFree) {
      return port;
    }
  }
}

} // namespace cluster
