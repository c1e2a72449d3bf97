#include "flamingoloom/peer/traffic_stream.h"

#include <utility>

#include <capnp/rpc.capnp.h>
#include <capnp/serialize.h>

namespace flamingoloom::peer::internal {
namespace {

// Returns whether the message aborts the connection because of invalid input.
// The RPC system sends an abort with the reason as its last message on a
// connection; outside of the RPC system, invalid input shows in no other way.
bool IsProtocolError(TrafficStream::Segments aSegments)
{
  capnp::SegmentArrayMessageReader reader(aSegments);
  auto message = reader.getRoot<capnp::rpc::Message>();
  return message.isAbort() && message.getAbort().getType() !=
                                capnp::rpc::Exception::Type::DISCONNECTED;
}

// Returns the size of a message. MessageReader::sizeInWords is not used, since
// in capnp 0.9.2 it reads uninitialized memory when the root has not been read
// before.
std::size_t Bytes(capnp::MessageReader& aMessage)
{
  std::size_t words = 0;
  unsigned segments = 0;
  TrafficStream::Segment segment = aMessage.getSegment(segments);
  while (segment != nullptr) {
    words += segment.size();
    segment = aMessage.getSegment(++segments);
  }
  std::size_t tableWords = segments / 2 + 1;
  return (tableWords + words) * sizeof(capnp::word);
}

} // namespace

TrafficStream::TrafficStream(kj::AsyncIoStream& aStream,
                             TrafficObserver aObserver)
  : mStream(aStream)
  , mObserver(std::move(aObserver))
{
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
TrafficStream::tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> aDescriptors,
                              capnp::ReaderOptions aOptions,
                              kj::ArrayPtr<capnp::word> aScratch)
{
  return mStream.tryReadMessage(aDescriptors, aOptions, aScratch)
    .then([this](kj::Maybe<capnp::MessageReaderAndFds>&& aMessage) {
      KJ_IF_MAYBE (message, aMessage) {
        mObserver.mReceived(Bytes(*message->reader));
      }
      return kj::mv(aMessage);
    });
}

kj::Promise<void> TrafficStream::writeMessage(
  kj::ArrayPtr<const int> aDescriptors,
  Segments aSegments)
{
  ObserveSent(aSegments);
  return mStream.writeMessage(aDescriptors, aSegments);
}

kj::Promise<void> TrafficStream::writeMessages(kj::ArrayPtr<Segments> aMessages)
{
  for (Segments segments : aMessages) {
    ObserveSent(segments);
  }
  return mStream.writeMessages(aMessages);
}

kj::Maybe<int> TrafficStream::getSendBufferSize()
{
  return mStream.getSendBufferSize();
}

kj::Promise<void> TrafficStream::end()
{
  return mStream.end();
}

void TrafficStream::ObserveSent(Segments aSegments)
{
  mObserver.mSent(capnp::computeSerializedSizeInWords(aSegments) *
                  sizeof(capnp::word));
  if (IsProtocolError(aSegments)) {
    mObserver.mProtocolError();
  }
}

} // namespace flamingoloom::peer::internal
