// The connection to one peer, from the first call on.
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

// Used on the event loop's thread only. Must not be destroyed from within one
// of its own promises.
class Link
{
public:
  // Starts to connect. aOnEnd is called at most once, when the connection
  // could not be made or has ended.
  Link(kj::Own<kj::NetworkAddress> aAddress,
       std::size_t aMaxMessageBytes,
       TrafficObserver aObserver,
       std::function<void()> aOnEnd);

  // Resolves when the peer has answered on the connection for the first time.
  // Until then no call has been sent.
  kj::Promise<void> Ready() { return mReady.addBranch(); }

  // Precondition: Ready() has resolved.
  wire::Instance::Client& Remote() { return *mRemote; }

private:
  kj::Promise<void> Connect();
  kj::Promise<void> Attach(kj::Own<kj::AsyncIoStream> aStream);
  kj::Promise<void> WatchEnd();

  kj::Own<kj::NetworkAddress> mAddress;
  const std::size_t mMaxMessageBytes;
  const TrafficObserver mObserver;
  const std::function<void()> mOnEnd;
  std::unique_ptr<RpcConnection> mConnection;
  std::unique_ptr<wire::Instance::Client> mRemote;
  kj::ForkedPromise<void> mReady;
  kj::Promise<void> mWatch;
};

} // namespace flamingoloom::peer::internal
