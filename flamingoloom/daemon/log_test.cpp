#include "flamingoloom/daemon/log.h"

#include <doctest/doctest.h>

namespace flamingoloom::daemon {

// Guards against lines that cannot be split into their fields again.
TEST_CASE("values with blanks are quoted and JSON lines are JSON")
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
