#include "flamingoloom/daemon/log.h"

#include <doctest/doctest.h>

namespace flamingoloom::daemon {

// A value with a blank must be quoted; otherwise a reader cannot split a
// key-value line into its fields.
TEST_CASE(
  "key-value lines quote values with blanks, JSON lines are JSON objects")
{
  LogFields fields{ { "step", "renew lease" }, { "peer", "table" } };
  CHECK(FormatLogLine(config::LogFormat::eKeyValue,
                      "t",
                      config::LogLevel::eInfo,
                      "a1",
                      "lease lost",
                      fields) ==
        "time=t level=info instance=a1 event=\"lease lost\" "
        "step=\"renew lease\" peer=table");
  CHECK(
    FormatLogLine(
      config::LogFormat::eJson, "t", config::LogLevel::eError, "a1", "x", {}) ==
    R"({"time":"t","level":"error","instance":"a1","event":"x"})");
}

} // namespace flamingoloom::daemon
