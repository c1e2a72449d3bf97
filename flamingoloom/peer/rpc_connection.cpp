#include "flamingoloom/peer/rpc_connection.h"

#include <utility>

#include <capnp/message.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace flamingoloom::peer::internal {
namespace {

using capnp::rpc::twoparty::Side;
using capnp::rpc::twoparty::VatId;

// TCP keep-alive detects a host that failed without closing its connections
// after about 30 s. Otherwise its connections would stay open forever.
constexpr int kKeepAliveIdleSeconds = 15;
constexpr int kKeepAliveIntervalSeconds = 5;
constexpr int kKeepAliveProbes = 3;

// The requests of one connection that wait for the handler may occupy as much
// memory as this many messages of the maximum size. Beyond that, the connection
// is not read (flow control).
constexpr std::size_t kFlowLimitMessages = 4;

// The traversal limit applies both to the size of a message and to the sum of
// all accesses to its parts. The codec reads each field once, so a message of
// the maximum size can still be decoded.
capnp::ReaderOptions Options(std::size_t aMaxMessageBytes)
{
  capnp::ReaderOptions options;
  options.traversalLimitInWords = aMaxMessageBytes / sizeof(capnp::word);
  options.nestingLimit = 16;
  return options;
}

void SetOption(kj::AsyncIoStream& aStream, int aLevel, int aName, int aValue)
{
  aStream.setsockopt(aLevel, aName, &aValue, sizeof(aValue));
}

kj::Own<kj::AsyncIoStream> WithKeepAlive(kj::Own<kj::AsyncIoStream> aStream)
{
  SetOption(*aStream, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(*aStream, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(*aStream, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(*aStream, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(*aStream, IPPROTO_TCP, TCP_NODELAY, 1);
  return aStream;
}

} // namespace

RpcConnection::RpcConnection(kj::Own<kj::AsyncIoStream> aStream,
                             Side aSide,
                             kj::Maybe<capnp::Capability::Client> aServed,
                             std::size_t aMaxMessageBytes,
                             TrafficObserver aObserver)
  : mStream(WithKeepAlive(kj::mv(aStream)))
  , mTraffic(*mStream, std::move(aObserver))
  , mNetwork(mTraffic, aSide, Options(aMaxMessageBytes))
  , mSystem(mNetwork, kj::mv(aServed))
{
  mSystem.setFlowLimit(kFlowLimitMessages * aMaxMessageBytes /
                       sizeof(capnp::word));
}

wire::Instance::Client RpcConnection::Remote()
{
  capnp::MallocMessageBuilder message;
  auto id = message.getRoot<VatId>();
  id.setSide(Side::SERVER);
  return mSystem.bootstrap(id).castAs<wire::Instance>();
}

} // namespace flamingoloom::peer::internal
