#include "testing/real_cluster/link_proxy.h"

#include <algorithm>
#include <deque>
#include <set>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace flamingoloom::testing::real_cluster {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {

Tcp::endpoint Endpoint(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  return { asio::ip::make_address(aAddress.substr(0, colon)),
           static_cast<unsigned short>(std::stoi(aAddress.substr(colon + 1))) };
}

} // namespace

struct LinkProxy::State
{
  State(asio::io_context& aLoop, const std::string& aTarget)
    : mLoop(aLoop)
    , mAcceptor(aLoop, { asio::ip::address_v4::loopback(), 0 })
    , mTarget(Endpoint(aTarget))
  {
  }

  asio::io_context& mLoop;
  Tcp::acceptor mAcceptor;
  const Tcp::endpoint mTarget;
  LinkDelays mDelays;
  LinkHolds mHolds;
  std::set<std::shared_ptr<Connection>> mConnections;
};

// One direction of a connection. Its connection owns it and outlives its
// handlers.
class LinkProxy::Pipe
{
public:
  Pipe(Connection& aConnection,
       Tcp::socket& aFrom,
       Tcp::socket& aTo,
       const std::chrono::microseconds& aDelay,
       const bool& aHeld)
    : mConnection(aConnection)
    , mFrom(aFrom)
    , mTo(aTo)
    , mDelay(aDelay)
    , mHeld(aHeld)
    , mTimer(aFrom.get_executor())
  {
  }

  void Read();
  // Delivers what is due.
  void Deliver();
  bool IsOver() const { return mOver; }
  void Cancel() { mTimer.cancel(); }

private:
  struct Chunk
  {
    Clock::time_point mDue;
    // Empty for the end of the stream.
    std::vector<char> mBytes;
  };

  void Queue(std::vector<char> aBytes);
  void WaitFor(Clock::time_point aDue);
  void Write();

  Connection& mConnection;
  Tcp::socket& mFrom;
  Tcp::socket& mTo;
  const std::chrono::microseconds& mDelay;
  const bool& mHeld;
  asio::steady_timer mTimer;
  std::deque<Chunk> mChunks;
  Clock::time_point mLastDue;
  std::size_t mBuffered = 0;
  bool mReading = false;
  bool mEnded = false;
  bool mWriting = false;
  bool mOver = false;
};

class LinkProxy::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(std::shared_ptr<State> aState, Tcp::socket aClient)
    : mState(std::move(aState))
    , mClient(std::move(aClient))
    , mTarget(mState->mLoop)
    , mToTarget(*this,
                mClient,
                mTarget,
                mState->mDelays.mToTarget,
                mState->mHolds.mToTarget)
    , mToClient(*this,
                mTarget,
                mClient,
                mState->mDelays.mToClient,
                mState->mHolds.mToClient)
  {
  }

  void Start()
  {
    mTarget.async_connect(
      mState->mTarget, [self = shared_from_this()](auto aError) {
        if (aError) {
          self->Reset();
          return;
        }
        boost::system::error_code ignored;
        self->mClient.set_option(Tcp::no_delay(true), ignored);
        self->mTarget.set_option(Tcp::no_delay(true), ignored);
        self->mToTarget.Read();
        self->mToClient.Read();
      });
  }

  void Deliver()
  {
    mToTarget.Deliver();
    mToClient.Deliver();
  }

  void CloseIfOver()
  {
    if (mToTarget.IsOver() && mToClient.IsOver()) {
      Close();
    }
  }

  void Reset()
  {
    boost::system::error_code ignored;
    mClient.set_option(asio::socket_base::linger(true, 0), ignored);
    mTarget.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }

private:
  void Close()
  {
    boost::system::error_code ignored;
    mToTarget.Cancel();
    mToClient.Cancel();
    mClient.close(ignored);
    mTarget.close(ignored);
    mState->mConnections.erase(shared_from_this());
  }

  const std::shared_ptr<State> mState;
  Tcp::socket mClient;
  Tcp::socket mTarget;
  Pipe mToTarget;
  Pipe mToClient;
};

void LinkProxy::Pipe::Read()
{
  constexpr std::size_t kChunkBytes = std::size_t{ 16 } * 1024;
  if (mReading || mEnded || mBuffered + kChunkBytes > kMaxBufferedBytes) {
    return;
  }
  mReading = true;
  // A vector for each connection that waits would take 16 KiB.
  mFrom.async_wait(
    Tcp::socket::wait_read,
    [this, connection = mConnection.shared_from_this()](auto aError) {
      mReading = false;
      if (aError || !mFrom.is_open()) {
        return;
      }
      std::vector<char> bytes(kChunkBytes);
      boost::system::error_code error;
      bytes.resize(mFrom.read_some(asio::buffer(bytes), error));
      if (error && error != asio::error::eof) {
        connection->Reset();
        return;
      }
      mEnded = error == asio::error::eof;
      Queue(std::move(bytes));
      Read();
    });
}

void LinkProxy::Pipe::Queue(std::vector<char> aBytes)
{
  // Bytes that are read after a delay was shortened don't overtake others.
  mLastDue = std::max(mLastDue, Clock::now() + mDelay);
  mBuffered += aBytes.size();
  mChunks.push_back({ mLastDue, std::move(aBytes) });
  Deliver();
}

void LinkProxy::Pipe::Deliver()
{
  if (mHeld || mWriting || mChunks.empty()) {
    return;
  }
  if (mChunks.front().mDue > Clock::now()) {
    WaitFor(mChunks.front().mDue);
    return;
  }
  if (mChunks.front().mBytes.empty()) {
    boost::system::error_code ignored;
    mTo.shutdown(Tcp::socket::shutdown_send, ignored);
    mChunks.clear();
    mOver = true;
    mConnection.CloseIfOver();
    return;
  }
  Write();
}

void LinkProxy::Pipe::WaitFor(Clock::time_point aDue)
{
  mTimer.expires_at(aDue);
  mTimer.async_wait(
    [this, connection = mConnection.shared_from_this()](auto aError) {
      if (!aError) {
        Deliver();
      }
    });
}

void LinkProxy::Pipe::Write()
{
  mWriting = true;
  asio::async_write(mTo,
                    asio::buffer(mChunks.front().mBytes),
                    [this, connection = mConnection.shared_from_this()](
                      auto aError, std::size_t) {
                      mWriting = false;
                      if (!mTo.is_open()) {
                        return;
                      }
                      if (aError) {
                        connection->Reset();
                        return;
                      }
                      mBuffered -= mChunks.front().mBytes.size();
                      mChunks.pop_front();
                      Deliver();
                      Read();
                    });
}

LinkProxy::LinkProxy(asio::io_context& aLoop, const std::string& aTarget)
  : mState(std::make_shared<State>(aLoop, aTarget))
{
  Accept(mState);
}

LinkProxy::~LinkProxy()
{
  boost::system::error_code ignored;
  mState->mAcceptor.close(ignored);
  ResetConnections();
}

std::string LinkProxy::Address() const
{
  return "127.0.0.1:" +
         std::to_string(mState->mAcceptor.local_endpoint().port());
}

void LinkProxy::SetDelays(const LinkDelays& aDelays)
{
  mState->mDelays = aDelays;
}

void LinkProxy::SetHolds(const LinkHolds& aHolds)
{
  mState->mHolds = aHolds;
  const auto connections = mState->mConnections;
  for (const auto& connection : connections) {
    connection->Deliver();
  }
}

void LinkProxy::ResetConnections()
{
  const auto connections = mState->mConnections;
  for (const auto& connection : connections) {
    connection->Reset();
  }
}

std::size_t LinkProxy::Connections() const
{
  return mState->mConnections.size();
}

void LinkProxy::Accept(const std::shared_ptr<State>& aState)
{
  aState->mAcceptor.async_accept([aState](auto aError, Tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      auto connection =
        std::make_shared<Connection>(aState, std::move(aSocket));
      aState->mConnections.insert(connection);
      connection->Start();
    }
    Accept(aState);
  });
}

} // namespace flamingoloom::testing::real_cluster
