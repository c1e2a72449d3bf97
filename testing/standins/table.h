// The platform's table service without HTTP: rows with versions, and
// transactions that take effect as a whole or not at all. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "flamingoloom/platform/ports.h"

namespace flamingoloom::standins {

class Table
{
public:
  // A deleted row is reported with version 0.
  platform::TransactionResult Commit(const platform::Transaction& aTransaction);
  std::vector<platform::Row> Read(const std::vector<std::string>& aKeys) const;
  std::vector<platform::Row> Scan(const std::string& aPrefix) const;

private:
  std::map<std::string, platform::Row> mRows;
  std::uint64_t mLastVersion = 0;
};

} // namespace flamingoloom::standins
