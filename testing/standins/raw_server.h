// TCP server for tests that sends arbitrary bytes, so that a test can send
// malformed or incomplete HTTP responses.
#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace flamingoloom::standins {

class RawServer
{
public:
  // One accepted connection, as seen by the function that serves it.
  class Peer
  {
  public:
    explicit Peer(int aSocket)
      : mSocket(aSocket)
    {
    }

    // Reads and returns the next HTTP request with its body. Returns an empty
    // string if the client has closed the connection.
    std::string ReadRequest() const;
    // Sends aText. Returns false if the connection has been closed.
    bool Write(const std::string& aText) const;
    // Shuts down the connection in both directions before it returns.
    void Close() const;
    // Makes the later close of the connection send a TCP reset.
    void Reset() const;
    // Blocks until the client has closed the connection.
    void WaitForClose() const;

  private:
    int mSocket;
  };

  // Calls aServe on a separate thread for each connection and closes the
  // connection when aServe returns. aServe must return once the client has
  // closed the connection.
  explicit RawServer(std::function<void(const Peer&)> aServe);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  const std::string& Address() const { return mAddress; }
  // Returns the number of connections accepted so far.
  int Connections() const;

private:
  const std::function<void(const Peer&)> mServe;
  std::string mAddress;
  int mListener;
  mutable std::mutex mMutex;
  std::vector<std::thread> mConnections;
  std::thread mAcceptor;
};

// Returns a complete HTTP response with the given status and body.
std::string MakeHttpResponse(int aStatus, const std::string& aBody);

// An address that refuses connections during the lifetime of this object.
class RefusingAddress
{
public:
  RefusingAddress();
  ~RefusingAddress();
  RefusingAddress(const RefusingAddress&) = delete;
  RefusingAddress& operator=(const RefusingAddress&) = delete;

  const std::string& Address() const { return mAddress; }

private:
  std::string mAddress;
  int mSocket;
};

// An address that does not respond to connection attempts, like a host that is
// down, during the lifetime of this object.
class UnresponsiveAddress
{
public:
  UnresponsiveAddress();
  ~UnresponsiveAddress();
  UnresponsiveAddress(const UnresponsiveAddress&) = delete;
  UnresponsiveAddress& operator=(const UnresponsiveAddress&) = delete;

  const std::string& Address() const { return mAddress; }

private:
  std::string mAddress;
  // The listening socket, and sockets whose connections fill its queue.
  std::vector<int> mSockets;
};

} // namespace flamingoloom::standins
