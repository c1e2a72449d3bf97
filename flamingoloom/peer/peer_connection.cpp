#include "flamingoloom/peer/peer_connection.h"

#include <utility>

namespace flamingoloom::peer::internal {

PeerConnection::PeerConnection(kj::Own<kj::NetworkAddress> aAddress,
                               std::size_t aMaxMessageBytes,
                               TrafficObserver aObserver,
                               std::function<void()> aOnClosed)
  : mAddress(kj::mv(aAddress))
  , mMaxMessageBytes(aMaxMessageBytes)
  , mObserver(std::move(aObserver))
  , mOnClosed(std::move(aOnClosed))
  , mReady(Connect().fork())
  , mCloseWatcher(WatchForClose())
{
}

kj::Promise<void> PeerConnection::Connect()
{
  return mAddress->connect().then([this](kj::Own<kj::AsyncIoStream>&& aStream) {
    return Attach(kj::mv(aStream));
  });
}

kj::Promise<void> PeerConnection::Attach(kj::Own<kj::AsyncIoStream> aStream)
{
  mRpcConnection =
    std::make_unique<RpcConnection>(kj::mv(aStream),
                                    capnp::rpc::twoparty::Side::CLIENT,
                                    nullptr,
                                    mMaxMessageBytes,
                                    mObserver);
  mRemote = std::make_unique<wire::Instance::Client>(mRpcConnection->Remote());
  return mRemote->whenResolved();
}

kj::Promise<void> PeerConnection::WatchForClose()
{
  return Ready()
    .then([this]() { return mRpcConnection->OnDisconnect(); })
    .then([this]() { mOnClosed(); }, [this](kj::Exception&&) { mOnClosed(); })
    .eagerlyEvaluate(nullptr);
}

} // namespace flamingoloom::peer::internal
