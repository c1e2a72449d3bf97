#include "flamingoloom/frontend/socket_stream.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <poll.h>
#include <sys/socket.h>

namespace flamingoloom::frontend::internal {
namespace {

// Header and body of an answer up to this size are sent at once.
constexpr std::size_t kOutputBufferBytes = std::size_t{ 64 } << 10;

// A body may be this much longer on the wire, for the framing of its chunks.
constexpr std::size_t kFramingFactor = 2;

} // namespace

SocketStream::SocketStream(int aSocket, const FrontendSettings& aSettings)
  : mSocket(aSocket)
  , mSettings(aSettings)
{
}

bool SocketStream::WaitForRequest()
{
  return HasInput() || Fill(Clock::now() + mSettings.mIdleTimeout);
}

void SocketStream::BeginRequest()
{
  mAllowance = mSettings.mMaxHeaderBytes;
  mDeadline = Clock::now() + mSettings.mTransferTimeout;
}

void SocketStream::BeginBody()
{
  mAllowance = kFramingFactor * mSettings.mMaxBodyBytes + kOutputBufferBytes;
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
    // The sender may wait for "100 Continue" before it goes on.
    if (!Flush() || !Fill(mDeadline)) {
      return Fail();
    }
  }
  std::size_t count = std::min({ aSize, mInputEnd - mInputStart, mAllowance });
  if (count == 0) {
    return Fail();
  }
  std::memcpy(aData, mInput.data() + mInputStart, count);
  mInputStart += count;
  mAllowance -= count;
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

// The addresses are in no log and no answer.
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
    auto left = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(aDeadline - Clock::now(), Clock::duration::zero()));
    ready = poll(&descriptor, 1, static_cast<int>(left.count()));
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

ssize_t SocketStream::Fail()
{
  mReceiveFailed = true;
  return -1;
}

} // namespace flamingoloom::frontend::internal
