// Limits the memory of all requests that are being received or decoded.
#pragma once

#include <cstddef>
#include <mutex>

namespace flamingoloom::frontend::internal {

// Requests up to this size are ordinary: they are counted, and served also at
// the limit, so that large ones cannot take their place.
inline constexpr std::size_t kOrdinaryRequestBytes = std::size_t{ 64 } << 10;

// An upper estimate of the memory, by bytes of the request: while it is
// received, it is in a string that grows, and is copied; the smallest value of
// a document has 3 bytes and takes some 60.
inline constexpr std::size_t kMemoryPerReceivedByte = 4;
inline constexpr std::size_t kMemoryPerDecodedByte = 24;

// Thread-safe.
class RequestMemory
{
public:
  explicit RequestMemory(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  // Counts aBytes more of one request. Returns false, and counts nothing, if
  // the request is not ordinary and the limit is exceeded.
  bool TryAdd(std::size_t aBytes, bool aOrdinary)
  {
    const std::lock_guard lock(mMutex);
    if (!aOrdinary && mUsed + aBytes > mLimit) {
      return false;
    }
    mUsed += aBytes;
    return true;
  }

  // aBytes must have been counted.
  void Remove(std::size_t aBytes)
  {
    const std::lock_guard lock(mMutex);
    mUsed -= aBytes;
  }

private:
  const std::size_t mLimit;
  std::mutex mMutex;
  std::size_t mUsed = 0;
};

// Counts for one request, until it is destroyed or Clear is called. Not
// thread-safe.
class CountedMemory
{
public:
  // aMemory must outlive the object.
  explicit CountedMemory(RequestMemory& aMemory)
    : mMemory(aMemory)
  {
  }
  ~CountedMemory() { Clear(); }
  CountedMemory(const CountedMemory&) = delete;
  CountedMemory& operator=(const CountedMemory&) = delete;

  bool TryAdd(std::size_t aBytes, bool aOrdinary)
  {
    const bool added = mMemory.TryAdd(aBytes, aOrdinary);
    mCounted += added ? aBytes : 0;
    return added;
  }
  void Clear()
  {
    mMemory.Remove(mCounted);
    mCounted = 0;
  }

private:
  RequestMemory& mMemory;
  std::size_t mCounted = 0;
};

} // namespace flamingoloom::frontend::internal
