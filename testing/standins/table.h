// The platform's table service without HTTP: versioned rows and atomic
// transactions. Not thread-safe.
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
  // Applies all writes if every write and check finds its expected version (0
  // for a missing row); otherwise returns the conflicts and changes nothing.
  // The result gives a deleted row the version 0.
  platform::TransactionResult Commit(const platform::Transaction& aTransaction);
  // Returns the rows with these keys; missing rows are left out.
  std::vector<platform::Row> Read(const std::vector<std::string>& aKeys) const;
  // Returns the rows whose keys start with aPrefix, in the order of their keys.
  std::vector<platform::Row> Scan(const std::string& aPrefix) const;

private:
  std::map<std::string, platform::Row> mRows;
  std::uint64_t mLastVersion = 0;
};

} // namespace flamingoloom::standins
