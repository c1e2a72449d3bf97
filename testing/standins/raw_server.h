// A TCP server for tests whose answers need not be HTTP.
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
  // One accepted connection.
  class Peer
  {
  public:
    explicit Peer(int aSocket)
      : mSocket(aSocket)
    {
    }

    // The next HTTP request with its body; empty when the client has closed.
    std::string ReadRequest() const;
    // Returns false when the connection has ended.
    bool Write(const std::string& aText) const;
    // The connection has ended when this returns.
    void Close() const;
    // Lets the connection end with a TCP reset instead.
    void Reset() const;
    // Returns when the client has closed.
    void WaitForClose() const;

  private:
    int mSocket;
  };

  // aServe runs in a thread of its own for each connection, which is closed
  // when it returns. It must return when the client has closed.
  explicit RawServer(std::function<void(const Peer&)> aServe);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  const std::string& Address() const { return mAddress; }
  int Connections() const;

private:
  const std::function<void(const Peer&)> mServe;
  std::string mAddress;
  int mListener;
  mutable std::mutex mMutex;
  std::vector<std::thread> mConnections;
  std::thread mAcceptor;
};

// A 200 or other HTTP answer with a whole body.
std::string HttpAnswer(int aStatus, const std::string& aBody);

// An address at which connections are refused as long as this exists.
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

// An address that does not answer attempts to connect, like a host that is
// down, as long as this exists.
class SilentAddress
{
public:
  SilentAddress();
  ~SilentAddress();
  SilentAddress(const SilentAddress&) = delete;
  SilentAddress& operator=(const SilentAddress&) = delete;

  const std::string& Address() const { return mAddress; }

private:
  std::string mAddress;
  // The listener, and connections that fill its queue.
  std::vector<int> mSockets;
};

} // namespace flamingoloom::standins
