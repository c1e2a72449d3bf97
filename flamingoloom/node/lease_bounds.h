// What a leader leaves to its successor about the leases that it and earlier
// leaders have granted to servers: the row kLeaseBoundsKey of kLeaderTable.
//
// Without it a successor has to assume that its predecessor went on granting
// leases without the store for as long as it may. The row counts only if the
// direct predecessor wrote it. All functions are thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/scheduler/earlier_leases.h"

namespace flamingoloom::node {

inline constexpr const char* kLeaseBoundsKey = "leases";

// Times are milliseconds of the store's clock.
struct LeaseBounds
{
  // Of the leader that wrote the row.
  std::int64_t mEpoch = 0;
  // For the servers that are not listed below. Set only when the leader steps
  // down, as it grants no leases from then on.
  std::optional<std::int64_t> mOthersMs;
  // For servers to which the leader grants no lease while this row is stored.
  std::map<base::ServerId, std::int64_t> mServersMs;

  friend bool operator==(const LeaseBounds&, const LeaseBounds&) = default;
};

std::string EncodeLeaseBounds(const LeaseBounds& aBounds);
// Any bytes give bounds or an error.
base::Expected<LeaseBounds> DecodeLeaseBounds(const std::string& aValue);

// Returns the bounds by the clock of this process. At aArrivedAt, when the row
// arrived, the store's clock was aStoreMs or later. aEpoch is that of the
// leader that has read it. aDefault is a bound for all servers without the row.
scheduler::EarlierLeases ToEarlierLeases(const LeaseBounds& aRow,
                                         std::int64_t aEpoch,
                                         std::int64_t aStoreMs,
                                         base::Time aArrivedAt,
                                         base::Time aDefault);

} // namespace flamingoloom::node
