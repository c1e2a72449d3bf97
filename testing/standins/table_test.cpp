#include <doctest/doctest.h>

#include "testing/standins/table.h"

namespace flamingoloom::standins {

// Guards against a transaction that applies some of its writes although another
// write or check conflicts.
TEST_CASE("a conflict in any write or check leaves the table unchanged")
{
  Table table;
  REQUIRE(table.Commit({ .mWrites = { { "a", 0, "1" } } }).Committed());
  const auto before = table.Scan("");

  auto result =
    table.Commit({ .mWrites = { { "b", 0, "2" }, { "a", 7, "2" } } });
  CHECK(result.mConflicts == std::vector<platform::RowVersion>{ { "a", 1 } });
  result = table.Commit(
    { .mWrites = { { "b", 0, "2" } }, .mChecks = { { "c", 3 }, { "a", 1 } } });
  CHECK(result.mConflicts == std::vector<platform::RowVersion>{ { "c", 0 } });
  CHECK(table.Scan("") == before);
}

// Guards against a recreated row that gets a version it had before its
// deletion. A writer that read the old row would then overwrite the new one.
TEST_CASE("versions increase across the whole table, also after a deletion")
{
  Table table;
  table.Commit({ .mWrites = { { "a", 0, "1" }, { "b", 0, "1" } } });
  REQUIRE(table.Commit({ .mWrites = { { "b", 2, {} } } }).Committed());
  const auto result = table.Commit({ .mWrites = { { "b", 0, "2" } } });
  CHECK(result.mVersions == std::vector<platform::RowVersion>{ { "b", 3 } });
}

// Guards against a scan that returns rows of other prefixes: an instance that
// takes over a data centre would recover rows that are not part of it.
TEST_CASE("a scan returns the rows of its prefix in order")
{
  Table table;
  table.Commit({ .mWrites = { { "r/b", 0, "1" },
                              { "r/a", 0, "1" },
                              { "q/z", 0, "1" },
                              { "s", 0, "1" } } });
  const auto rows = table.Scan("r/");
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].mKey == "r/a");
  CHECK(rows[1].mKey == "r/b");
  CHECK(table.Read({ "s", "none" }).size() == 1);
}

} // namespace flamingoloom::standins
