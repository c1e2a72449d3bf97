#include "flamingoloom/peer/link.h"

#include <utility>

namespace flamingoloom::peer::internal {

Link::Link(kj::Own<kj::NetworkAddress> aAddress,
           std::size_t aMaxMessageBytes,
           TrafficObserver aObserver,
           std::function<void()> aOnEnd)
  : mAddress(kj::mv(aAddress))
  , mMaxMessageBytes(aMaxMessageBytes)
  , mObserver(std::move(aObserver))
  , mOnEnd(std::move(aOnEnd))
  , mReady(Connect().fork())
  , mWatch(WatchEnd())
{
}

kj::Promise<void> Link::Connect()
{
  return mAddress->connect().then([this](kj::Own<kj::AsyncIoStream>&& aStream) {
    return Attach(kj::mv(aStream));
  });
}

kj::Promise<void> Link::Attach(kj::Own<kj::AsyncIoStream> aStream)
{
  mConnection =
    std::make_unique<RpcConnection>(kj::mv(aStream),
                                    capnp::rpc::twoparty::Side::CLIENT,
                                    nullptr,
                                    mMaxMessageBytes,
                                    mObserver);
  mRemote = std::make_unique<wire::Instance::Client>(mConnection->Remote());
  return mRemote->whenResolved();
}

kj::Promise<void> Link::WatchEnd()
{
  return Ready()
    .then([this]() { return mConnection->OnDisconnect(); })
    .then([this]() { mOnEnd(); }, [this](kj::Exception&&) { mOnEnd(); })
    .eagerlyEvaluate(nullptr);
}

} // namespace flamingoloom::peer::internal
