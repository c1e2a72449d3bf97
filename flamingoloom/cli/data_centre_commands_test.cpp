#include <doctest/doctest.h>

#include "flamingoloom/cli/fake_instance.h"
#include "flamingoloom/cli/run_in_process.h"

namespace flamingoloom::cli {
namespace {

using nlohmann::json;

json Row(const std::string& aState, bool aAcknowledged, int aVersion)
{
  return { { "dataCentre", "dc-2" },
           { "state", aState },
           { "acknowledged", aAcknowledged },
           { "reason", aAcknowledged ? "" : "s7 has not answered" },
           { "operator", "sigrun" },
           { "version", aVersion } };
}

json Listing(const json& aRow)
{
  return { { "dataCentres",
             { { { "dataCentre", "dc-1" }, { "version", 1 } }, aRow } } };
}

json Conflict()
{
  return { { "error",
             { { "code", "conflict" },
               { "message", "changed by halldor, version 9" } } } };
}

} // namespace

// Guards against a take-out that is reported as done while work can still start
// in the data centre (P3).
TEST_CASE("data-centre out waits until the take-out is acknowledged")
{
  FakeInstance instance;
  instance.AddResponse(200, Listing(Row("in", true, 8)));
  instance.AddResponse(200, Row("out", false, 9));
  instance.AddResponse(200, Listing(Row("out", false, 9)));
  instance.AddResponse(200, Listing(Row("out", true, 9)));
  auto result =
    RunWithServers({ instance.Address() },
                   { "data-centre", "out", "dc-2", "--operator", "sigrun" });
  CHECK(result.mCode == ExitCode::eDone);
  REQUIRE(instance.Requests().size() == 4);
  const auto change = instance.Requests()[1];
  CHECK(change.mMethod == "POST");
  CHECK(change.mPath == "/v1/datacentres/dc-2");
  CHECK(json::parse(change.mBody) == json{ { "state", "out" },
                                           { "operator", "sigrun" },
                                           { "expectedVersion", 8 } });
}

// Guards against an exit code of success for a take-out that is still not
// acknowledged when the wait is over.
TEST_CASE("data-centre out prints the reason while it is not acknowledged")
{
  FakeInstance instance;
  instance.AddResponse(200, Row("out", false, 9));
  instance.AddResponse(200, Listing(Row("out", false, 9)));
  auto result = RunWithServers({ instance.Address() },
                               { "data-centre",
                                 "out",
                                 "dc-2",
                                 "--operator",
                                 "sigrun",
                                 "--expected-version",
                                 "8",
                                 "--wait",
                                 "1500 ms" });
  CHECK(result.mCode == ExitCode::ePending);
  CHECK(result.OutHas("s7 has not answered"));
  CHECK(result.ErrHas("dc-2 is not acknowledged yet: \"s7 has not answered"));
  CHECK(result.ErrHas("work may still start there"));
}

// Guards against an operator who overwrites another operator's change.
TEST_CASE("data-centre out and in report a conflict")
{
  for (const char* direction : { "out", "in" }) {
    FakeInstance instance;
    instance.AddResponse(409, Conflict());
    auto result = RunWithServers({ instance.Address() },
                                 { "data-centre",
                                   direction,
                                   "dc-2",
                                   "--operator",
                                   "sigrun",
                                   "--expected-version",
                                   "8" });
    CHECK(result.mCode == ExitCode::eConflict);
    CHECK(result.ErrHas("changed by halldor, version 9"));
    CHECK(instance.Requests().size() == 1);
  }
}

// Guards against a misspelt data centre that is accepted, and against a change
// without an operator, whose name a conflicting operator needs to see.
TEST_CASE("data-centre out needs an existing data centre and an operator")
{
  FakeInstance instance;
  instance.AddResponse(200, Listing(Row("in", true, 8)));
  auto unknown =
    RunWithServers({ instance.Address() },
                   { "data-centre", "out", "dc-9", "--operator", "sigrun" });
  CHECK(unknown.mCode == ExitCode::eNotFound);
  auto nameless =
    RunWithServers({ instance.Address() }, { "data-centre", "in", "dc-2" });
  CHECK(nameless.mCode == ExitCode::eInvalid);
  CHECK(nameless.ErrHas("--operator"));
  for (const auto& request : instance.Requests()) {
    CHECK(request.mMethod == "GET");
  }
}

// Guards against a return to service without the default operator, which is the
// environment variable USER, or without the version of the listing.
TEST_CASE("data-centre in returns the data centre to service")
{
  FakeInstance instance;
  instance.AddResponse(200, Listing(Row("out", true, 9)));
  instance.AddResponse(200, Row("in", true, 10));
  auto result = RunCommandLine(
    { "data-centre", "in", "dc-2", "--server", instance.Address(), "--json" },
    { { "USER", "halldor" } });
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(json::parse(result.mOut) == Row("in", true, 10));
  CHECK(json::parse(instance.Requests().at(1).mBody) ==
        json{ { "state", "in" },
              { "operator", "halldor" },
              { "expectedVersion", 9 } });
}

// Guards against a listing that omits whether a take-out is acknowledged.
TEST_CASE("data-centre status lists all data centres")
{
  FakeInstance instance;
  instance.AddResponse(200, Listing(Row("out", false, 9)));
  auto result =
    RunWithServers({ instance.Address() }, { "data-centre", "status" });
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(result.OutHas("dc-1"));
  CHECK(result.OutHas("s7 has not answered"));
  CHECK(RunWithServers({ UnreachableAddress() }, { "data-centre", "status" })
          .mCode == ExitCode::eUnreachable);
}

} // namespace flamingoloom::cli
