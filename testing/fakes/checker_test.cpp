// Each rule with a history that keeps it and one that violates it. A checker
// that overlooks a violation makes every passing scenario worthless.
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

// Builds a history; times are milliseconds from the start of the run.
class Story
{
public:
  Story()
  {
    AddKind("quote", true, false, 1);
    AddKind("invoice", false, true, 1);
    AddKind("render", true, true, 2);
    AddKind("proof", true, true, 1);
  }

  Event& At(int aMs, EventKind aKind)
  {
    Event& event = mHistory.mEvents.emplace_back();
    event.mKind = aKind;
    event.mTime = base::Time(std::chrono::milliseconds(aMs));
    return event;
  }

  Event& Request(int aMs, EventKind aKind, const std::string& aJob, int aCall)
  {
    Event& event = At(aMs, aKind);
    event.mCall = static_cast<std::uint64_t>(aCall);
    event.mRequest = { base::AccountId("x"), aJob };
    event.mJobKind = base::KindId(aJob);
    event.mPayload = "p";
    event.mInstance = "a1";
    return event;
  }

  // One request per kind, with the kind's name as its key.
  Event& Submit(int aMs, const std::string& aJob, int aCall = 1)
  {
    return Request(aMs, EventKind::eSubmitted, aJob, aCall);
  }

  Event& Answer(int aMs,
                const std::string& aJob,
                RequestState aState,
                Ran aRan,
                int aCall = 1)
  {
    Event& event = Request(aMs, EventKind::eAnswered, aJob, aCall);
    event.mState = aState;
    event.mRan = aRan;
    if (aState == RequestState::eFinished) {
      event.mAnswer = AnswerOf(event.mRequest, "p");
      event.mAnswerSha256 = base::Sha256Hex(event.mAnswer);
    }
    return event;
  }

  Event& Task(int aMs,
              EventKind aKind,
              const std::string& aJob,
              const std::string& aAttempt,
              TaskState aState = TaskState::eFinished)
  {
    Event& event = Request(aMs, aKind, aJob, 0);
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
  Event& TaskStarts(int aMs,
                    const std::string& aJob,
                    const std::string& aAttempt)
  {
    return Task(aMs, EventKind::eTaskStarted, aJob, aAttempt);
  }
  Event& TaskEnds(int aMs,
                  const std::string& aJob,
                  const std::string& aAttempt,
                  TaskState aState = TaskState::eFinished)
  {
    return Task(aMs, EventKind::eTaskEnded, aJob, aAttempt, aState);
  }

  void Fault(int aFrom, int aTo)
  {
    At(aFrom, EventKind::eFaultBegan).mDetail = "fault";
    At(aTo, EventKind::eFaultEnded).mDetail = "fault";
  }

  Event& Sample(int aMs, std::uint64_t aVersion, std::uint64_t aReachable)
  {
    Event& event = At(aMs, EventKind::eConfigSample);
    event.mInstance = "a1";
    event.mVersion = aVersion;
    event.mReachable = aReachable;
    return event;
  }

  // The rules that are violated, without repeats, such as "P5 P6".
  std::string Rules(int aEndMs = 60000)
  {
    At(aEndMs, EventKind::eRunEnded);
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

TEST_CASE("P1: a request within its guarantee starts within the bound")
{
  for (int start : { 2999, 3001 }) {
    Story story;
    story.Submit(1000, "proof").mBound = 2s;
    story.TaskStarts(start, "proof", "t");
    CHECK(story.Rules() == (start < 3000 ? "" : "P1"));
  }
  Story story;
  story.Submit(1000, "proof").mBound = 2s;
  CHECK(story.Rules() == "P1");
}

TEST_CASE("P2: a gang that is not complete soon is a violation")
{
  for (int second : { 1100, 10900, 11100 }) {
    Story story;
    story.TaskStarts(1000, "render", "g1");
    story.TaskStarts(second, "render", "g2");
    story.TaskEnds(20000, "render", "g1");
    story.TaskEnds(20000, "render", "g2");
    CHECK(story.Rules() == (second < 11000 ? "" : "P2"));
  }
  Story story;
  story.TaskStarts(1000, "render", "g1");
  story.TaskEnds(20000, "render", "g1");
  CHECK(story.Rules() == "P2");
}

TEST_CASE("P2: the rest of a gang stops when a task is lost")
{
  for (int end : { 11900, 12100 }) {
    Story story;
    story.TaskStarts(1000, "render", "g1");
    story.TaskStarts(1000, "render", "g2");
    story.TaskEnds(2000, "render", "g1", TaskState::eAbsent);
    story.TaskEnds(end, "render", "g2", TaskState::eStopped);
    CHECK(story.Rules() == (end < 12000 ? "" : "P2"));
  }
}

// The bound is measured anew from the end of each fault.
TEST_CASE("P2: the bound counts time without faults")
{
  for (int end : { 24900, 25100 }) {
    Story story;
    story.TaskStarts(1000, "render", "g1");
    story.TaskStarts(1000, "render", "g2");
    story.TaskEnds(2000, "render", "g1", TaskState::eAbsent);
    story.Fault(8000, 15000);
    story.TaskEnds(end, "render", "g2", TaskState::eStopped);
    CHECK(story.Rules() == (end < 25000 ? "" : "P2"));
  }
}

TEST_CASE("P2: a gang is not finished when its tasks never ran together")
{
  for (int second : { 1500, 2500 }) {
    Story story;
    story.Submit(900, "render");
    story.TaskStarts(1000, "render", "g1");
    story.TaskEnds(2000, "render", "g1");
    story.TaskStarts(second, "render", "g2");
    story.TaskEnds(3000, "render", "g2");
    story.Answer(3100, "render", RequestState::eFinished, Ran::eYes);
    CHECK(story.Rules() == (second < 2000 ? "" : "P2"));
  }
}

TEST_CASE("P3: no start later than 3 s after an acknowledged take-out")
{
  for (int start : { 4900, 5100 }) {
    Story story;
    auto dataCentre = base::DataCentreId("a");
    story.At(1000, EventKind::eTakeOutRequested).mDataCentre = dataCentre;
    story.At(2000, EventKind::eTakeOutAcknowledged).mDataCentre = dataCentre;
    story.TaskStarts(start, "proof", "t");
    CHECK(story.Rules() == (start <= 5000 ? "" : "P3"));
  }
}

TEST_CASE("P3: a data centre is out until it is brought back")
{
  for (bool refused : { false, true }) {
    Story story;
    auto dataCentre = base::DataCentreId("a");
    story.At(2000, EventKind::eTakeOutAcknowledged).mDataCentre = dataCentre;
    Event& back = story.At(6000, EventKind::eBringBackRequested);
    back.mDataCentre = dataCentre;
    back.mCall = 7;
    if (refused) {
      story.At(6100, EventKind::eBringBackRefused).mCall = 7;
    }
    story.TaskStarts(7000, "proof", "t");
    CHECK(story.Rules() == (refused ? "P3" : ""));
  }
}

TEST_CASE("P4: an answer is the whole answer to the caller's own request")
{
  for (int variant : { 0, 1, 2, 3, 4 }) {
    Story story;
    story.Submit(1000, "proof");
    story.TaskStarts(1100, "proof", "t");
    story.TaskEnds(variant == 3 ? 2200 : 2000, "proof", "t");
    Event& answer =
      story.Answer(2100, "proof", RequestState::eFinished, Ran::eYes);
    if (variant == 1) {
      answer.mAnswer = AnswerOf({ base::AccountId("x"), "other" }, "p");
      answer.mAnswerSha256 = base::Sha256Hex(answer.mAnswer);
    } else if (variant == 2) {
      answer.mAnswer.pop_back();
      answer.mAnswerSha256 = base::Sha256Hex(answer.mAnswer);
    } else if (variant == 4) {
      answer.mAnswerSha256.clear();
    }
    CHECK(story.Rules() == (variant == 0 ? "" : "P4"));
  }
}

TEST_CASE("P4: a final state does not change")
{
  for (RequestState second :
       { RequestState::eCancelled, RequestState::eFailed }) {
    Story story;
    story.Submit(1000, "proof", 1);
    story.TaskStarts(1100, "proof", "t");
    story.TaskEnds(1200, "proof", "t", TaskState::eFailed);
    story.Answer(2100, "proof", RequestState::eFailed, Ran::eYes, 1);
    story.Submit(3000, "proof", 2);
    story.Answer(3100, "proof", second, Ran::eYes, 2);
    CHECK(story.Rules() == (second == RequestState::eFailed ? "" : "P4"));
  }
}

TEST_CASE("P5: a request refused as not run has no start, before or after")
{
  for (int start : { 0, 1500, 9000 }) {
    Story story;
    story.Submit(1000, "invoice");
    if (start > 0) {
      story.TaskStarts(start, "invoice", "t");
    }
    story.Answer(2000, "invoice", RequestState::eRefused, Ran::eNo);
    CHECK(story.Rules() == (start == 0 ? "" : "P5"));
  }
}

TEST_CASE("P5: a request that is said to have run has run")
{
  for (int start : { 1500, 9000 }) {
    Story story;
    story.Submit(1000, "invoice");
    story.TaskStarts(start, "invoice", "t");
    story.Answer(2000, "invoice", RequestState::eFailed, Ran::eYes);
    CHECK(story.Rules() == (start < 2000 ? "" : "P5"));
  }
}

TEST_CASE("P6: a request that is not idempotent starts once at most")
{
  for (const char* job : { "proof", "invoice" }) {
    Story story;
    story.TaskStarts(1000, job, "t1");
    story.TaskStarts(9000, job, "t2").mServer = base::ServerId("b-s1");
    CHECK(story.Rules() == (job == std::string("proof") ? "" : "P6"));
  }
}

TEST_CASE("P7: a leaving server gets nothing new after 3 s")
{
  for (int start : { 3900, 4100 }) {
    Story story;
    story.At(1000, EventKind::eServerDraining).mServer = base::ServerId("a-s1");
    story.TaskStarts(start, "proof", "t");
    CHECK(story.Rules() == (start <= 4000 ? "" : "P7"));
  }
}

TEST_CASE("P8: a planned stop waits for the requests in progress")
{
  for (int answered : { 2900, 3100 }) {
    Story story;
    story.Submit(1000, "proof");
    story.TaskStarts(1100, "proof", "t");
    story.TaskEnds(2800, "proof", "t");
    story.At(2000, EventKind::eStopBegan).mInstance = "a1";
    story.At(3000, EventKind::eStopEnded).mInstance = "a1";
    story.At(3000, EventKind::eInstanceEnded).mInstance = "a1";
    story.Answer(answered, "proof", RequestState::eFinished, Ran::eYes);
    CHECK(story.Rules() == (answered < 3000 ? "" : "P8"));
  }
}

// A fault can explain an unknown answer; a planned stop alone cannot.
TEST_CASE("P8: a planned stop makes no answer unknown and stops no task")
{
  for (bool fault : { true, false }) {
    Story story;
    story.Submit(1000, "invoice").mInstance = "b1";
    story.TaskStarts(1100, "invoice", "t");
    story.At(2000, EventKind::eStopBegan).mInstance = "a1";
    story.At(5000, EventKind::eStopEnded).mInstance = "a1";
    if (fault) {
      story.Fault(2000, 2100);
    }
    story.TaskEnds(2500, "invoice", "t", TaskState::eStopped);
    CHECK(story.Rules() == (fault ? "" : "P8"));
  }
  for (bool fault : { true, false }) {
    Story story;
    story.Submit(1000, "invoice").mInstance = "b1";
    story.At(2000, EventKind::eStopBegan).mInstance = "a1";
    story.At(5000, EventKind::eStopEnded).mInstance = "a1";
    if (fault) {
      story.Fault(2000, 2100);
    }
    story.Answer(3000, "invoice", RequestState::eUnknown, Ran::eUnknown);
    CHECK(story.Rules() == (fault ? "" : "P8"));
  }
}

TEST_CASE("stop: a planned stop ends")
{
  for (int end : { 30000, 40000 }) {
    Story story;
    story.At(2000, EventKind::eStopBegan).mInstance = "a1";
    CHECK(story.Rules(end) == (end == 30000 ? "" : "stop"));
  }
}

TEST_CASE("P9: an accepted configuration is in force within 7 s")
{
  for (int used : { 7900, 8100 }) {
    Story story;
    story.Sample(0, 1, 1);
    story.At(1000, EventKind::eConfigAccepted).mVersion = 2;
    story.Sample(1000, 1, 2);
    story.Sample(used, 2, 2);
    CHECK(story.Rules() == (used <= 8000 ? "" : "P9"));
  }
  Story story;
  story.At(1000, EventKind::eConfigAccepted).mVersion = 2;
  story.Sample(1000, 1, 2);
  CHECK(story.Rules() == "P9");
}

TEST_CASE("P9: the 7 s begin when the instance can learn the version")
{
  for (int used : { 26900, 27100 }) {
    Story story;
    story.At(1000, EventKind::eConfigAccepted).mVersion = 2;
    story.Sample(1000, 1, 2);
    story.Sample(7000, 1, 1); // cut off
    story.Sample(20000, 1, 2);
    story.Sample(used, 2, 2);
    CHECK(story.Rules() == (used <= 27000 ? "" : "P9"));
  }
  // An instance that has died need not follow.
  Story story;
  story.At(1000, EventKind::eConfigAccepted).mVersion = 2;
  story.Sample(1000, 1, 2);
  story.At(5000, EventKind::eInstanceEnded).mInstance = "a1";
  CHECK(story.Rules().empty());
}

TEST_CASE("P9: a configuration never reverts")
{
  Story story;
  story.At(1000, EventKind::eConfigAccepted).mVersion = 2;
  story.Sample(2000, 2, 2);
  story.Sample(3000, 1, 1);
  CHECK(story.Rules() == "P9");
  Story twice;
  twice.At(1000, EventKind::eConfigAccepted).mVersion = 2;
  twice.At(1100, EventKind::eConfigAccepted).mVersion = 2;
  CHECK(twice.Rules() == "P9");
}

TEST_CASE("lost: an accepted durable request ends after the last fault")
{
  for (int answered : { 49000, 51000 }) {
    Story story;
    story.Submit(1000, "proof", 1);
    story.Answer(1100, "proof", RequestState::ePending, Ran::eUnknown, 1);
    story.TaskStarts(1200, "proof", "t");
    story.TaskEnds(1300, "proof", "t");
    story.Fault(5000, 20000);
    story.Submit(21000, "proof", 2);
    story.Answer(answered, "proof", RequestState::eFinished, Ran::eYes, 2);
    CHECK(story.Rules() == (answered < 50000 ? "" : "lost"));
  }
}

// Only work that must not run twice may end with an unknown outcome.
TEST_CASE("lost: an idempotent request does not end as unknown")
{
  for (const char* job : { "invoice", "proof" }) {
    Story story;
    story.Submit(1000, job, 1);
    story.Answer(1100, job, RequestState::ePending, Ran::eUnknown, 1);
    story.Submit(2000, job, 2);
    story.Answer(2100, job, RequestState::eUnknown, Ran::eUnknown, 2);
    CHECK(story.Rules() == (job == std::string("invoice") ? "" : "lost"));
  }
}

TEST_CASE("expect: a failed expectation is a violation")
{
  Story story;
  story.At(1000, EventKind::eExpectationFailed).mDetail = "state of k1";
  CHECK(story.Rules() == "expect");
}

} // namespace
} // namespace flamingoloom::testing::fakes
