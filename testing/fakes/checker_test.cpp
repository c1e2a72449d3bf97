// Tests each rule of the invariant checker with a history that satisfies it and
// one that violates it. If the checker missed a violation, scenarios would pass
// although the instances are faulty.
#include <algorithm>

#include <doctest/doctest.h>

#include "flamingoloom/base/digest.h"
#include "testing/fakes/checker.h"

namespace flamingoloom::testing::fakes {
namespace {

using namespace std::chrono_literals;
using control::Ran;
using control::RequestState;
using platform::TaskState;

// Builds a history. Times are milliseconds since the start of the run.
class HistoryBuilder
{
public:
  HistoryBuilder()
  {
    AddKind("quote", true, false, 1);
    AddKind("invoice", false, true, 1);
    AddKind("render", true, true, 2);
    AddKind("proof", true, true, 1);
  }

  Event& AddEvent(int aMs, EventKind aKind)
  {
    Event& event = mHistory.mEvents.emplace_back();
    event.mKind = aKind;
    event.mTime = base::Time(std::chrono::milliseconds(aMs));
    return event;
  }

  Event& AddRequestEvent(int aMs,
                         EventKind aKind,
                         const std::string& aJob,
                         int aCall)
  {
    Event& event = AddEvent(aMs, aKind);
    event.mCall = static_cast<std::uint64_t>(aCall);
    event.mRequest = { base::AccountId("x"), aJob };
    event.mJobKind = base::KindId(aJob);
    event.mPayload = "p";
    event.mInstance = "a1";
    return event;
  }

  // Each kind has one request, whose key is the name of the kind.
  Event& AddSubmission(int aMs, const std::string& aJob, int aCall = 1)
  {
    return AddRequestEvent(aMs, EventKind::eSubmitted, aJob, aCall);
  }

  Event& AddAnswer(int aMs,
                   const std::string& aJob,
                   RequestState aState,
                   Ran aRan,
                   int aCall = 1)
  {
    Event& event = AddRequestEvent(aMs, EventKind::eAnswered, aJob, aCall);
    event.mState = aState;
    event.mRan = aRan;
    if (aState == RequestState::eFinished) {
      event.mAnswer = AnswerOf(event.mRequest, "p");
      event.mAnswerSha256 = base::Sha256Hex(event.mAnswer);
    }
    return event;
  }

  Event& AddTaskEvent(int aMs,
                      EventKind aKind,
                      const std::string& aJob,
                      const std::string& aAttempt,
                      TaskState aState = TaskState::eFinished)
  {
    Event& event = AddRequestEvent(aMs, aKind, aJob, 0);
    event.mAttempt = base::AttemptId(aAttempt);
    event.mServer = base::ServerId("a-s1");
    event.mDataCentre = base::DataCentreId("a");
    event.mTaskState = aState;
    if (aJob == "render") {
      event.mGang = aAttempt.substr(0, 1);
      event.mGangSize = 2;
    }
    if (aKind == EventKind::eTaskEnded && aState == TaskState::eFinished) {
      event.mAnswer = AnswerOf(event.mRequest, "p");
    }
    return event;
  }
  Event& AddTaskStart(int aMs,
                      const std::string& aJob,
                      const std::string& aAttempt)
  {
    return AddTaskEvent(aMs, EventKind::eTaskStarted, aJob, aAttempt);
  }
  Event& AddTaskEnd(int aMs,
                    const std::string& aJob,
                    const std::string& aAttempt,
                    TaskState aState = TaskState::eFinished)
  {
    return AddTaskEvent(aMs, EventKind::eTaskEnded, aJob, aAttempt, aState);
  }

  void AddFault(int aFrom, int aTo)
  {
    AddEvent(aFrom, EventKind::eFaultBegan).mDetail = "fault";
    AddEvent(aTo, EventKind::eFaultEnded).mDetail = "fault";
  }

  Event& AddConfigSample(int aMs,
                         std::uint64_t aVersion,
                         std::uint64_t aReachable)
  {
    Event& event = AddEvent(aMs, EventKind::eConfigSample);
    event.mInstance = "a1";
    event.mVersion = aVersion;
    event.mReachable = aReachable;
    return event;
  }

  // Returns the distinct rules that are violated, such as "P5 P6".
  std::string ViolatedRules(int aEndMs = 60000)
  {
    AddEvent(aEndMs, EventKind::eRunEnded);
    std::ranges::stable_sort(mHistory.mEvents, {}, &Event::mTime);
    std::string rules;
    for (const Violation& violation : Check(mHistory)) {
      if (rules.find(violation.mRule) == std::string::npos) {
        rules += (rules.empty() ? "" : " ") + violation.mRule;
      }
    }
    return rules;
  }

private:
  void AddKind(const char* aId, bool aIdempotent, bool aDurable, int aTasks)
  {
    config::JobKind kind;
    kind.mId = base::KindId(aId);
    kind.mIdempotent = aIdempotent;
    kind.mDurable = aDurable;
    kind.mTasks = aTasks;
    mHistory.mKinds.push_back(kind);
  }

  History mHistory;
};

TEST_CASE("P1: a request starts within its bound")
{
  for (int start : { 2999, 3001 }) {
    HistoryBuilder history;
    history.AddSubmission(1000, "proof").mBound = 2s;
    history.AddTaskStart(start, "proof", "t");
    CHECK(history.ViolatedRules() == (start < 3000 ? "" : "P1"));
  }
  HistoryBuilder history;
  history.AddSubmission(1000, "proof").mBound = 2s;
  CHECK(history.ViolatedRules() == "P1");
}

TEST_CASE("P2: a gang must be complete within 10 s of its first start")
{
  for (int second : { 1100, 10900, 11100 }) {
    HistoryBuilder history;
    history.AddTaskStart(1000, "render", "g1");
    history.AddTaskStart(second, "render", "g2");
    history.AddTaskEnd(20000, "render", "g1");
    history.AddTaskEnd(20000, "render", "g2");
    CHECK(history.ViolatedRules() == (second < 11000 ? "" : "P2"));
  }
  HistoryBuilder history;
  history.AddTaskStart(1000, "render", "g1");
  history.AddTaskEnd(20000, "render", "g1");
  CHECK(history.ViolatedRules() == "P2");
}

TEST_CASE("P2: the remaining tasks of a gang stop when one is lost")
{
  for (int end : { 11900, 12100 }) {
    HistoryBuilder history;
    history.AddTaskStart(1000, "render", "g1");
    history.AddTaskStart(1000, "render", "g2");
    history.AddTaskEnd(2000, "render", "g1", TaskState::eAbsent);
    history.AddTaskEnd(end, "render", "g2", TaskState::eStopped);
    CHECK(history.ViolatedRules() == (end < 12000 ? "" : "P2"));
  }
}

// The time limit starts anew at the end of each fault, because a fault can
// delay the stop of the remaining tasks.
TEST_CASE("P2: the time limit counts only fault-free time")
{
  for (int end : { 24900, 25100 }) {
    HistoryBuilder history;
    history.AddTaskStart(1000, "render", "g1");
    history.AddTaskStart(1000, "render", "g2");
    history.AddTaskEnd(2000, "render", "g1", TaskState::eAbsent);
    history.AddFault(8000, 15000);
    history.AddTaskEnd(end, "render", "g2", TaskState::eStopped);
    CHECK(history.ViolatedRules() == (end < 25000 ? "" : "P2"));
  }
}

TEST_CASE("P2: a gang cannot finish if its tasks never ran together")
{
  for (int second : { 1500, 2500 }) {
    HistoryBuilder history;
    history.AddSubmission(900, "render");
    history.AddTaskStart(1000, "render", "g1");
    history.AddTaskEnd(2000, "render", "g1");
    history.AddTaskStart(second, "render", "g2");
    history.AddTaskEnd(3000, "render", "g2");
    history.AddAnswer(3100, "render", RequestState::eFinished, Ran::eYes);
    CHECK(history.ViolatedRules() == (second < 2000 ? "" : "P2"));
  }
}

TEST_CASE("P3: no task starts more than 3 s after an acknowledged take-out")
{
  for (int start : { 4900, 5100 }) {
    HistoryBuilder history;
    auto dataCentre = base::DataCentreId("a");
    history.AddEvent(1000, EventKind::eTakeOutRequested).mDataCentre =
      dataCentre;
    history.AddEvent(2000, EventKind::eTakeOutAcknowledged).mDataCentre =
      dataCentre;
    history.AddTaskStart(start, "proof", "t");
    CHECK(history.ViolatedRules() == (start <= 5000 ? "" : "P3"));
  }
}

TEST_CASE("P3: a refused bring-back leaves the data centre out of service")
{
  for (bool refused : { false, true }) {
    HistoryBuilder history;
    auto dataCentre = base::DataCentreId("a");
    history.AddEvent(2000, EventKind::eTakeOutAcknowledged).mDataCentre =
      dataCentre;
    Event& back = history.AddEvent(6000, EventKind::eBringBackRequested);
    back.mDataCentre = dataCentre;
    back.mCall = 7;
    if (refused) {
      history.AddEvent(6100, EventKind::eBringBackRefused).mCall = 7;
    }
    history.AddTaskStart(7000, "proof", "t");
    CHECK(history.ViolatedRules() == (refused ? "P3" : ""));
  }
}

TEST_CASE("P4: an answer is the whole answer to the caller's own request")
{
  for (int variant : { 0, 1, 2, 3, 4 }) {
    HistoryBuilder history;
    history.AddSubmission(1000, "proof");
    history.AddTaskStart(1100, "proof", "t");
    history.AddTaskEnd(variant == 3 ? 2200 : 2000, "proof", "t");
    Event& answer =
      history.AddAnswer(2100, "proof", RequestState::eFinished, Ran::eYes);
    if (variant == 1) {
      answer.mAnswer = AnswerOf({ base::AccountId("x"), "other" }, "p");
      answer.mAnswerSha256 = base::Sha256Hex(answer.mAnswer);
    } else if (variant == 2) {
      answer.mAnswer.pop_back();
      answer.mAnswerSha256 = base::Sha256Hex(answer.mAnswer);
    } else if (variant == 4) {
      answer.mAnswerSha256.clear();
    }
    CHECK(history.ViolatedRules() == (variant == 0 ? "" : "P4"));
  }
}

TEST_CASE("P4: a final state does not change")
{
  for (RequestState second :
       { RequestState::eCancelled, RequestState::eFailed }) {
    HistoryBuilder history;
    history.AddSubmission(1000, "proof", 1);
    history.AddTaskStart(1100, "proof", "t");
    history.AddTaskEnd(1200, "proof", "t", TaskState::eFailed);
    history.AddAnswer(2100, "proof", RequestState::eFailed, Ran::eYes, 1);
    history.AddSubmission(3000, "proof", 2);
    history.AddAnswer(3100, "proof", second, Ran::eYes, 2);
    CHECK(history.ViolatedRules() ==
          (second == RequestState::eFailed ? "" : "P4"));
  }
}

TEST_CASE("P5: a request refused as not run must not start, before or after")
{
  for (int start : { 0, 1500, 9000 }) {
    HistoryBuilder history;
    history.AddSubmission(1000, "invoice");
    if (start > 0) {
      history.AddTaskStart(start, "invoice", "t");
    }
    history.AddAnswer(2000, "invoice", RequestState::eRefused, Ran::eNo);
    CHECK(history.ViolatedRules() == (start == 0 ? "" : "P5"));
  }
}

TEST_CASE("P5: a request reported as run has started before the response")
{
  for (int start : { 1500, 9000 }) {
    HistoryBuilder history;
    history.AddSubmission(1000, "invoice");
    history.AddTaskStart(start, "invoice", "t");
    history.AddAnswer(2000, "invoice", RequestState::eFailed, Ran::eYes);
    CHECK(history.ViolatedRules() == (start < 2000 ? "" : "P5"));
  }
}

TEST_CASE("P6: a request that is not idempotent starts at most once")
{
  for (const char* job : { "proof", "invoice" }) {
    HistoryBuilder history;
    history.AddTaskStart(1000, job, "t1");
    history.AddTaskStart(9000, job, "t2").mServer = base::ServerId("b-s1");
    CHECK(history.ViolatedRules() == (job == std::string("proof") ? "" : "P6"));
  }
}

TEST_CASE("P7: a draining server receives no new task after 3 s")
{
  for (int start : { 3900, 4100 }) {
    HistoryBuilder history;
    history.AddEvent(1000, EventKind::eServerDraining).mServer =
      base::ServerId("a-s1");
    history.AddTaskStart(start, "proof", "t");
    CHECK(history.ViolatedRules() == (start <= 4000 ? "" : "P7"));
  }
}

TEST_CASE("P8: a planned stop waits for the requests in progress")
{
  for (int answered : { 2900, 3100 }) {
    HistoryBuilder history;
    history.AddSubmission(1000, "proof");
    history.AddTaskStart(1100, "proof", "t");
    history.AddTaskEnd(2800, "proof", "t");
    history.AddEvent(2000, EventKind::eStopBegan).mInstance = "a1";
    history.AddEvent(3000, EventKind::eStopEnded).mInstance = "a1";
    history.AddEvent(3000, EventKind::eInstanceEnded).mInstance = "a1";
    history.AddAnswer(answered, "proof", RequestState::eFinished, Ran::eYes);
    CHECK(history.ViolatedRules() == (answered < 3000 ? "" : "P8"));
  }
}

// A fault can be the cause of an unknown outcome or a stopped task. A planned
// stop without a fault must cause neither.
TEST_CASE("P8: a planned stop causes no unknown outcome and stops no task")
{
  for (bool fault : { true, false }) {
    HistoryBuilder history;
    history.AddSubmission(1000, "invoice").mInstance = "b1";
    history.AddTaskStart(1100, "invoice", "t");
    history.AddEvent(2000, EventKind::eStopBegan).mInstance = "a1";
    history.AddEvent(5000, EventKind::eStopEnded).mInstance = "a1";
    if (fault) {
      history.AddFault(2000, 2100);
    }
    history.AddTaskEnd(2500, "invoice", "t", TaskState::eStopped);
    CHECK(history.ViolatedRules() == (fault ? "" : "P8"));
  }
  for (bool fault : { true, false }) {
    HistoryBuilder history;
    history.AddSubmission(1000, "invoice").mInstance = "b1";
    history.AddEvent(2000, EventKind::eStopBegan).mInstance = "a1";
    history.AddEvent(5000, EventKind::eStopEnded).mInstance = "a1";
    if (fault) {
      history.AddFault(2000, 2100);
    }
    history.AddAnswer(3000, "invoice", RequestState::eUnknown, Ran::eUnknown);
    CHECK(history.ViolatedRules() == (fault ? "" : "P8"));
  }
}

TEST_CASE("stop: a planned stop ends")
{
  for (int end : { 30000, 40000 }) {
    HistoryBuilder history;
    history.AddEvent(2000, EventKind::eStopBegan).mInstance = "a1";
    CHECK(history.ViolatedRules(end) == (end == 30000 ? "" : "stop"));
  }
}

TEST_CASE("P9: an accepted configuration takes effect within 7 s")
{
  for (int used : { 7900, 8100 }) {
    HistoryBuilder history;
    history.AddConfigSample(0, 1, 1);
    history.AddEvent(1000, EventKind::eConfigAccepted).mVersion = 2;
    history.AddConfigSample(1000, 1, 2);
    history.AddConfigSample(used, 2, 2);
    CHECK(history.ViolatedRules() == (used <= 8000 ? "" : "P9"));
  }
  HistoryBuilder history;
  history.AddEvent(1000, EventKind::eConfigAccepted).mVersion = 2;
  history.AddConfigSample(1000, 1, 2);
  CHECK(history.ViolatedRules() == "P9");
}

TEST_CASE("P9: the 7 s start when the version becomes reachable")
{
  for (int used : { 26900, 27100 }) {
    HistoryBuilder history;
    history.AddEvent(1000, EventKind::eConfigAccepted).mVersion = 2;
    history.AddConfigSample(1000, 1, 2);
    history.AddConfigSample(7000, 1, 1); // unreachable
    history.AddConfigSample(20000, 1, 2);
    history.AddConfigSample(used, 2, 2);
    CHECK(history.ViolatedRules() == (used <= 27000 ? "" : "P9"));
  }
  // An instance that exited need not use the version.
  HistoryBuilder history;
  history.AddEvent(1000, EventKind::eConfigAccepted).mVersion = 2;
  history.AddConfigSample(1000, 1, 2);
  history.AddEvent(5000, EventKind::eInstanceEnded).mInstance = "a1";
  CHECK(history.ViolatedRules().empty());
}

TEST_CASE("P9: a configuration never reverts")
{
  HistoryBuilder history;
  history.AddEvent(1000, EventKind::eConfigAccepted).mVersion = 2;
  history.AddConfigSample(2000, 2, 2);
  history.AddConfigSample(3000, 1, 1);
  CHECK(history.ViolatedRules() == "P9");
  HistoryBuilder acceptedTwice;
  acceptedTwice.AddEvent(1000, EventKind::eConfigAccepted).mVersion = 2;
  acceptedTwice.AddEvent(1100, EventKind::eConfigAccepted).mVersion = 2;
  CHECK(acceptedTwice.ViolatedRules() == "P9");
}

TEST_CASE("lost: an accepted durable request completes after the last fault")
{
  for (int answered : { 49000, 51000 }) {
    HistoryBuilder history;
    history.AddSubmission(1000, "proof", 1);
    history.AddAnswer(1100, "proof", RequestState::ePending, Ran::eUnknown, 1);
    history.AddTaskStart(1200, "proof", "t");
    history.AddTaskEnd(1300, "proof", "t");
    history.AddFault(5000, 20000);
    history.AddSubmission(21000, "proof", 2);
    history.AddAnswer(answered, "proof", RequestState::eFinished, Ran::eYes, 2);
    CHECK(history.ViolatedRules() == (answered < 50000 ? "" : "lost"));
  }
}

// Only a request that must not run twice may end with an unknown outcome; an
// idempotent one can be retried until its outcome is known.
TEST_CASE("lost: an idempotent request does not end as unknown")
{
  for (const char* job : { "invoice", "proof" }) {
    HistoryBuilder history;
    history.AddSubmission(1000, job, 1);
    history.AddAnswer(1100, job, RequestState::ePending, Ran::eUnknown, 1);
    history.AddSubmission(2000, job, 2);
    history.AddAnswer(2100, job, RequestState::eUnknown, Ran::eUnknown, 2);
    CHECK(history.ViolatedRules() ==
          (job == std::string("invoice") ? "" : "lost"));
  }
}

TEST_CASE("expect: a failed expectation is a violation")
{
  HistoryBuilder history;
  history.AddEvent(1000, EventKind::eExpectationFailed).mDetail = "state of k1";
  CHECK(history.ViolatedRules() == "expect");
}

} // namespace
} // namespace flamingoloom::testing::fakes
