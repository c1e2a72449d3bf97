#include <doctest/doctest.h>

#include "flamingoloom/frontend/request_memory.h"

namespace flamingoloom::frontend::internal {
namespace {

// Guards against large requests that together exceed the memory, and against
// ordinary ones that are refused beside them.
TEST_CASE("Large requests share the limit, ordinary ones are always counted")
{
  RequestMemory memory(100);
  CountedMemory first(memory);
  CHECK(first.TryAdd(60, false));
  {
    CountedMemory second(memory);
    CHECK(!second.TryAdd(60, false));
    CHECK(second.TryAdd(30, false));
    CHECK(second.TryAdd(60, true));
    CHECK(!second.TryAdd(1, false));
  }
  CHECK(first.TryAdd(40, false));
  first.Clear();
  CHECK(first.TryAdd(100, false));
}

} // namespace
} // namespace flamingoloom::frontend::internal
