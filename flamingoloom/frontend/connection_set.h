// The open connections of the front end.
#pragma once

#include <cstddef>
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

  // False when the limit is reached or Close was called.
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
  const std::size_t mLimit;
  std::mutex mMutex;
  // The value is whether the socket is idle.
  std::map<int, bool> mSockets;
  bool mClosed = false;
};

} // namespace flamingoloom::frontend::internal
