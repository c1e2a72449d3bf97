// The row of the table service that names the active configuration.
// Thread-safe.
#pragma once

#include <cstdint>
#include <string>

#include "flamingoloom/base/error.h"

namespace flamingoloom::control {

struct ConfigRow
{
  std::uint64_t mVersion = 0;
  // SHA-256 of the document in the object store.
  std::string mDigest;
  // Unique to each write, so that a writer whose response was lost recognises
  // its own write.
  std::string mNonce;

  friend bool operator==(const ConfigRow&, const ConfigRow&) = default;
};

inline const std::string kConfigKey = "config/current";

inline const std::string kHistoryPrefix = "config/history/";

// Returns the key of the row that records which document a version had.
std::string HistoryKey(std::uint64_t aVersion);

std::string EncodeConfigRow(const ConfigRow& aRow);
base::Expected<ConfigRow> DecodeConfigRow(const std::string& aText);

} // namespace flamingoloom::control
