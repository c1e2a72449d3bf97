#include "flamingoloom/report/burn.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "flamingoloom/report/burn_json.h"

namespace flamingoloom::report {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t k5Minutes = 0;
constexpr std::size_t k1Hour = 1;
constexpr std::size_t k6Hours = 2;
constexpr std::size_t k3Days = 3;

const PairKey kQuote(base::AccountId("acme"), base::KindId("quote"));

RequestCompletion MakeCompletion(Result aResult, const PairKey& aKey = kQuote)
{
  return { aKey.first, aKey.second, aResult, 10ms };
}

base::Time At(base::Duration aTime)
{
  return base::Time(aTime);
}

CompletionCounts TotalOf(const BurnCounter& aCounter,
                         base::Duration aNow,
                         std::size_t aWindow)
{
  return Total(aCounter.Counts(At(aNow)).mPairs.at(kQuote)[aWindow]);
}

base::Expected<control::CallerAnswer> AnswerInState(
  control::RequestState aState)
{
  control::CallerAnswer answer;
  answer.mState = aState;
  return answer;
}

} // namespace

// Guards against late answers, rejections or cancellations that are counted as
// the wrong result.
TEST_CASE("the result follows from the answer, the duration and the target")
{
  using control::RequestState;
  auto result = [](RequestState aState, base::Duration aDuration) {
    return ResultOf(AnswerInState(aState), aDuration, 500ms);
  };
  CHECK(result(RequestState::eFinished, 500ms) == Result::eInTime);
  CHECK(result(RequestState::eFinished, 501ms) == Result::eLate);
  CHECK(result(RequestState::eFailed, 1ms) == Result::eFailed);
  CHECK(result(RequestState::eRefused, 1ms) == Result::eRefused);
  CHECK(result(RequestState::eUnknown, 1ms) == Result::eUnknown);
  CHECK(result(RequestState::eCancelled, 1ms) == Result::eCancelled);
  CHECK(!result(RequestState::ePending, 1ms));
  CHECK(ResultOf(AnswerInState(RequestState::eFinished), 9h, 0ms) ==
        Result::eInTime);
}

// Guards against invalid input of a caller that uses up the error budget.
TEST_CASE("an error in the caller's input is not a completion")
{
  auto result = [](base::ErrorCode aCode) {
    return ResultOf(
      base::MakeError(aCode, "accept request", "caller", "no"), 1ms, 500ms);
  };
  CHECK(!result(base::ErrorCode::eConflict));
  CHECK(!result(base::ErrorCode::eInvalid));
  CHECK(result(base::ErrorCode::eUnavailable) == Result::eUnknown);
}

// The expected rates are calculated by hand: 5 bad requests of 100 with 1%
// allowed give 5, 1 of 200 with 1% gives 0.5, and 3 of 10 with 10% gives 3.
TEST_CASE("burn rate is the bad share over the allowed share")
{
  CHECK(*BurnRate({ 95, 100 }, 0.99) == doctest::Approx(5));
  CHECK(*BurnRate({ 199, 200 }, 0.99) == doctest::Approx(0.5));
  CHECK(*BurnRate({ 7, 10 }, 0.9) == doctest::Approx(3));
  CHECK(*BurnRate({ 0, 0 }, 0.99) == 0);
  CHECK(*BudgetLeft({ 199, 200 }, 0.99) == doctest::Approx(0.5));
  CHECK(*BudgetLeft({ 95, 100 }, 0.99) == doctest::Approx(-4));
  CHECK(*BudgetLeft({ 0, 0 }, 0.99) == 1);
}

// An objective of 100% allows no bad request. Guards against a division by
// zero.
TEST_CASE("an objective of 100% has no finite rate")
{
  CHECK(*BurnRate({ 10, 10 }, 1) == 0);
  CHECK(!BurnRate({ 9, 10 }, 1));
  CHECK(!BudgetLeft({ 9, 10 }, 1));
}

// Guards against results that are counted as in time by mistake or left out of
// the total.
TEST_CASE("all results except for cancellations are counted")
{
  BurnCounter counter(At(0s));
  for (Result result : { Result::eInTime,
                         Result::eLate,
                         Result::eFailed,
                         Result::eRefused,
                         Result::eUnknown,
                         Result::eCancelled }) {
    counter.Record(At(1s), MakeCompletion(result));
  }
  for (std::size_t i = 0; i < kWindowCount; ++i) {
    CHECK(TotalOf(counter, 1s, i) == CompletionCounts{ 1, 5 });
  }
  CHECK(counter.CountingFor(At(9s)) == 9s);
}

// Guards against counts that stay in a window forever or expire too early.
TEST_CASE("counts expire after the length of each window")
{
  BurnCounter counter(At(0s));
  counter.Record(At(0s), MakeCompletion(Result::eLate));
  CompletionCounts one{ 0, 1 };
  CHECK(TotalOf(counter, 5min - 1us, k5Minutes) == one);
  CHECK(TotalOf(counter, 5min, k5Minutes) == CompletionCounts{});
  CHECK(TotalOf(counter, 1h - 1us, k1Hour) == one);
  CHECK(TotalOf(counter, 1h, k1Hour) == CompletionCounts{});
  CHECK(TotalOf(counter, 6h - 1us, k6Hours) == one);
  CHECK(TotalOf(counter, 6h, k6Hours) == CompletionCounts{});
  CHECK(TotalOf(counter, 72h - 1us, k3Days) == one);
  CHECK(TotalOf(counter, 72h, k3Days) == CompletionCounts{});
}

// Guards against buckets of the ring that are reused without being cleared,
// also after a gap of many window lengths.
TEST_CASE("a ring that wraps around holds only the counts of its window")
{
  BurnCounter counter(At(0s));
  for (int minute = 0; minute < 600; ++minute) {
    counter.Record(At(std::chrono::minutes(minute)),
                   MakeCompletion(Result::eInTime));
  }
  CHECK(TotalOf(counter, 599min, k5Minutes) == CompletionCounts{ 5, 5 });
  CHECK(TotalOf(counter, 599min, k1Hour) == CompletionCounts{ 60, 60 });
  CHECK(TotalOf(counter, 599min, k6Hours) == CompletionCounts{ 360, 360 });
  CHECK(TotalOf(counter, 599min, k3Days) == CompletionCounts{ 600, 600 });
  counter.Record(At(1000h), MakeCompletion(Result::eLate));
  CHECK(TotalOf(counter, 1000h, k3Days) == CompletionCounts{ 0, 1 });
}

// Guards against plots in the wrong direction of time.
TEST_CASE("the history starts with the newest bucket")
{
  BurnCounter counter(At(0s));
  counter.Record(At(0min), MakeCompletion(Result::eInTime));
  counter.Record(At(3min), MakeCompletion(Result::eLate));
  History history = counter.Counts(At(4min)).mPairs.at(kQuote)[k1Hour];
  CHECK(history[4] == CompletionCounts{ 1, 1 });
  CHECK(history[1] == CompletionCounts{ 0, 1 });
  CHECK(history[0] == CompletionCounts{});
}

// Guards against unbounded memory, and against new pairs that are rejected
// although expired pairs could be removed.
TEST_CASE("the number of pairs is bounded")
{
  BurnCounter counter(At(0s));
  auto key = [](std::size_t aNumber) {
    return PairKey(base::AccountId(fmt::format("a{}", aNumber)),
                   base::KindId("quote"));
  };
  for (std::size_t i = 0; i < kMaxPairs + 3; ++i) {
    counter.Record(At(1s), MakeCompletion(Result::eInTime, key(i)));
  }
  CHECK(counter.Counts(At(1s)).mPairs.size() == kMaxPairs);
  CHECK(counter.Counts(At(1s)).mNotCounted == 3);
  counter.Record(At(73h), MakeCompletion(Result::eInTime, kQuote));
  CHECK(counter.Counts(At(73h)).mPairs.size() == 1);
  CHECK(counter.Counts(At(73h)).mNotCounted == 3);
}

// Guards against a merge that replaces counts instead of adding them, or drops
// pairs that only one instance has.
TEST_CASE("merging adds the counts of two instances")
{
  BurnCounter one(At(0s));
  BurnCounter other(At(0s));
  const PairKey render(base::AccountId("acme"), base::KindId("render"));
  one.Record(At(1s), MakeCompletion(Result::eInTime));
  one.Record(At(1s), MakeCompletion(Result::eLate));
  other.Record(At(1s), MakeCompletion(Result::eInTime));
  other.Record(At(1s), MakeCompletion(Result::eFailed, render));
  BurnCounts merged = one.Counts(At(2s));
  BurnCounts right = other.Counts(At(2s));
  right.mNotCounted = 2;
  Merge(merged, right);
  CHECK(merged.mNotCounted == 2);
  CHECK(Total(merged.mPairs.at(kQuote)[k3Days]) == CompletionCounts{ 2, 3 });
  CHECK(Total(merged.mPairs.at(render)[k5Minutes]) == CompletionCounts{ 0, 1 });
  Merge(right, one.Counts(At(2s)));
  CHECK(merged == right);
}

// Guards against counts that change between encoding and decoding.
TEST_CASE("encoding and decoding counts as JSON preserves them")
{
  BurnCounter counter(At(0s));
  counter.Record(At(1s), MakeCompletion(Result::eInTime));
  counter.Record(At(20min), MakeCompletion(Result::eLate));
  InstanceBurn burn{ counter.Counts(At(30min)), 30min };
  burn.mCounts.mNotCounted = 7;
  auto decoded = DecodeBurn(EncodeBurn(burn));
  REQUIRE(decoded);
  CHECK(*decoded == burn);
}

// Guards against a message so large that the peer closes the connection. The
// message has the maximum number of pairs, full buckets, large counts and long
// names.
TEST_CASE("counts that do not fit into a message are sent as totals")
{
  InstanceBurn burn;
  for (std::size_t i = 0; i < kMaxPairs; ++i) {
    PairKey key(base::AccountId(fmt::format("{:064}", i)),
                base::KindId(std::string(64, 'k')));
    for (History& history : burn.mCounts.mPairs[key]) {
      history.fill({ 10000000, 20000000 });
    }
  }
  std::string text = EncodeBurn(burn);
  CHECK(text.size() <= kMaxEncodedBytes);
  auto decoded = DecodeBurn(text);
  REQUIRE(decoded);
  CHECK(decoded->mTotalsOnly);
  REQUIRE(decoded->mCounts.mPairs.size() == kMaxPairs);
  for (const History& history : decoded->mCounts.mPairs.begin()->second) {
    CHECK(history[0] == CompletionCounts{ 600000000, 1200000000 });
    CHECK(history[1] == CompletionCounts{});
  }
}

// Guards against a crash on documents from a peer of another version.
TEST_CASE("malformed text is an error")
{
  const char* ageOutOfRange = R"({"countingForMs":1,"notCounted":0,
    "totalsOnly":false,"pairs":[{"account":"a","kind":"k","windows":[[[60,1,1]],[],[],[]]}]})";
  const char* noKind =
    R"({"countingForMs":1,"notCounted":0,"totalsOnly":false,"pairs":[{}]})";
  for (const char* text : { "", "[]", "{}", noKind, ageOutOfRange }) {
    auto decoded = DecodeBurn(text);
    REQUIRE(!decoded);
    CHECK(decoded.error().mCode == base::ErrorCode::eInvalid);
  }
}

} // namespace flamingoloom::report
