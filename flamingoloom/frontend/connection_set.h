// The open connections of the front end, with a limit on their number.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>

namespace flamingoloom::frontend::internal {

// Tracks for each socket whether it is idle, that is, waits for its next
// request. Thread-safe.
class ConnectionSet
{
public:
  explicit ConnectionSet(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  // At the limit, evicts the socket that has been idle longest, so that idle
  // connections do not block new ones. Returns false when no socket is idle or
  // after Close().
  bool Add(int aSocket);
  // Must be called before the socket is closed, so that Close() cannot shut
  // down another socket that reuses the descriptor.
  void Remove(int aSocket);

  // Returns false, without marking the socket, after Close().
  bool MarkIdle(int aSocket);
  void MarkBusy(int aSocket);

  // Shuts down the receiving side of all idle sockets. A busy socket is not
  // affected: its next call of MarkIdle() returns false.
  void Close();

private:
  // Zero while a request is processed; otherwise a number that increases each
  // time that a socket becomes idle.
  using IdleSequence = std::uint64_t;

  bool EvictLongestIdle();

  const std::size_t mLimit;
  std::mutex mMutex;
  std::map<int, IdleSequence> mSockets;
  IdleSequence mLastIdleSequence = 0;
  bool mClosed = false;
};

} // namespace flamingoloom::frontend::internal
