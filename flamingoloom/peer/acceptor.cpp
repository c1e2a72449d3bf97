#include "flamingoloom/peer/acceptor.h"

#include <utility>

#include "flamingoloom/peer/rpc_connection.h"

namespace flamingoloom::peer::internal {
namespace {

// Accepting fails while the process has no free file descriptor. Without a
// delay the event loop would retry in a busy loop until one is closed.
constexpr kj::Duration kAcceptRetryDelay = 100 * kj::MILLISECONDS;

} // namespace

Acceptor::Acceptor(kj::Own<kj::ConnectionReceiver> aReceiver,
                   kj::Timer& aTimer,
                   capnp::Capability::Client aServed,
                   const PeerSettings& aSettings,
                   CounterTable& aCounters)
  : mReceiver(kj::mv(aReceiver))
  , mTimer(aTimer)
  , mServed(kj::mv(aServed))
  , mSettings(aSettings)
  , mCounters(aCounters)
  , mTasks(*this)
{
  mTasks.add(AcceptNext());
}

kj::Promise<void> Acceptor::AcceptNext()
{
  return mReceiver->accept()
    .then(
      [this](kj::Own<kj::AsyncIoStream>&& aStream) -> kj::Promise<void> {
        Admit(kj::mv(aStream));
        return kj::READY_NOW;
      },
      [this](kj::Exception&&) { return mTimer.afterDelay(kAcceptRetryDelay); })
    .then([this]() { return AcceptNext(); });
}

void Acceptor::Admit(kj::Own<kj::AsyncIoStream> aStream)
{
  if (mOpenConnections >= mSettings.mMaxServedConnections) {
    mCounters.Update(
      [](NodeCounters& aAll) { aAll.mServed.mRejectedConnections += 1; });
    return;
  }
  // Setting socket options fails when the peer has already reset the
  // connection. This must not stop the acceptor.
  kj::runCatchingExceptions([&]() { Serve(kj::mv(aStream)); });
}

void Acceptor::Serve(kj::Own<kj::AsyncIoStream> aStream)
{
  auto connection =
    kj::heap<RpcConnection>(kj::mv(aStream),
                            capnp::rpc::twoparty::Side::SERVER,
                            kj::Maybe<capnp::Capability::Client>(mServed),
                            mSettings.mMaxMessageBytes,
                            MakeObserver());
  mOpenConnections += 1;
  mCounters.Update([](NodeCounters& aAll) { aAll.mServed.mConnections += 1; });
  auto ended = connection->OnDisconnect();
  mTasks.add(ended.attach(kj::mv(connection),
                          kj::defer([this]() { mOpenConnections -= 1; })));
}

TrafficObserver Acceptor::MakeObserver()
{
  TrafficObserver observer;
  observer.mSent = [this](std::size_t aBytes) {
    mCounters.Update(
      [aBytes](NodeCounters& aAll) { aAll.mServed.mBytesSent += aBytes; });
  };
  observer.mReceived = [this](std::size_t aBytes) {
    mCounters.Update(
      [aBytes](NodeCounters& aAll) { aAll.mServed.mBytesReceived += aBytes; });
  };
  observer.mProtocolError = [this]() {
    mCounters.Update([](NodeCounters& aAll) { aAll.mProtocolErrors += 1; });
  };
  return observer;
}

void Acceptor::taskFailed(kj::Exception&&) {}

} // namespace flamingoloom::peer::internal
