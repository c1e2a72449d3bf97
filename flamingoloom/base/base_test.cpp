#include <doctest/doctest.h>

#include "flamingoloom/base/digest.h"
#include "flamingoloom/base/error.h"
#include "flamingoloom/base/ids.h"

namespace flamingoloom::base {

// Guards against a new code that has no entry in the table of names: a peer
// would receive it as "invalid".
TEST_CASE("every error code converts to its name and back")
{
  for (int i = 0; i <= static_cast<int>(ErrorCode::eTimeout); ++i) {
    auto code = static_cast<ErrorCode>(i);
    CHECK(ErrorCodeFromName(ErrorCodeName(code)) == code);
  }
}

// Guards against log lines that do not tell where an error occurred.
TEST_CASE("an error text contains step, peer, field and message")
{
  Error error{
    ErrorCode::eInvalid, "read request", "caller", "unknown kind", "/kind"
  };
  CHECK(error.ToString() ==
        "read request at caller [/kind]: unknown kind (invalid)");
}

// Guards against digests that other implementations of SHA-256 cannot verify.
TEST_CASE("the digest is SHA-256 in hexadecimal")
{
  CHECK(Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a takeover that does not raise the fencing token, which would
// let the previous owner keep starting work.
TEST_CASE("the next epoch is higher")
{
  CHECK(Epoch(3).Next() > Epoch(3));
}

} // namespace flamingoloom::base
