// An asynchronous HTTP/1.1 server on one event loop.
//
//   Server server(loop, limits, [](const Request& aRequest, Responder aDone) {
//     aDone({ 200 });
//   });
//   server.Listen("10.0.0.1:80");
//
// The server calls the handler on the loop's thread. The handler must call its
// responder exactly once on that thread, before it returns or later. A
// connection handles one request at a time. Not thread-safe.
//
// Peers need not be trusted: each part of a request whose size they choose has
// a limit, and so have all connections together. At the limit of memory the
// server gives up the request that takes the most and has not been passed to
// the handler, so that ordinary ones are served beside large ones.
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
  // Larger headers, chunk extensions and trailers are rejected with status 431,
  // larger bodies with 413.
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 256 } * 1024;
  // Maximum time from the first byte of a request to its last.
  base::Duration mRequestTimeout = std::chrono::seconds(3);
  // Maximum time without the first byte of the next request, and maximum time
  // to write a response.
  base::Duration mIdleTimeout = std::chrono::seconds(15);
  // Maximum number of connections. At the limit a new one takes the place of
  // the one that has been idle for the longest time, else of the one that has
  // been sending its request, or has left a response unread, for the longest
  // time; without such a one it is closed.
  int mMaxConnections = 487;
  // Maximum memory, by an upper estimate, that all requests together take until
  // their responses are written. Further ones are rejected with status 503.
  std::size_t mMaxRequestMemory = std::size_t{ 16 } * 1024 * 1024;

  friend bool operator==(const ServerLimits&, const ServerLimits&) = default;
};

struct ServerCounters
{
  int mOpenConnections = 0;
  // Connections that were closed for want of connections, and requests that
  // were given up for want of memory.
  unsigned long mClosedConnections = 0;
  unsigned long mRejectedRequests = 0;
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

  // Binds to aAddress ("IP:PORT") and starts to accept connections. Returns
  // eInvalid for a malformed IP address and eUnavailable if binding fails.
  base::Expected<void> Listen(const std::string& aAddress);

  // Returns the port that Listen bound, which the system chooses if the address
  // has port 0.
  int Port() const;

  // Sets the limits for requests whose reading starts after the call.
  void SetLimits(ServerLimits aLimits);

  // Makes the server close each connection after its next response.
  void CloseAfterResponses();

  // Returns the number of requests that were passed to the handler and whose
  // response has not been written completely.
  int OpenRequests() const;

  const ServerCounters& Counters() const;

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace flamingoloom::http
