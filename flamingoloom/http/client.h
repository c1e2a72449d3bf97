// An asynchronous HTTP/1.1 client with a pool of connections for each peer.
//
//   Client client(loop, {}, clock);
//   client.Call("10.0.0.1:80", request, 500ms, [](auto aResponse) { ... });
//
// A call that fails before the client starts to write its request returns
// eUnavailable: the request had no effect. A call that fails later returns
// eOutcomeUnknown. The client closes a connection on which a call has timed
// out, so a stalled connection fails only one call. Callbacks run on the
// loop's thread. Not thread-safe.
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
  // Maximum idle connections in the pool of each peer. A long poll and
  // concurrent commands need two; bursts need more.
  int mMaxIdlePerPeer = 4;
  // Maximum number of connections to all peers. At the limit a call closes the
  // connection that has been idle for the longest time. If none is idle, the
  // call waits, which counts towards its timeout.
  int mMaxConnections = 2900;
  // A connection that has been idle for longer is closed. The limit is below
  // the idle timeout of common servers (5 s or more), which close the
  // connection and would fail the next request.
  base::Duration mMaxIdleTime = std::chrono::milliseconds(4500);
  // Longest time that a response may take once it has begun. A peer that sends
  // a few bytes at a time thus cannot hold a call for ever.
  base::Duration mMaxTransferTime = std::chrono::seconds(10);
  // A response with a larger header, chunk extension or trailer fails the call.
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } * 1024;
  // A response with a larger body fails the call. The report of a backend
  // server lists at most 500 ends, each with some 100 bytes, and its tasks.
  std::size_t mMaxBodyBytes = std::size_t{ 1024 } * 1024;
};

struct ClientCounters
{
  unsigned long mConnectionAttempts = 0;
  // Connections that are open or being opened.
  int mOpenConnections = 0;
};

class Client
{
public:
  using Callback = std::function<void(base::Expected<Response>)>;

  // Returns the current time of the runtime.
  using Clock = std::function<base::Time()>;

  // Called once for each completed call with the peer, the duration of the
  // call, and whether a response was received.
  using Observer =
    std::function<void(const std::string&, base::Duration, bool)>;

  // Tells whether a request may still be sent.
  using MaySend = std::function<bool()>;

  Client(boost::asio::io_context& aLoop,
         ClientOptions aOptions,
         Clock aClock,
         Observer aObserver = {});
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends aRequest to aPeer ("IP:PORT"). aTimeout covers the time to connect,
  // to send the request and until the response begins; after that, the time
  // between two parts of the response, up to ClientOptions::mMaxTransferTime
  // for all of it. No byte of the request is written once it has passed by the
  // clock, also if the process stood still meanwhile. If aMaySend is set, it is
  // called right before the request is written, which may be after a wait for a
  // connection; if it returns false, the call fails with eUnavailable.
  // aCallback is called
  // exactly once, never from within Call, with the response or an error:
  // eInvalid for a malformed aPeer, eUnavailable, or eOutcomeUnknown.
  void Call(const std::string& aPeer,
            Request aRequest,
            base::Duration aTimeout,
            Callback aCallback,
            MaySend aMaySend = {});

  // Sets the limit of response bodies of a peer, in place of
  // ClientOptions::mMaxBodyBytes.
  void SetMaxBodyBytes(const std::string& aPeer, std::size_t aBytes);

  // Returns whether CallOnOpen would find a connection now.
  bool HasOpen(const std::string& aPeer, base::Time aOpenedBy);
  // Like Call, but sends the request only on an idle connection that was opened
  // at aOpenedBy or before. Without one the call fails with eUnavailable. If a
  // process has responded to a request that was sent at aOpenedBy, then no
  // process that began later gets this one.
  void CallOnOpen(const std::string& aPeer,
                  Request aRequest,
                  base::Duration aTimeout,
                  base::Time aOpenedBy,
                  Callback aCallback);

  const ClientCounters& Counters() const;

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace flamingoloom::http
