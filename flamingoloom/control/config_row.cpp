#include "flamingoloom/control/config_row.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace flamingoloom::control {

using nlohmann::json;

std::string HistoryKey(std::uint64_t aVersion)
{
  // Versions are zero-padded, so that a scan returns them in order.
  return fmt::format("{}{:012}", kHistoryPrefix, aVersion);
}

std::string EncodeConfigRow(const ConfigRow& aRow)
{
  return json{
    { "version", aRow.mVersion },
    { "digest", aRow.mDigest },
    { "nonce", aRow.mNonce }
  }.dump();
}

base::Expected<ConfigRow> DecodeConfigRow(const std::string& aText)
{
  try {
    json row = json::parse(aText);
    return ConfigRow{ row.at("version"), row.at("digest"), row.at("nonce") };
  } catch (const json::exception& error) {
    return base::MakeError(base::ErrorCode::eInvalid,
                           "decode configuration row",
                           "table",
                           error.what());
  }
}

} // namespace flamingoloom::control
