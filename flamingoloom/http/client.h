// An asynchronous HTTP/1.1 client with a pool of connections for each peer.
//
//   Client client(loop, {});
//   client.Call("10.0.0.1:80", request, 500ms, [](auto aResponse) { ... });
//
// A call that fails before its request was written ends with eUnavailable: it
// had no effect. After that it ends with eOutcomeUnknown. A connection on
// which a call has timed out is closed, so a connection that went silent
// costs one call. Responses arrive on the loop's thread. Not thread-safe.
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

struct ClientOptions
{
  // Idle connections kept for each peer. Two cover a long poll beside orders;
  // more are only needed in bursts.
  int mMaxIdlePerPeer = 4;
  // Idle connections older than this are not used again. It stays below the
  // idle time after which common servers close a connection (5 s and more).
  base::Duration mMaxIdleTime = std::chrono::milliseconds(4500);
  // Larger responses end the call. The platform's rows come in pages of 1 MB.
  std::size_t mMaxBodyBytes = std::size_t{ 4 } * 1024 * 1024;
};

struct ClientCounters
{
  unsigned long mConnections = 0;
};

class Client
{
public:
  using Callback = std::function<void(base::Expected<Response>)>;

  // Told about each call that ended: the peer, its time, whether an answer
  // came.
  using Observer =
    std::function<void(const std::string&, base::Duration, bool)>;

  Client(boost::asio::io_context& aLoop,
         ClientOptions aOptions,
         Observer aObserver = {});
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // aPeer is "IP:PORT". aTimeout covers connecting, sending and the whole
  // response. aCallback is called once, never from within Call.
  void Call(const std::string& aPeer,
            Request aRequest,
            base::Duration aTimeout,
            Callback aCallback);

  const ClientCounters& Counters() const;

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace flamingoloom::http
