#include "flamingoloom/cli/fake_instance.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <system_error>

#include <fmt/format.h>

namespace flamingoloom::cli {
namespace {

std::string LoopbackAddress(int aPort)
{
  return fmt::format("127.0.0.1:{}", aPort);
}

// Returns a socket that is bound to a free loopback port, and sets aPort to the
// port.
int BindToFreePort(int& aPort)
{
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* genericAddress = reinterpret_cast<sockaddr*>(&address);
  if (descriptor < 0 || bind(descriptor, genericAddress, size) != 0 ||
      getsockname(descriptor, genericAddress, &size) != 0) {
    throw std::system_error(errno, std::generic_category(), "bind");
  }
  aPort = ntohs(address.sin_port);
  return descriptor;
}

} // namespace

FakeInstance::FakeInstance()
{
  auto handle = [this](const auto& aRequest, auto& aResponse) {
    Handle(aRequest, aResponse);
  };
  mServer.Get(".*", handle);
  mServer.Post(".*", handle);
  mServer.Put(".*", handle);
  mServer.Delete(".*", handle);
  mPort = mServer.bind_to_any_port("127.0.0.1");
  mThread = std::thread([this] { mServer.listen_after_bind(); });
  while (!mServer.is_running()) {
    std::this_thread::yield();
  }
}

FakeInstance::~FakeInstance()
{
  mServer.stop();
  mThread.join();
}

std::string FakeInstance::Address() const
{
  return LoopbackAddress(mPort);
}

void FakeInstance::AddResponse(int aStatus, nlohmann::json aBody)
{
  std::lock_guard lock(mMutex);
  mResponses.push_back({ aStatus, aBody.dump() });
}

std::vector<ReceivedRequest> FakeInstance::Requests() const
{
  std::lock_guard lock(mMutex);
  return mRequests;
}

void FakeInstance::Handle(const httplib::Request& aRequest,
                          httplib::Response& aResponse)
{
  std::this_thread::sleep_for(mDelay);
  std::lock_guard lock(mMutex);
  const auto next = std::min(mRequests.size(), mResponses.size() - 1);
  mRequests.push_back({ aRequest.method,
                        aRequest.target,
                        aRequest.body,
                        aRequest.get_header_value("Idempotency-Key"),
                        aRequest.get_header_value("Authorization") });
  aResponse.status = mResponses[next].mStatus;
  aResponse.set_content(mResponses[next].mBody, "application/json");
}

UnresponsiveInstance::UnresponsiveInstance()
{
  mSocket = BindToFreePort(mPort);
  listen(mSocket, SOMAXCONN);
  mThread = std::thread([this] { AcceptConnections(); });
}

UnresponsiveInstance::~UnresponsiveInstance()
{
  shutdown(mSocket, SHUT_RDWR);
  mThread.join();
  close(mSocket);
}

std::string UnresponsiveInstance::Address() const
{
  return LoopbackAddress(mPort);
}

void UnresponsiveInstance::AcceptConnections()
{
  while (true) {
    int connection = accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      return;
    }
    std::array<char, 4096> buffer{};
    if (recv(connection, buffer.data(), buffer.size(), 0) > 0) {
      ++mRequests;
    }
    close(connection);
  }
}

std::string UnreachableAddress()
{
  int port = 0;
  close(BindToFreePort(port));
  return LoopbackAddress(port);
}

} // namespace flamingoloom::cli
