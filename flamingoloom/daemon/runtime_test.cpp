#include "flamingoloom/daemon/runtime.h"

#include <caf/all.hpp>
#include <caf/scheduler/test_coordinator.hpp>
#include <doctest/doctest.h>

namespace flamingoloom::daemon {

using namespace std::chrono_literals;

// Guards against timers that use another clock than the actor system's, which
// tests pause, and against functions that run out of order.
TEST_CASE("delayed functions run when the paused clock reaches their time")
{
  caf::actor_system_config config;
  config.set("scheduler.policy", caf::atom("testing"));
  caf::actor_system system(config);
  auto& scheduler =
    dynamic_cast<caf::scheduler::test_coordinator&>(system.scheduler());
  auto ownedRuntime = std::make_unique<Runtime>(system);
  Runtime& runtime = *ownedRuntime;
  std::vector<int> ran;
  base::Time timeOfSecondCall{};
  runtime.Post([&] {
    ran.push_back(1);
    runtime.After(2s, [&] {
      ran.push_back(2);
      timeOfSecondCall = runtime.Now();
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
  CHECK(timeOfSecondCall == base::Time(2s));
  ownedRuntime.reset();
  scheduler.run();
}

} // namespace flamingoloom::daemon
