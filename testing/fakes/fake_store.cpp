#include "testing/fakes/fake_store.h"

#include <algorithm>

#include "flamingoloom/base/digest.h"

namespace flamingoloom::testing::fakes {

std::uint64_t FakeStore::VersionOf(const std::string& aKey) const
{
  auto found = mRows.find(aKey);
  return found == mRows.end() ? 0 : found->second.mVersion;
}

platform::TransactionResult FakeStore::Commit(
  const platform::Transaction& aTransaction)
{
  platform::TransactionResult result;
  auto compare = [&](const std::string& aKey, std::uint64_t aExpected) {
    std::uint64_t version = VersionOf(aKey);
    if (version != aExpected) {
      result.mConflicts.push_back({ aKey, version });
    }
  };
  for (const platform::Write& write : aTransaction.mWrites) {
    compare(write.mKey, write.mExpectedVersion);
  }
  for (const platform::Check& check : aTransaction.mChecks) {
    compare(check.mKey, check.mExpectedVersion);
  }
  if (!result.Committed()) {
    return result;
  }
  for (const platform::Write& write : aTransaction.mWrites) {
    std::uint64_t version = ++mLastVersion;
    if (write.mValue) {
      mRows[write.mKey] = { write.mKey, version, *write.mValue };
    } else {
      mRows.erase(write.mKey);
    }
    result.mVersions.push_back({ write.mKey, write.mValue ? version : 0 });
  }
  return result;
}

std::vector<platform::Row> FakeStore::Read(std::vector<std::string> aKeys) const
{
  std::ranges::sort(aKeys);
  std::vector<platform::Row> rows;
  for (const std::string& key : aKeys) {
    if (auto found = mRows.find(key); found != mRows.end()) {
      rows.push_back(found->second);
    }
  }
  return rows;
}

std::vector<platform::Row> FakeStore::Scan(const std::string& aPrefix) const
{
  std::vector<platform::Row> rows;
  for (auto row = mRows.lower_bound(aPrefix);
       row != mRows.end() && row->first.starts_with(aPrefix);
       ++row) {
    rows.push_back(row->second);
  }
  return rows;
}

std::string FakeStore::PutObject(const std::string& aText)
{
  std::string digest = base::Sha256Hex(aText);
  mObjects[digest] = aText;
  return digest;
}

base::Expected<std::string> FakeStore::GetObject(
  const std::string& aDigest) const
{
  auto found = mObjects.find(aDigest);
  if (found == mObjects.end()) {
    return base::MakeError(
      base::ErrorCode::eNotFound, "get object", "store", "no such object");
  }
  return found->second;
}

} // namespace flamingoloom::testing::fakes
