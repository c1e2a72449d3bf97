// The platform's table service and object store with their faults.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "flamingoloom/platform/ports.h"

namespace flamingoloom::testing::fakes {

enum class StoreMode
{
  eUp,
  eDown,
  // Answers take up to several seconds, some longer than callers wait.
  eSlow,
  // The write takes effect, but the answer is lost with a probability.
  eLosesAnswers,
};

// The content; exact transaction semantics and no faults.
class FakeStore
{
public:
  platform::TransactionResult Commit(const platform::Transaction& aTransaction);
  std::vector<platform::Row> Read(std::vector<std::string> aKeys) const;
  std::vector<platform::Row> Scan(const std::string& aPrefix) const;

  std::string PutObject(const std::string& aText);
  base::Expected<std::string> GetObject(const std::string& aDigest) const;

  // 0 when the row is absent.
  std::uint64_t VersionOf(const std::string& aKey) const;

private:
  std::map<std::string, platform::Row> mRows;
  std::map<std::string, std::string> mObjects;
  std::uint64_t mLastVersion = 0;
};

} // namespace flamingoloom::testing::fakes
