// In-memory table service and object store of the platform.
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
  // A response takes up to several seconds; some arrive after the call timeout.
  eSlow,
  // Writes take effect, but each response is lost with a given probability.
  eLosesAnswers,
};

// The stored rows and objects, with the exact semantics of transactions.
// SimulatedCluster and FakePorts inject the faults.
class FakeStore
{
public:
  platform::TransactionResult Commit(const platform::Transaction& aTransaction);
  std::vector<platform::Row> Read(std::vector<std::string> aKeys) const;
  std::vector<platform::Row> Scan(const std::string& aPrefix) const;

  std::string PutObject(const std::string& aText);
  base::Expected<std::string> GetObject(const std::string& aDigest) const;

  // Returns 0 when the row does not exist.
  std::uint64_t VersionOf(const std::string& aKey) const;

private:
  std::map<std::string, platform::Row> mRows;
  std::map<std::string, std::string> mObjects;
  std::uint64_t mLastVersion = 0;
};

} // namespace flamingoloom::testing::fakes
