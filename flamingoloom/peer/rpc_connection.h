// An established connection with its Cap'n Proto RPC system.
#pragma once

#include <cstddef>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "flamingoloom/peer/instance.capnp.h"
#include "flamingoloom/peer/traffic_stream.h"

namespace flamingoloom::peer::internal {

// Must be used on the event loop's thread only. Each member uses the one
// declared before it, so their order must not change.
class RpcConnection
{
public:
  // aServed is the interface that the other side can call; null for a
  // connection on which this side only makes calls.
  RpcConnection(kj::Own<kj::AsyncIoStream> aStream,
                capnp::rpc::twoparty::Side aSide,
                kj::Maybe<capnp::Capability::Client> aServed,
                std::size_t aMaxMessageBytes,
                TrafficObserver aObserver);

  // Returns the interface that the other side serves.
  wire::Instance::Client Remote();

  // Resolves when the connection has been closed.
  kj::Promise<void> OnDisconnect() { return mNetwork.onDisconnect(); }

private:
  kj::Own<kj::AsyncIoStream> mStream;
  TrafficStream mTraffic;
  capnp::TwoPartyVatNetwork mNetwork;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> mSystem;
};

} // namespace flamingoloom::peer::internal
