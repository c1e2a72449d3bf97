// A message stream that reports the bytes transferred and protocol errors.
#pragma once

#include <cstddef>
#include <functional>

#include <capnp/serialize-async.h>
#include <kj/async-io.h>

namespace flamingoloom::peer::internal {

// Callbacks for the events of one connection; they run on the event loop's
// thread.
struct TrafficObserver
{
  // Called with the size in bytes of each message.
  std::function<void(std::size_t)> mSent;
  std::function<void(std::size_t)> mReceived;
  // Called when this side aborts the connection because the other side violated
  // the protocol.
  std::function<void()> mProtocolError;
};

// Forwards all messages to aStream, which must outlive this object.
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
