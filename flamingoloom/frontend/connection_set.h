// The open connections of the front end.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>

namespace flamingoloom::frontend::internal {

// Thread-safe. Knows for each socket whether it waits for its next request.
class ConnectionSet
{
public:
  explicit ConnectionSet(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  // When the limit is reached, ends the waiting of the socket that has been
  // idle longest, so that idle connections keep nobody out. False when none
  // is idle or Close was called.
  bool Add(int aSocket);
  // To be called before the socket is closed, so that Close cannot affect
  // another socket of the same number.
  void Remove(int aSocket);

  // False after Close; the socket is then not marked.
  bool MarkIdle(int aSocket);
  void MarkBusy(int aSocket);

  // Ends the waiting of all idle sockets, and of busy ones once they are done.
  void Close();

private:
  // Zero while a request is processed, else the order of becoming idle.
  using IdleSince = std::uint64_t;

  bool EndLongestIdle();

  const std::size_t mLimit;
  std::mutex mMutex;
  std::map<int, IdleSince> mSockets;
  IdleSince mLastIdle = 0;
  bool mClosed = false;
};

} // namespace flamingoloom::frontend::internal
