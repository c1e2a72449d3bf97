// Counts HTTP calls, failures and bytes per peer address. Thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "flamingoloom/base/error.h"

namespace flamingoloom::platform {

struct PeerCounters
{
  std::uint64_t mCalls = 0;
  std::map<base::ErrorCode, std::uint64_t> mFailures;
  // Sizes of the headers and bodies of calls with a complete response.
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;

  friend bool operator==(const PeerCounters&, const PeerCounters&) = default;
};

class CallCounters
{
public:
  void AddCall(const std::string& aAddress);
  void AddFailure(const std::string& aAddress, base::ErrorCode aCode);
  void AddBytes(const std::string& aAddress,
                std::uint64_t aSent,
                std::uint64_t aReceived);

  // Returns the counters since the start of the process, by peer address.
  std::map<std::string, PeerCounters> Values() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, PeerCounters> mPeers;
};

} // namespace flamingoloom::platform
