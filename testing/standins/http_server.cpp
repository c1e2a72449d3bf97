#include "testing/standins/http_server.h"

#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <functional>
#include <limits>
#include <mutex>
#include <vector>

#include <sys/socket.h>

namespace flamingoloom::standins {
namespace {

// Thread pool with one thread for each open connection, up to a maximum, which
// starts threads as connections arrive. The library's own pool starts all of
// its threads at once and has too few for connections that are kept alive.
class ConnectionThreadPool : public httplib::TaskQueue
{
public:
  explicit ConnectionThreadPool(std::size_t aMaxThreads)
    : mMaxThreads(aMaxThreads)
  {
  }

  void enqueue(std::function<void()> aJob) override // NOLINT
  {
    std::lock_guard lock(mMutex);
    mJobs.push_back(std::move(aJob));
    if (mJobs.size() > mIdleThreads && mThreads.size() < mMaxThreads) {
      mThreads.emplace_back([this] { RunJobs(); });
    }
    mChanged.notify_one();
  }

  void shutdown() override // NOLINT
  {
    {
      std::lock_guard lock(mMutex);
      mIsShutDown = true;
    }
    mChanged.notify_all();
    for (std::thread& thread : mThreads) {
      thread.join();
    }
  }

private:
  void RunJobs()
  {
    std::unique_lock lock(mMutex);
    while (true) {
      ++mIdleThreads;
      mChanged.wait(lock, [&] { return mIsShutDown || !mJobs.empty(); });
      --mIdleThreads;
      if (mJobs.empty()) {
        return;
      }
      auto job = std::move(mJobs.front());
      mJobs.pop_front();
      lock.unlock();
      job();
      lock.lock();
    }
  }

  const std::size_t mMaxThreads;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<std::function<void()>> mJobs;
  std::vector<std::thread> mThreads;
  std::size_t mIdleThreads = 0;
  bool mIsShutDown = false;
};

int HttpStatusOf(base::ErrorCode aCode)
{
  switch (aCode) {
    case base::ErrorCode::eInvalid:
      return 400;
    case base::ErrorCode::eNotFound:
      return 404;
    case base::ErrorCode::eUnavailable:
      return 503;
    default:
      return 409;
  }
}

} // namespace

HttpServer::HttpServer(int aMaxConnections)
{
  mServer.new_task_queue = [aMaxConnections] {
    return new ConnectionThreadPool(aMaxConnections);
  };
  mServer.set_tcp_nodelay(true);
  mServer.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
  // Sets only SO_REUSEADDR. The library's default sets SO_REUSEPORT, with which
  // two servers can listen on one port.
  mServer.set_socket_options([this](int aSocket) {
    int on = 1;
    ::setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    mSocket = aSocket;
  });
  mServer.set_pre_routing_handler([this](const auto&, auto&) {
    ++mPendingRequests;
    return httplib::Server::HandlerResponse::Unhandled;
  });
  // The library calls the logger after it has sent the response.
  mServer.set_logger([this](const auto&, const auto&) { --mPendingRequests; });
}

HttpServer::~HttpServer()
{
  mServer.stop();
  if (mListener.joinable()) {
    mListener.join();
  }
}

base::Expected<std::string> HttpServer::Listen(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  const std::string host = aAddress.substr(0, colon);
  int port = colon == std::string::npos
               ? 0
               : std::atoi(aAddress.c_str() + colon + 1); // NOLINT
  if (port == 0) {
    port = mServer.bind_to_any_port(host);
  } else if (!mServer.bind_to_port(host, port)) {
    port = -1;
  }
  if (port < 0) {
    return base::MakeError(
      base::ErrorCode::eUnavailable, "listen", aAddress, "cannot bind");
  }
  // Raises the backlog: the library's default of 5 drops connections that
  // arrive in a burst.
  ::listen(mSocket, SOMAXCONN);
  mListener = std::thread([this] { mServer.listen_after_bind(); });
  // Waits until the server is running, because stop() has no effect before.
  while (!mServer.is_running()) {
    std::this_thread::yield();
  }
  return host + ":" + std::to_string(port);
}

void Respond(httplib::Response& aResponse,
             const nlohmann::json& aBody,
             int aStatus)
{
  aResponse.status = aStatus;
  aResponse.set_content(aBody.dump(), "application/json");
}

void RespondWithError(httplib::Response& aResponse, const base::Error& aError)
{
  aResponse.status = HttpStatusOf(aError.mCode);
  aResponse.set_content(platform::EncodeError(aError), "application/json");
}

long NumberParameter(const httplib::Request& aRequest, const std::string& aName)
{
  return std::strtol(aRequest.get_param_value(aName).c_str(), nullptr, 10);
}

} // namespace flamingoloom::standins
