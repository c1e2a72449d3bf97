#include "flamingoloom/report/burn_collector.h"

#include <doctest/doctest.h>

namespace flamingoloom::report {
namespace {

using namespace std::chrono_literals;

// Fake ports that record queries and the timer; the test completes them.
struct FakePorts
{
  void After(base::Duration aDelay, std::function<void()> aAction)
  {
    mDelay = aDelay;
    mTimer = std::move(aAction);
  }
  void QueryStatus(const platform::PeerAddress& aPeer,
                   const std::string& aTopic,
                   platform::Done<std::string> aDone)
  {
    CHECK(aTopic == "burn");
    mCalls[aPeer.mId.Value()] = std::move(aDone);
  }

  base::Duration mDelay{};
  std::function<void()> mTimer;
  std::map<std::string, platform::Done<std::string>> mCalls;
};

const PairKey kQuote(base::AccountId("acme"), base::KindId("quote"));

InstanceBurn MakeBurn(CompletionCounts aCounts, base::Duration aCountingFor)
{
  InstanceBurn burn;
  burn.mCounts.mPairs[kQuote][0][0] = aCounts;
  burn.mCountingFor = aCountingFor;
  return burn;
}

struct Fixture
{
  void Collect(std::initializer_list<const char*> aPeers)
  {
    std::vector<platform::PeerAddress> peers;
    for (const char* peer : aPeers) {
      peers.push_back({ base::InstanceId(peer), "127.0.0.1:1" });
    }
    CollectBurn(mPorts,
                base::InstanceId("self"),
                MakeBurn({ 1, 1 }, 1h),
                peers,
                [this](const CollectedBurn& aCollected) {
                  ++mDoneCalls;
                  mCollected = aCollected;
                });
  }

  CompletionCounts Counted() const
  {
    return mCollected.mCounts.mPairs.at(kQuote)[0][0];
  }

  FakePorts mPorts;
  CollectedBurn mCollected;
  int mDoneCalls = 0;
};

} // namespace

// With no peers, no response can complete the report; it must be completed at
// the start.
TEST_CASE("the report of a single instance is complete at once")
{
  Fixture test;
  test.Collect({});
  CHECK(test.mDoneCalls == 1);
  CHECK(test.Counted() == CompletionCounts{ 1, 1 });
  REQUIRE(test.mCollected.mInstances.size() == 1);
  CHECK(test.mCollected.mInstances[0] == CountingInstance{ "self", 1h });
  CHECK(test.mCollected.mMissing.empty());
}

// Guards against a merge that loses the counts of a peer.
TEST_CASE("the counts of all peers are merged")
{
  Fixture test;
  test.Collect({ "b", "c" });
  test.mPorts.mCalls.at("c")(EncodeBurn(MakeBurn({ 0, 4 }, 2min)));
  CHECK(test.mDoneCalls == 0);
  test.mPorts.mCalls.at("b")(EncodeBurn(MakeBurn({ 2, 2 }, 3min)));
  CHECK(test.mDoneCalls == 1);
  CHECK(test.Counted() == CompletionCounts{ 3, 7 });
  CHECK(test.mCollected.mInstances ==
        std::vector<CountingInstance>{
          { "self", 1h }, { "c", 2min }, { "b", 3min } });
}

// Guards against a peer that is left out of the report without being listed as
// missing: it is unreachable, sends an invalid response, or does not respond.
TEST_CASE("each peer without a valid response is listed as missing")
{
  Fixture test;
  test.Collect({ "dead", "rubbish", "silent", "well" });
  test.mPorts.mCalls.at("dead")(base::MakeError(
    base::ErrorCode::eUnavailable, "query status", "dead", "refused"));
  test.mPorts.mCalls.at("rubbish")(std::string("<html>"));
  test.mPorts.mCalls.at("well")(EncodeBurn(MakeBurn({ 5, 5 }, 1s)));
  CHECK(test.mDoneCalls == 0);
  CHECK(test.mPorts.mDelay == 1s);
  test.mPorts.mTimer();
  CHECK(test.mDoneCalls == 1);
  CHECK(test.Counted() == CompletionCounts{ 6, 6 });
  const auto& missing = test.mCollected.mMissing;
  REQUIRE(missing.size() == 3);
  CHECK(missing[0].mId == "dead");
  CHECK(missing[0].mReason.find("refused") != std::string::npos);
  CHECK(missing[1].mId == "rubbish");
  CHECK(missing[2] == MissingInstance{ "silent", "no answer within 1 s" });
}

// A response that arrives after the timeout must neither complete the report a
// second time nor change its counts.
TEST_CASE("responses after the timeout are ignored")
{
  Fixture test;
  test.Collect({ "slow" });
  test.mPorts.mTimer();
  test.mPorts.mCalls.at("slow")(EncodeBurn(MakeBurn({ 5, 5 }, 1s)));
  CHECK(test.mDoneCalls == 1);
  CHECK(test.Counted() == CompletionCounts{ 1, 1 });
}

} // namespace flamingoloom::report
