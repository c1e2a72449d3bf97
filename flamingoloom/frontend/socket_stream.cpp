#include "flamingoloom/frontend/socket_stream.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <poll.h>
#include <sys/socket.h>

namespace flamingoloom::frontend::internal {
namespace {

// The output is buffered up to this size, so that a small response is sent with
// one system call.
constexpr std::size_t kOutputBufferBytes = std::size_t{ 64 } << 10;

// Factor by which a chunked body may be longer on the wire, because of the
// framing of its chunks.
constexpr std::size_t kFramingFactor = 2;

} // namespace

SocketStream::SocketStream(int aSocket,
                           const FrontendSettings& aSettings,
                           RequestMemory& aMemory)
  : mSocket(aSocket)
  , mSettings(aSettings)
  , mMemory(aMemory)
{
}

bool SocketStream::WaitForRequest()
{
  return HasInput() || Fill(Clock::now() + mSettings.mIdleTimeout);
}

void SocketStream::BeginRequest()
{
  mRemainingBytes = mSettings.mMaxHeaderBytes;
  mRequestBytes = 0;
  mDeadline = Clock::now() + mSettings.mTransferTimeout;
}

void SocketStream::BeginBody()
{
  mRemainingBytes =
    kFramingFactor * mSettings.mMaxBodyBytes + kOutputBufferBytes;
}

bool SocketStream::Flush()
{
  Clock::time_point deadline = Clock::now() + mSettings.mTransferTimeout;
  std::size_t sent = 0;
  while (sent < mOutput.size() && !mSendFailed) {
    ssize_t count = send(mSocket,
                         mOutput.data() + sent,
                         mOutput.size() - sent,
                         MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count >= 0) {
      sent += count;
    } else if ((errno != EAGAIN && errno != EINTR) ||
               !WaitFor(POLLOUT, deadline)) {
      mSendFailed = true;
    }
  }
  mOutput.clear();
  return !mSendFailed;
}

bool SocketStream::is_readable() const
{
  return HasInput() || WaitFor(POLLIN, Clock::now());
}

bool SocketStream::is_writable() const
{
  return !mSendFailed;
}

ssize_t SocketStream::read(char* aData, std::size_t aSize)
{
  if (!HasInput()) {
    // The client may wait for the buffered "100 Continue" before it sends the
    // body.
    if (!Flush() || !Fill(mDeadline)) {
      return FailReceive();
    }
  }
  std::size_t count =
    std::min({ aSize, mInputEnd - mInputStart, mRemainingBytes });
  mRequestBytes += count;
  // The library keeps a header, a chunk extension or a trailer until its line
  // ends, so their bytes count as those of the body.
  if (count == 0 || !mMemory.TryAdd(kMemoryPerReceivedByte * count,
                                    mRequestBytes <= kOrdinaryRequestBytes)) {
    return FailReceive();
  }
  std::memcpy(aData, mInput.data() + mInputStart, count);
  mInputStart += count;
  mRemainingBytes -= count;
  return static_cast<ssize_t>(count);
}

ssize_t SocketStream::write(const char* aData, std::size_t aSize)
{
  mOutput.append(aData, aSize);
  if (mOutput.size() > kOutputBufferBytes && !Flush()) {
    return -1;
  }
  return static_cast<ssize_t>(aSize);
}

// The addresses stay empty: they appear in no log line and no response.
void SocketStream::get_remote_ip_and_port(std::string&, int&) const {}

void SocketStream::get_local_ip_and_port(std::string&, int&) const {}

bool SocketStream::Fill(Clock::time_point aDeadline)
{
  ssize_t count = -1;
  do {
    if (!WaitFor(POLLIN, aDeadline)) {
      return false;
    }
    count = recv(mSocket, mInput.data(), mInput.size(), MSG_DONTWAIT);
  } while (count < 0 && (errno == EAGAIN || errno == EINTR));
  mInputStart = 0;
  mInputEnd = std::max<ssize_t>(count, 0);
  return count > 0;
}

bool SocketStream::WaitFor(short aEvents, Clock::time_point aDeadline) const
{
  pollfd descriptor{ mSocket, aEvents, 0 };
  int ready = -1;
  do {
    auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(aDeadline - Clock::now(), Clock::duration::zero()));
    ready = poll(&descriptor, 1, static_cast<int>(remaining.count()));
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

ssize_t SocketStream::FailReceive()
{
  mReceiveFailed = true;
  return -1;
}

} // namespace flamingoloom::frontend::internal
