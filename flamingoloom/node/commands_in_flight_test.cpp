#include <doctest/doctest.h>

#include "flamingoloom/node/commands_in_flight.h"

namespace flamingoloom::node {
namespace {

// Guards against commands that count for ever, or no longer, once one of their
// calls has ended: a start may be sent again.
TEST_CASE("A command counts until its last call has ended")
{
  int ended = 0;
  CommandsInFlight::Counted retried;
  {
    CommandsInFlight commands({ 100, 20 }, [&ended] { ++ended; });
    auto first = commands.Count(30);
    retried = first;
    const auto second = commands.Count(50);
    CHECK(commands.Left() == scheduler::CommandBudget{ 20, 20 });
    first.reset();
    CHECK(commands.Left().mBytes == 20);
    CHECK(ended == 0);
  }
  CHECK(ended == 1);
  retried.reset();
  CHECK(ended == 2);
}

} // namespace
} // namespace flamingoloom::node
