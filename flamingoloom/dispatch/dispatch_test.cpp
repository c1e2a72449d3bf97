#include <doctest/doctest.h>

#include "flamingoloom/dispatch/credit_ledger.h"
#include "flamingoloom/dispatch/credit_pool.h"
#include "flamingoloom/dispatch/failure_tracker.h"
#include "flamingoloom/dispatch/retry_budget.h"
#include "flamingoloom/dispatch/route.h"

namespace flamingoloom::dispatch {
namespace {

using namespace std::chrono_literals;
using base::DataCentreId;
using base::Epoch;
using base::InstanceId;
using base::ServerId;
using base::Time;

const DataCentreId kNear("near");
const DataCentreId kFar("far");

std::vector<ServerSlots> Servers(int aCount, int aSlots)
{
  std::vector<ServerSlots> servers;
  for (int i = 0; i < aCount; ++i) {
    std::string id = "s" + std::to_string(i);
    servers.push_back({ { ServerId(id), "127.0.0.1:1" }, aSlots });
  }
  return servers;
}

platform::CreditGrant MakeGrant(const DataCentreId& aDataCentre,
                                const std::string& aServer,
                                int aSlots)
{
  return { aDataCentre,
           Epoch(1),
           { { { ServerId(aServer), "127.0.0.1:1" }, aSlots } },
           2s };
}

RouteQuery Query(Time aNow)
{
  RouteQuery query;
  query.mNow = aNow;
  query.mDistance = [](const DataCentreId& aId) {
    return aId == kNear ? 0 : 2;
  };
  return query;
}

} // namespace

// Guards against granting more credits than a server has slots when holders
// join one after the other, which would overload the server.
TEST_CASE("credits of all holders never exceed a server's slots")
{
  CreditLedger ledger;
  auto servers = Servers(4, 6);
  for (int round = 0; round < 20; ++round) {
    Time now(round * 100ms);
    InstanceId holder("i" + std::to_string(round % 5));
    ledger.Grant(now, now + 2s, holder, 10, servers);
    for (const ServerSlots& server : servers) {
      CHECK(ledger.Granted(now, server.mServer.mId) <= server.mSlots);
    }
  }
  CHECK(ledger.LastExpiry() == Time(1900ms) + 2s);
}

// Guards against slots that stay ungranted, because of rounding, although
// several instances request credits.
TEST_CASE("all slots are granted after two requests of every holder")
{
  CreditLedger ledger;
  auto servers = Servers(4, 6);
  for (int round = 0; round < 10; ++round) {
    Time now(round * 100ms);
    InstanceId holder("i" + std::to_string(round % 5));
    ledger.Grant(now, now + 2s, holder, 10, servers);
  }
  int granted = 0;
  for (const ServerSlots& server : servers) {
    granted += ledger.Granted(Time(900ms), server.mServer.mId);
  }
  CHECK(granted == 24);
}

// Guards against work on a credit when another instance may own the data centre
// by now.
TEST_CASE("credits expire, counted from before their request was sent")
{
  CreditPool pool;
  pool.Put(MakeGrant(kNear, "s1", 2), Time(1s));
  CHECK(pool.Free(Time(2999ms)).size() == 1);
  CHECK(pool.Free(Time(3s)).empty());
}

// Guards against a late grant of the previous owner that replaces the grant of
// the new owner.
TEST_CASE("a grant of a lower epoch is ignored")
{
  CreditPool pool;
  platform::CreditGrant grant = MakeGrant(kNear, "s1", 2);
  grant.mEpoch = Epoch(5);
  pool.Put(grant, Time(0s));
  grant.mEpoch = Epoch(4);
  pool.Put(grant, Time(1s));
  CHECK(pool.Free(Time(1s)).at(0).mEpoch == Epoch(5));
}

// Guards against counting a slot as free while a request still uses it, because
// its grant was renewed in the meantime.
TEST_CASE("a slot stays in use when its grant is replaced")
{
  CreditPool pool;
  pool.Put(MakeGrant(kNear, "s1", 1), Time(0s));
  pool.Acquire(ServerId("s1"));
  pool.Put(MakeGrant(kNear, "s1", 1), Time(1s));
  CHECK(pool.Free(Time(1s)).empty());
  pool.Release(ServerId("s1"));
  CHECK(pool.Free(Time(1s)).size() == 1);
}

// Guards against routing ever more requests to a server that fails each of them
// at once and therefore looks idle.
TEST_CASE("a server that fails is ejected and probed at growing intervals")
{
  FailureTracker failures;
  ServerId bad("bad");
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(failures.IsEjected(bad));
    failures.OnFailure(bad, Time(0s));
  }
  CHECK(failures.IsEjected(bad));
  CHECK_FALSE(failures.MayProbe(bad, Time(1999ms)));
  CHECK(failures.MayProbe(bad, Time(2s)));
  failures.OnFailure(bad, Time(2s));
  CHECK_FALSE(failures.MayProbe(bad, Time(5999ms)));
  failures.OnSuccess(bad);
  CHECK_FALSE(failures.IsEjected(bad));
}

// Guards against a server that failed once or twice and gets no more work,
// since others have a lower failure rate, so that it can never show its
// recovery.
TEST_CASE("the failure rate of a server decays with time")
{
  FailureTracker failures;
  ServerId server("s");
  failures.OnFailure(server, Time(0s));
  double fresh = failures.FailureRate(server, Time(0s));
  CHECK(failures.FailureRate(server, Time(5s)) == doctest::Approx(fresh / 2));
  CHECK(failures.FailureRate(server, Time(60s)) < 0.01);
}

// Guards against ejecting a server because of occasional failures.
TEST_CASE("one failure in five does not eject")
{
  FailureTracker failures;
  ServerId server("s");
  for (int i = 0; i < 100; ++i) {
    failures.OnSuccess(server);
    if (i % 5 == 0) {
      failures.OnFailure(server, Time(0s));
    }
    CHECK_FALSE(failures.IsEjected(server));
  }
}

// Guards against requests that cross the slow link between regions without
// need, and against using the only call attempt of a request as a probe.
TEST_CASE("routing stays near, avoids ejected servers, probes only on request")
{
  CreditPool pool;
  pool.Put(MakeGrant(kNear, "bad", 4), Time(0s));
  pool.Put(MakeGrant(kFar, "good", 4), Time(0s));
  FailureTracker failures;
  auto near =
    WeightedRouting::Choose(pool.Free(Time(0s)), failures, Query(Time(0s)));
  REQUIRE(near);
  CHECK(near->mSlot.mDataCentre == kNear);

  for (int i = 0; i < 3; ++i) {
    failures.OnFailure(ServerId("bad"), Time(0s));
  }
  pool.Put(MakeGrant(kNear, "bad", 4), Time(2s));
  pool.Put(MakeGrant(kFar, "good", 4), Time(2s));
  RouteQuery query = Query(Time(3s));
  auto far = WeightedRouting::Choose(pool.Free(Time(3s)), failures, query);
  REQUIRE(far);
  CHECK(far->mSlot.mServer.mId == ServerId("good"));
  query.mMayProbe = true;
  auto probe = WeightedRouting::Choose(pool.Free(Time(3s)), failures, query);
  REQUIRE(probe);
  CHECK(probe->mIsProbe);
  auto baseline =
    LeastLoadedRouting::Choose(pool.Free(Time(3s)), failures, query);
  CHECK(baseline->mSlot.mServer.mId == ServerId("bad"));
}

// Guards against retries that amplify an overload.
TEST_CASE("retries are limited to a tenth of first attempts")
{
  RetryBudget budget;
  while (budget.TakeRetry()) {
  }
  int retries = 0;
  for (int i = 0; i < 100; ++i) {
    budget.OnFirstAttempt();
    retries += budget.TakeRetry() ? 1 : 0;
  }
  CHECK(retries >= 9);
  CHECK(retries <= 10);
}

} // namespace flamingoloom::dispatch
