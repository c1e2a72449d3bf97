#include "testing/standins/table.h"

#include <algorithm>

namespace flamingoloom::standins {

platform::TransactionResult Table::Commit(
  const platform::Transaction& aTransaction)
{
  platform::TransactionResult result;
  auto checkVersion = [&](const std::string& aKey, std::uint64_t aExpected) {
    auto found = mRows.find(aKey);
    std::uint64_t version = found == mRows.end() ? 0 : found->second.mVersion;
    if (version != aExpected) {
      result.mConflicts.push_back({ aKey, version });
    }
  };
  for (const platform::Write& write : aTransaction.mWrites) {
    checkVersion(write.mKey, write.mExpectedVersion);
  }
  for (const platform::Check& check : aTransaction.mChecks) {
    checkVersion(check.mKey, check.mExpectedVersion);
  }
  if (!result.Committed()) {
    return result;
  }
  for (const platform::Write& write : aTransaction.mWrites) {
    if (write.mValue) {
      ++mLastVersion;
      mRows[write.mKey] = { write.mKey, mLastVersion, *write.mValue };
      result.mVersions.push_back({ write.mKey, mLastVersion });
    } else {
      mRows.erase(write.mKey);
      result.mVersions.push_back({ write.mKey, 0 });
    }
  }
  return result;
}

std::vector<platform::Row> Table::Read(
  const std::vector<std::string>& aKeys) const
{
  std::vector<platform::Row> rows;
  for (const std::string& key : aKeys) {
    if (auto found = mRows.find(key); found != mRows.end()) {
      rows.push_back(found->second);
    }
  }
  return rows;
}

std::vector<platform::Row> Table::Scan(const std::string& aPrefix) const
{
  std::vector<platform::Row> rows;
  for (auto row = mRows.lower_bound(aPrefix);
       row != mRows.end() && row->first.starts_with(aPrefix);
       ++row) {
    rows.push_back(row->second);
  }
  return rows;
}

} // namespace flamingoloom::standins
