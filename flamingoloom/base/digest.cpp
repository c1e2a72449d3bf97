#include "flamingoloom/base/digest.h"

#include <array>

#include <fmt/format.h>
#include <openssl/sha.h>

namespace flamingoloom::base {

std::string Sha256Hex(std::string_view aData)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aData.data()),
         aData.size(),
         digest.data());
  std::string hex;
  hex.reserve(digest.size() * 2);
  for (unsigned char byte : digest) {
    hex += fmt::format("{:02x}", byte);
  }
  return hex;
}

} // namespace flamingoloom::base
