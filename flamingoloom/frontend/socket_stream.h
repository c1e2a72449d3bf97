// The byte stream of one HTTP connection, with limits on the time and size of
// each request.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>

#include <httplib.h>

#include "flamingoloom/frontend/request_memory.h"
#include "flamingoloom/frontend/settings.h"

namespace flamingoloom::frontend::internal {

// Replaces the stream of the HTTP library, which polls every 10 ms for the next
// request and does not limit the total time and size of a request. Not
// thread-safe. Does not close the socket.
class SocketStream final : public httplib::Stream
{
public:
  // aSettings and aMemory must outlive the stream.
  SocketStream(int aSocket,
               const FrontendSettings& aSettings,
               RequestMemory& aMemory);

  // Waits for the first byte of the next request. Returns false when the
  // connection ends or after FrontendSettings::mIdleTimeout.
  bool WaitForRequest();

  // Starts the transfer timeout and the header size limit of a new request.
  void BeginRequest();
  // Applies the body size limit to the rest of the request.
  void BeginBody();
  // The request is answered: its memory does not count any more.
  void EndRequest() { mMemory.Clear(); }

  // Sends the buffered output. Returns false when the connection fails or
  // sending takes longer than FrontendSettings::mTransferTimeout.
  bool Flush();

  // Returns whether a limit was exceeded or the connection failed. The position
  // of the next request in the stream is then unknown.
  bool Failed() const { return mReceiveFailed || mSendFailed; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* aData, std::size_t aSize) override;
  ssize_t write(const char* aData, std::size_t aSize) override;
  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override;
  void get_local_ip_and_port(std::string& aIp, int& aPort) const override;
  socket_t socket() const override { return mSocket; }

private:
  using Clock = std::chrono::steady_clock;

  bool HasInput() const { return mInputStart < mInputEnd; }
  // Waits for input and reads the available bytes. Returns false at the end of
  // the connection or after aDeadline.
  bool Fill(Clock::time_point aDeadline);
  bool WaitFor(short aEvents, Clock::time_point aDeadline) const;
  ssize_t FailReceive();

  const int mSocket;
  const FrontendSettings& mSettings;
  std::array<char, 16384> mInput;
  std::size_t mInputStart = 0;
  std::size_t mInputEnd = 0;
  // Remaining bytes allowed for the current part (headers or body) of the
  // request.
  std::size_t mRemainingBytes = 0;
  // Bytes of the current request that were read, and their memory.
  std::size_t mRequestBytes = 0;
  CountedMemory mMemory;
  Clock::time_point mDeadline;
  std::string mOutput;
  // Separate from mSendFailed, because an error response can still be sent
  // after receiving has failed.
  bool mReceiveFailed = false;
  bool mSendFailed = false;
};

} // namespace flamingoloom::frontend::internal
