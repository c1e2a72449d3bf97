#include "flamingoloom/daemon/access_check.h"

#include <openssl/crypto.h>

#include "flamingoloom/base/digest.h"

namespace flamingoloom::daemon {
namespace {

// Compares in constant time, so that the duration does not reveal how many
// leading characters match.
bool SameDigest(const std::string& aA, const std::string& aB)
{
  return aA.size() == aB.size() &&
         CRYPTO_memcmp(aA.data(), aB.data(), aA.size()) == 0;
}

} // namespace

base::Expected<platform::Nothing> CheckAccess(
  frontend::Role aRole,
  const base::AccountId& aAccount,
  const std::string& aKey,
  const std::string& aOperatorKeySha256,
  const config::Configuration* aConfiguration)
{
  std::string expectedDigest = aOperatorKeySha256;
  if (aRole == frontend::Role::eCaller) {
    const config::ClientAccount* account =
      aConfiguration ? aConfiguration->Account(aAccount) : nullptr;
    expectedDigest = account ? account->mKeySha256 : std::string();
  }
  if (expectedDigest.empty() ||
      SameDigest(base::Sha256Hex(aKey), expectedDigest)) {
    return platform::Nothing{};
  }
  return base::MakeError(base::ErrorCode::eDenied,
                         "check key",
                         aRole == frontend::Role::eCaller ? "caller"
                                                          : "operator",
                         aKey.empty() ? "a key is needed" : "the key is wrong",
                         "Authorization");
}

} // namespace flamingoloom::daemon
