#include <doctest/doctest.h>

#include "flamingoloom/base/digest.h"
#include "flamingoloom/base/error.h"
#include "flamingoloom/base/ids.h"

namespace flamingoloom::base {

// Guards against a code without a name, which would reach a peer as "invalid".
TEST_CASE("every error code survives the way over the wire")
{
  for (int i = 0; i <= static_cast<int>(ErrorCode::eTimeout); ++i) {
    auto code = static_cast<ErrorCode>(i);
    CHECK(ErrorCodeFromName(ErrorCodeName(code)) == code);
  }
}

// Guards against an error that does not say where it arose.
TEST_CASE("an error names step, peer and field")
{
  Error error{
    ErrorCode::eInvalid, "read request", "caller", "unknown kind", "/kind"
  };
  CHECK(error.ToString() ==
        "read request at caller [/kind]: unknown kind (invalid)");
}

// Guards against digests that other implementations cannot check.
TEST_CASE("the digest is SHA-256 in hexadecimal")
{
  CHECK(Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against an epoch that does not rise.
TEST_CASE("the next epoch is higher")
{
  CHECK(Epoch(3).Next() > Epoch(3));
}

} // namespace flamingoloom::base
