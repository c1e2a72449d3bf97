// One established connection with a Cap'n Proto RPC system on it.
#pragma once

#include <cstddef>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "flamingoloom/peer/instance.capnp.h"
#include "flamingoloom/peer/traffic_stream.h"

namespace flamingoloom::peer::internal {

// Used on the event loop's thread only. The order of the members is the order
// in which each needs the one before.
class RpcConnection
{
public:
  // aServed is offered to the other side; null for a connection on which this
  // side only makes calls.
  RpcConnection(kj::Own<kj::AsyncIoStream> aStream,
                capnp::rpc::twoparty::Side aSide,
                kj::Maybe<capnp::Capability::Client> aServed,
                std::size_t aMaxMessageBytes,
                TrafficObserver aObserver);

  // What the other side offers.
  wire::Instance::Client Remote();

  kj::Promise<void> OnDisconnect() { return mNetwork.onDisconnect(); }

private:
  kj::Own<kj::AsyncIoStream> mStream;
  TrafficStream mTraffic;
  capnp::TwoPartyVatNetwork mNetwork;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> mSystem;
};

} // namespace flamingoloom::peer::internal
