// The byte stream of one HTTP connection, with limits per request.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>

#include <httplib.h>

#include "flamingoloom/frontend/settings.h"

namespace flamingoloom::frontend::internal {

// Replaces the HTTP library's own stream, whose wait for the next request
// polls every 10 ms and which has no limit on the time and the bytes of a
// whole request. Used by one thread. Does not close the socket.
class SocketStream final : public httplib::Stream
{
public:
  SocketStream(int aSocket, const FrontendSettings& aSettings);

  // Waits for the first byte of the next request. False at the end of the
  // connection or of the time.
  bool WaitForRequest();

  // Starts the limits of a new request.
  void BeginRequest();
  // The rest of the request is its body.
  void BeginBody();

  // Sends what was written. False when the receiver does not take it in time.
  bool Flush();

  // Whether a limit was exceeded or the connection broke; the position in the
  // stream is then unknown.
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
  // Waits for input and reads what there is.
  bool Fill(Clock::time_point aDeadline);
  bool WaitFor(short aEvents, Clock::time_point aDeadline) const;
  ssize_t Fail();

  const int mSocket;
  const FrontendSettings& mSettings;
  std::array<char, 16384> mInput;
  std::size_t mInputStart = 0;
  std::size_t mInputEnd = 0;
  // Bytes that the current part of the request may still have.
  std::size_t mAllowance = 0;
  Clock::time_point mDeadline;
  std::string mOutput;
  // An answer that says why can still be sent after a failure to receive.
  bool mReceiveFailed = false;
  bool mSendFailed = false;
};

} // namespace flamingoloom::frontend::internal
