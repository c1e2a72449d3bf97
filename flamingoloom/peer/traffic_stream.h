// Message stream that counts bytes and detects protocol errors.
#pragma once

#include <cstddef>
#include <functional>

#include <capnp/serialize-async.h>
#include <kj/async-io.h>

namespace flamingoloom::peer::internal {

// Receives what happens on one connection, on the event loop's thread.
struct TrafficObserver
{
  std::function<void(std::size_t)> mSent;
  std::function<void(std::size_t)> mReceived;
  // This side ends the connection because the other side broke the protocol.
  std::function<void()> mProtocolError;
};

// Passes all messages on to a stream, which must outlive this.
class TrafficStream final : public capnp::MessageStream
{
public:
  using Segment = kj::ArrayPtr<const capnp::word>;
  using Segments = kj::ArrayPtr<const Segment>;

  TrafficStream(kj::AsyncIoStream& aStream, TrafficObserver aObserver);

  kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd> aDescriptors,
    capnp::ReaderOptions aOptions,
    kj::ArrayPtr<capnp::word> aScratch) override;
  kj::Promise<void> writeMessage(kj::ArrayPtr<const int> aDescriptors,
                                 Segments aSegments) override;
  kj::Promise<void> writeMessages(kj::ArrayPtr<Segments> aMessages) override;
  kj::Maybe<int> getSendBufferSize() override;
  kj::Promise<void> end() override;

private:
  void ObserveSent(Segments aSegments);

  capnp::AsyncIoMessageStream mStream;
  TrafficObserver mObserver;
};

} // namespace flamingoloom::peer::internal
