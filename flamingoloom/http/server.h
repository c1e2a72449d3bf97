// An asynchronous HTTP/1.1 server on one event loop.
//
//   Server server(loop, limits, [](const Request& aRequest, Responder aDone) {
//     aDone({ 200 });
//   });
//   server.Listen("10.0.0.1:80");
//
// The handler is called on the loop's thread and must call its responder
// once, then or later. A connection serves one request at a time. Not
// thread-safe.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/http/message.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace flamingoloom::http {

struct ServerLimits
{
  // Larger headers are answered with 431, larger bodies with 413.
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 256 } * 1024;
  // From the first byte of a request to its last.
  base::Duration mRequestTimeout = std::chrono::seconds(3);
  // Without any byte of a further request.
  base::Duration mIdleTimeout = std::chrono::seconds(15);

  friend bool operator==(const ServerLimits&, const ServerLimits&) = default;
};

class Server
{
public:
  using Responder = std::function<void(Response)>;
  using Handler = std::function<void(const Request&, Responder)>;

  Server(boost::asio::io_context& aLoop,
         ServerLimits aLimits,
         Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // aAddress is "IP:PORT".
  base::Expected<void> Listen(const std::string& aAddress);

  // The port that Listen bound, for addresses with port 0.
  int Port() const;

  // Applies to requests that begin after the call.
  void SetLimits(ServerLimits aLimits);

  // From now on each response closes its connection.
  void CloseAfterResponses();

  // Requests that were read and are not yet answered in full.
  int OpenRequests() const;

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace flamingoloom::http
