#include "flamingoloom/report/burn_collector.h"

#include <doctest/doctest.h>

namespace flamingoloom::report {
namespace {

using namespace std::chrono_literals;

// Keeps the calls until the test answers them.
struct HeldPorts
{
  void After(base::Duration aWait, std::function<void()> aAction)
  {
    mWait = aWait;
    mTimer = std::move(aAction);
  }
  void QueryStatus(const platform::PeerAddress& aPeer,
                   const std::string& aTopic,
                   platform::Done<std::string> aDone)
  {
    CHECK(aTopic == "burn");
    mCalls[aPeer.mId.Value()] = std::move(aDone);
  }

  base::Duration mWait{};
  std::function<void()> mTimer;
  std::map<std::string, platform::Done<std::string>> mCalls;
};

const PairKey kQuote(base::AccountId("acme"), base::KindId("quote"));

InstanceBurn BurnOf(CompletionCounts aCounts, base::Duration aCountingFor)
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
                BurnOf({ 1, 1 }, 1h),
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

  HeldPorts mPorts;
  CollectedBurn mCollected;
  int mDoneCalls = 0;
};

} // namespace

// Guards against a report that never comes when there is only one instance.
TEST_CASE("a single instance reports itself")
{
  Fixture test;
  test.Collect({});
  CHECK(test.mDoneCalls == 1);
  CHECK(test.Counted() == CompletionCounts{ 1, 1 });
  REQUIRE(test.mCollected.mInstances.size() == 1);
  CHECK(test.mCollected.mInstances[0] == CountingInstance{ "self", 1h });
  CHECK(test.mCollected.mMissing.empty());
}

// Guards against peers whose counts are lost in the merge.
TEST_CASE("the counts of all peers are merged")
{
  Fixture test;
  test.Collect({ "b", "c" });
  test.mPorts.mCalls.at("c")(EncodeBurn(BurnOf({ 0, 4 }, 2min)));
  CHECK(test.mDoneCalls == 0);
  test.mPorts.mCalls.at("b")(EncodeBurn(BurnOf({ 2, 2 }, 3min)));
  CHECK(test.mDoneCalls == 1);
  CHECK(test.Counted() == CompletionCounts{ 3, 7 });
  CHECK(test.mCollected.mInstances ==
        std::vector<CountingInstance>{
          { "self", 1h }, { "c", 2min }, { "b", 3min } });
}

// Guards against a peer that cannot be reached, answers rubbish or is silent
// and is then left out without a word.
TEST_CASE("each peer without a usable answer is named")
{
  Fixture test;
  test.Collect({ "dead", "rubbish", "silent", "well" });
  test.mPorts.mCalls.at("dead")(base::MakeError(
    base::ErrorCode::eUnavailable, "query status", "dead", "refused"));
  test.mPorts.mCalls.at("rubbish")(std::string("<html>"));
  test.mPorts.mCalls.at("well")(EncodeBurn(BurnOf({ 5, 5 }, 1s)));
  CHECK(test.mDoneCalls == 0);
  CHECK(test.mPorts.mWait == 1s);
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

// Guards against a second report, and against counts that are added after the
// report was given.
TEST_CASE("answers after the time-out change nothing")
{
  Fixture test;
  test.Collect({ "slow" });
  test.mPorts.mTimer();
  test.mPorts.mCalls.at("slow")(EncodeBurn(BurnOf({ 5, 5 }, 1s)));
  CHECK(test.mDoneCalls == 1);
  CHECK(test.Counted() == CompletionCounts{ 1, 1 });
}

} // namespace flamingoloom::report
