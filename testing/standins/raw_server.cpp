#include "testing/standins/raw_server.h"

#include <array>
#include <cstdlib>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace flamingoloom::standins {
namespace {

// Binds a socket to a free port of the loopback interface. Returns the socket
// and sets aAddress.
int BindLoopback(std::string& aAddress)
{
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(socket, generic, length) != 0 ||
      ::getsockname(socket, generic, &length) != 0) {
    std::abort();
  }
  aAddress = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  return socket;
}

} // namespace

std::string RawServer::Peer::ReadRequest() const
{
  const std::string lengthName = "Content-Length: ";
  std::string request;
  std::array<char, 4096> buffer{};
  while (true) {
    if (auto end = request.find("\r\n\r\n"); end != std::string::npos) {
      std::size_t size = end + 4;
      if (auto name = request.find(lengthName); name < end) {
        size += std::stoul(request.substr(name + lengthName.size()));
      }
      if (request.size() >= size) {
        return request;
      }
    }
    const auto read = ::recv(mSocket, buffer.data(), buffer.size(), 0);
    if (read <= 0) {
      return "";
    }
    request.append(buffer.data(), read);
  }
}

bool RawServer::Peer::Write(const std::string& aText) const
{
  return ::send(mSocket, aText.data(), aText.size(), MSG_NOSIGNAL) >= 0;
}

void RawServer::Peer::Close() const
{
  ::shutdown(mSocket, SHUT_RDWR);
}

void RawServer::Peer::Reset() const
{
  const linger option{ .l_onoff = 1, .l_linger = 0 };
  ::setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

void RawServer::Peer::WaitForClose() const
{
  while (!ReadRequest().empty()) {
  }
}

RawServer::RawServer(std::function<void(const Peer&)> aServe)
  : mServe(std::move(aServe))
  , mListener(BindLoopback(mAddress))
{
  ::listen(mListener, SOMAXCONN);
  mAcceptor = std::thread([this] {
    for (int socket = ::accept(mListener, nullptr, nullptr); socket >= 0;
         socket = ::accept(mListener, nullptr, nullptr)) {
      std::lock_guard lock(mMutex);
      mConnections.emplace_back([this, socket] {
        mServe(Peer(socket));
        ::close(socket);
      });
    }
  });
}

RawServer::~RawServer()
{
  ::shutdown(mListener, SHUT_RDWR);
  mAcceptor.join();
  ::close(mListener);
  for (std::thread& connection : mConnections) {
    connection.join();
  }
}

int RawServer::Connections() const
{
  std::lock_guard lock(mMutex);
  return static_cast<int>(mConnections.size());
}

std::string MakeHttpResponse(int aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Status\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

RefusingAddress::RefusingAddress()
  // The socket is bound but does not listen, so the kernel refuses connections.
  : mSocket(BindLoopback(mAddress))
{
}

RefusingAddress::~RefusingAddress()
{
  ::close(mSocket);
}

UnresponsiveAddress::UnresponsiveAddress()
  : mSockets{ BindLoopback(mAddress) }
{
  ::listen(mSockets[0], 0);
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  ::getsockname(mSockets[0], generic, &length);
  // With a backlog of 0 the kernel still queues one connection. The first
  // socket fills the queue; the second and all later attempts get no response.
  for (int i = 0; i < 2; ++i) {
    int socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    (void)::connect(socket, generic, length);
    mSockets.push_back(socket);
  }
}

UnresponsiveAddress::~UnresponsiveAddress()
{
  for (int socket : mSockets) {
    ::close(socket);
  }
}

} // namespace flamingoloom::standins
