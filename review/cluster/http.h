// Blocking HTTP/1.1 over loopback, a thread for each connection.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace cluster {

struct Request
{
  std::string mMethod;
  std::string mTarget;
  std::map<std::string, std::string> mHeaders; // names in lower case
  std::string mBody;
};

struct Response
{
  int mStatus = 200;
  std::string mBody;
  // Closes the connection without a response.
  bool mDrop = false;
};

class HttpServer
{
public:
  // aHandle runs on the thread of its connection and may block.
  using Handler = std::function<Response(const Request&)>;

  explicit HttpServer(Handler aHandle);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Listens, from the second time on at the same port.
  void Start();
  // Closes the port and resets all connections, as the end of a process does.
  void Crash();
  std::string Address() const;

private:
  struct State;
  std::shared_ptr<State> mState;
  int mPort = 0;
};

// Returns nothing after a timeout or a broken connection.
std::optional<Response> Call(const std::string& aAddress,
                             const std::string& aMethod,
                             const std::string& aTarget,
                             const std::map<std::string, std::string>& aHeaders,
                             const std::string& aBody,
                             int aTimeoutMs);

// A free port of 127.0.0.1.
int FreePort();

} // namespace cluster
