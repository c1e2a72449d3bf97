#include "flamingoloom/node/configuration.h"

namespace flamingoloom::node {

const Queue* Configuration::FindQueue(const std::string& aHost,
                                      const std::string& aPath) const
{
  const Queue* best = nullptr;
  for (const auto& queue : mQueues) {
    const bool matches =
      queue.mHost == aHost &&
      aPath.compare(0, queue.mPathPrefix.size(), queue.mPathPrefix) == 0;
    if (matches && (best == nullptr ||
                    queue.mPathPrefix.size() > best->mPathPrefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const Account* Configuration::FindAccount(const std::string& aKey) const
{
  for (const auto& account : mAccounts) {
    if (account.mKeys.count(aKey) > 0) {
      return &account;
    }
  }
  return nullptr;
}

} // namespace flamingoloom::node
