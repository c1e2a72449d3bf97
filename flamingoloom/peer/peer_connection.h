// The connection to one peer, including the time in which it is established.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <kj/async-io.h>
#include <kj/async.h>

#include "flamingoloom/peer/instance.capnp.h"
#include "flamingoloom/peer/rpc_connection.h"

namespace flamingoloom::peer::internal {

// Must be used on the event loop's thread only. Must not be destroyed from
// within one of its own promises.
class PeerConnection
{
public:
  // Starts to connect. aOnClosed is called at most once, when the connection
  // cannot be established or has been closed.
  PeerConnection(kj::Own<kj::NetworkAddress> aAddress,
                 std::size_t aMaxMessageBytes,
                 TrafficObserver aObserver,
                 std::function<void()> aOnClosed);

  // Resolves when the peer has responded on the connection for the first time.
  // Until then no call must be sent.
  kj::Promise<void> Ready() { return mReady.addBranch(); }

  // Returns the peer's interface. Precondition: Ready() has resolved.
  wire::Instance::Client& Remote() { return *mRemote; }

private:
  kj::Promise<void> Connect();
  kj::Promise<void> Attach(kj::Own<kj::AsyncIoStream> aStream);
  kj::Promise<void> WatchForClose();

  kj::Own<kj::NetworkAddress> mAddress;
  const std::size_t mMaxMessageBytes;
  const TrafficObserver mObserver;
  const std::function<void()> mOnClosed;
  std::unique_ptr<RpcConnection> mRpcConnection;
  std::unique_ptr<wire::Instance::Client> mRemote;
  kj::ForkedPromise<void> mReady;
  kj::Promise<void> mCloseWatcher;
};

} // namespace flamingoloom::peer::internal
