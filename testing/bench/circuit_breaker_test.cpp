#include "testing/bench/circuit_breaker.h"

#include <doctest/doctest.h>

namespace flamingoloom::testing::bench {
namespace {

using namespace std::chrono_literals;

const base::ServerId kServer("a-s1");

struct Fixture
{
  // Sends and ends one call; requires that it is permitted.
  void Call(bool aSucceeded)
  {
    REQUIRE(mBreaker.Permits(kServer, mNow));
    mBreaker.OnSend(kServer, mNow);
    mBreaker.OnResult(kServer, aSucceeded, mNow);
  }
  void Calls(int aCount, bool aSucceeded)
  {
    for (int i = 0; i < aCount; ++i) {
      Call(aSucceeded);
    }
  }
  BreakerState State() const { return mBreaker.State(kServer, mNow); }

  CircuitBreaker mBreaker;
  base::Time mNow{ 1s };
};

// Guards against opening on few results.
TEST_CASE_FIXTURE(Fixture, "opens at the minimum number of calls")
{
  Calls(19, false);
  CHECK(State() == BreakerState::eClosed);
  Call(false);
  CHECK(State() == BreakerState::eOpen);
  CHECK_FALSE(mBreaker.Permits(kServer, mNow));
}

// Guards against counting results that have left the window.
TEST_CASE_FIXTURE(Fixture, "the failure rate is that of the last 20 calls")
{
  Calls(20, true);
  Calls(9, false);
  CHECK(State() == BreakerState::eClosed);
  Call(false);
  CHECK(State() == BreakerState::eOpen);
}

// Guards against more trial calls than allowed and against closing early.
TEST_CASE_FIXTURE(Fixture, "five trial calls decide in Half-Open")
{
  Calls(20, false);
  mNow += 5s;
  CHECK(State() == BreakerState::eHalfOpen);
  for (int i = 0; i < 5; ++i) {
    REQUIRE(mBreaker.Permits(kServer, mNow));
    mBreaker.OnSend(kServer, mNow);
  }
  CHECK_FALSE(mBreaker.Permits(kServer, mNow));
  for (int i = 0; i < 4; ++i) {
    mBreaker.OnResult(kServer, true, mNow);
  }
  CHECK(State() == BreakerState::eHalfOpen);
  mBreaker.OnResult(kServer, false, mNow);
  CHECK(State() == BreakerState::eClosed);
}

// Guards against a server that stays broken getting work after its trials.
TEST_CASE_FIXTURE(Fixture, "failed trial calls open the breaker again")
{
  Calls(20, false);
  mNow += 5s;
  Calls(5, false);
  CHECK(State() == BreakerState::eOpen);
  mNow += 4999ms;
  CHECK(State() == BreakerState::eOpen);
  mNow += 1ms;
  CHECK(State() == BreakerState::eHalfOpen);
}

} // namespace
} // namespace flamingoloom::testing::bench
