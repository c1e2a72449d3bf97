#include "flamingoloom/base/compression.h"

#include <algorithm>

#include <zlib.h>

namespace flamingoloom::base {

std::string Compress(const std::string& aText)
{
  uLongf size = compressBound(aText.size());
  std::string compressed(size, '\0');
  // Cannot fail with a buffer of this size, but for want of memory.
  compress(reinterpret_cast<Bytef*>(compressed.data()),
           &size,
           reinterpret_cast<const Bytef*>(aText.data()),
           aText.size());
  compressed.resize(size);
  return compressed;
}

Expected<std::string> Decompress(const char* aStep,
                                 const std::string& aPeer,
                                 const std::string& aCompressed,
                                 std::size_t aMaxBytes)
{
  constexpr std::size_t kTypicalRatio = 8;
  int status = Z_BUF_ERROR;
  std::string text;
  for (std::size_t capacity =
         std::min(aMaxBytes, aCompressed.size() * kTypicalRatio + 1);
       status == Z_BUF_ERROR && text.size() < aMaxBytes;
       capacity = std::min(aMaxBytes, capacity * 2)) {
    text.resize(capacity);
    uLongf size = text.size();
    status = uncompress(reinterpret_cast<Bytef*>(text.data()),
                        &size,
                        reinterpret_cast<const Bytef*>(aCompressed.data()),
                        aCompressed.size());
    if (status == Z_OK) {
      text.resize(size);
      return text;
    }
  }
  return MakeError(ErrorCode::eInvalid,
                   aStep,
                   aPeer,
                   status == Z_BUF_ERROR ? "truncated or too large"
                                         : "not compressed data");
}

} // namespace flamingoloom::base
