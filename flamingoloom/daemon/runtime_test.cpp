#include "flamingoloom/daemon/runtime.h"

#include <caf/all.hpp>
#include <caf/scheduler/test_coordinator.hpp>
#include <doctest/doctest.h>

namespace flamingoloom::daemon {

using namespace std::chrono_literals;

// Guards against timers that run on another clock than the one that tests
// pause, and against actions that run out of order.
TEST_CASE("actions wait for the paused clock of the runtime")
{
  caf::actor_system_config config;
  config.set("scheduler.policy", caf::atom("testing"));
  caf::actor_system system(config);
  auto& scheduler =
    dynamic_cast<caf::scheduler::test_coordinator&>(system.scheduler());
  auto owned = std::make_unique<Runtime>(system);
  Runtime& runtime = *owned;
  std::vector<int> ran;
  base::Time second{};
  runtime.Post([&] {
    ran.push_back(1);
    runtime.After(2s, [&] {
      ran.push_back(2);
      second = runtime.Now();
    });
  });
  scheduler.run();
  CHECK(ran == std::vector{ 1 });
  scheduler.advance_time(1999ms);
  scheduler.run();
  CHECK(ran == std::vector{ 1 });
  scheduler.advance_time(1ms);
  scheduler.run();
  CHECK(ran == std::vector{ 1, 2 });
  CHECK(second == base::Time(2s));
  owned.reset();
  scheduler.run();
}

} // namespace flamingoloom::daemon
