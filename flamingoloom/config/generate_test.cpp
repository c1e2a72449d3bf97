#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

#include <fmt/format.h>

#include "flamingoloom/config/configuration_json.h"
#include "flamingoloom/config/example_answers.h"
#include "flamingoloom/config/generate.h"

namespace flamingoloom::config {
namespace {

using base::AccountId;
using base::DataCentreId;
using namespace std::chrono_literals;

Checked<Configuration> GenerateFrom(const Answers& aAnswers)
{
  return Generate(aAnswers, "test", placement::PlanGuarantees);
}

// Returns the path of the only problem, "accepted" if there is none, or all
// problems if there are several.
std::string PathOfProblem(const Answers& aAnswers)
{
  auto configuration = GenerateFrom(aAnswers);
  if (configuration) {
    return "accepted";
  }
  return configuration.error().size() == 1
           ? configuration.error().front().mField
           : ToString(configuration.error());
}

std::string MessageOfProblem(const Answers& aAnswers)
{
  auto configuration = GenerateFrom(aAnswers);
  return configuration ? "accepted" : configuration.error().front().mMessage;
}

enum ExampleKind
{
  eQuote,
  eRender,
  eInvoice,
};

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int GuaranteedBlocksWithout(const Configuration& aConfiguration,
                            const base::DataCentreId& aUnavailable,
                            const Guarantee& aGuarantee)
{
  int count = 0;
  for (const auto& [dataCentre, assigned] : aConfiguration.mAssignments) {
    if (dataCentre != aUnavailable &&
        assigned.mAccount == aGuarantee.mAccount &&
        assigned.mShape == aGuarantee.mShape) {
      count += assigned.mCount;
    }
  }
  return count;
}

} // namespace

// Guards against an answer that is stored in the wrong property of the
// configuration.
TEST_CASE("each answer sets its property of the configuration")
{
  auto configuration = GenerateFrom(ExampleAnswers());
  REQUIRE(configuration);
  const auto& quote = *configuration->Kind(base::KindId("quote"));
  CHECK(quote.mIdempotent);
  CHECK(!quote.mDurable);
  CHECK(quote.mPriority == Priority::eUrgent);
  CHECK(quote.mTarget == 500ms);
  CHECK(quote.mDeadline == 500ms);
  CHECK(quote.mDeclaredRunTime == 50ms);
  CHECK(quote.mObjective == doctest::Approx(0.995));
  const auto& render = *configuration->Kind(base::KindId("render"));
  CHECK(render.mPriority == Priority::eOvernight);
  CHECK(render.mDeadline == 0ms);
  CHECK(render.mPreemptible);
  CHECK(render.mCheckpointable);
  CHECK(render.mAdjacent);
  CHECK(render.Accelerators() == 32);
  const auto& invoice = *configuration->Kind(base::KindId("invoice"));
  CHECK(!invoice.mIdempotent);
  CHECK(invoice.mDurable);
  CHECK(!invoice.mPreemptible);
  CHECK(configuration->Account(AccountId("small"))->mQuota == 16);
  CHECK(configuration->Account(AccountId("large"))->mWeight == 3);
  CHECK(configuration->mGuarantees ==
        std::vector<Guarantee>{ { AccountId("large"), 32, 1 },
                                { AccountId("small"), 4, 2 } });
}

// Guards against a kind of job that may not run twice and is not durable.
// Without a stored record, a repeated request would not be recognised, and the
// job would run a second time.
TEST_CASE("a kind that may not run twice is durable even if it may be lost")
{
  auto answers = ExampleAnswers();
  answers.mKinds[eInvoice].mMayBeLost = true;
  auto configuration = GenerateFrom(answers);
  REQUIRE(configuration);
  CHECK(configuration->Kind(base::KindId("invoice"))->mDurable);
}

// Guards against a generated configuration that instances reject when it is
// applied, because they check it against the schema and its rules.
TEST_CASE("a generated configuration passes the checks of the instances")
{
  auto configuration = GenerateFrom(ExampleAnswers());
  REQUIRE(configuration);
  CHECK(ConfigurationFromText(ToText(*configuration), "test") ==
        *configuration);
}

// Guards against contradictory answers about one kind of job that are accepted,
// and against a problem that is reported for another question.
TEST_CASE("contradictions about a kind are reported with their question")
{
  const std::vector<std::pair<const char*, std::function<void(Answers&)>>>
    contradictions = {
      { "/kinds/2/mayGiveWay",
        [](Answers& aAnswers) {
          aAnswers.mKinds[eInvoice].mMayGiveWay = true;
        } },
      { "/kinds/0/answerWithinMs",
        [](Answers& aAnswers) {
          aAnswers.mKinds[eQuote].mUsualRunTime = 501ms;
        } },
      { "/kinds/1/goesFirst",
        [](Answers& aAnswers) { aAnswers.mKinds[eRender].mGoesFirst = true; } },
      { "/kinds/1/mayWaitOvernight",
        [](Answers& aAnswers) {
          aAnswers.mKinds[eRender].mAnswerWithin = 7h;
        } },
      { "/kinds/0/nextToEachOther",
        [](Answers& aAnswers) {
          aAnswers.mKinds[eQuote].mNextToEachOther = true;
        } },
      { "/kinds/1/acceleratorsPerTask",
        [](Answers& aAnswers) {
          aAnswers.mKinds[eRender].mTasks = 1;
          aAnswers.mKinds[eRender].mAcceleratorsPerTask = 9;
        } },
      { "/kinds/1/nextToEachOther",
        [](Answers& aAnswers) { aAnswers.mKinds[eRender].mTasks = 9; } },
      { "/kinds/1/nextToEachOther",
        [](Answers& aAnswers) { aAnswers.mKinds[eRender].mTasks = 17; } },
      { "/kinds/1/tasks",
        [](Answers& aAnswers) {
          aAnswers.mKinds[eRender].mNextToEachOther = false;
          aAnswers.mKinds[eRender].mTasks = 9;
        } },
      { "/kinds/1/acceleratorsPerTask",
        [](Answers& aAnswers) {
          aAnswers.mAccounts[0].mLimitAccelerators = 0,
          aAnswers.mGuarantees[0].mAccelerators = 16;
        } },
      { "/kinds/1/name",
        [](Answers& aAnswers) {
          aAnswers.mKinds[eRender].mName = aAnswers.mKinds[eQuote].mName;
        } },
    };
  for (const auto& [path, change] : contradictions) {
    auto answers = ExampleAnswers();
    change(answers);
    CHECK(PathOfProblem(answers) == path);
  }
}

// Guards against references to missing entries and duplicate names that are
// accepted, and against guarantees that the remaining data centres cannot
// provide while one is out of service (P1).
TEST_CASE("contradictions between lists are reported with their question")
{
  const std::vector<std::pair<const char*, std::function<void(Answers&)>>>
    contradictions = {
      { "/dataCentres/1/name",
        [](Answers& aAnswers) {
          aAnswers.mDataCentres[1].mName = DataCentreId("dc-1");
        } },
      { "/guarantees/0/account",
        [](Answers& aAnswers) {
          aAnswers.mGuarantees[0].mAccount = AccountId("nobody");
        } },
      { "/guarantees",
        [](Answers& aAnswers) { aAnswers.mGuarantees[0].mBlocks = 2; } },
    };
  for (const auto& [path, change] : contradictions) {
    auto answers = ExampleAnswers();
    change(answers);
    CHECK(PathOfProblem(answers) == path);
  }
  auto answers = ExampleAnswers();
  answers.mAccounts[1].mName = AccountId("large");
  CHECK(PathOfProblem(answers).starts_with("/accounts/1/name"));
}

// Guards against error messages without a correction: the operator would have
// to guess which answers are accepted.
TEST_CASE("an error message says how to correct the answers")
{
  auto answers = ExampleAnswers();
  answers.mKinds[eInvoice].mMayGiveWay = true;
  CHECK(MessageOfProblem(answers) ==
        "invoice: \"May it be preempted when another account claims its "
        "guarantee?\" is yes, but \"May it run twice?\" is no: a preempted job "
        "would have to run again. Answer no to the first question or yes to "
        "the second");
  answers = ExampleAnswers();
  answers.mGuarantees[0].mBlocks = 3;
  CHECK(MessageOfProblem(answers).find("at most 2 fit") != std::string::npos);
  CHECK(MessageOfProblem(answers).find("Guarantee fewer or smaller blocks") !=
        std::string::npos);
}

// Guards against a check that stops at the first problem, so that the operator
// needs one run of the questionnaire per problem.
TEST_CASE("all problems are reported at once")
{
  auto answers = ExampleAnswers();
  answers.mKinds[eInvoice].mMayGiveWay = true;
  answers.mKinds[eQuote].mUsualRunTime = 1s;
  answers.mGuarantees[1].mBlocks = 100;
  auto configuration = GenerateFrom(answers);
  REQUIRE(!configuration);
  CHECK(configuration.error().size() == 3);
}

// Guards against a guarantee that is lost if several answers name the same
// account and shape. Sizes 3 and 4 both become shape 4.
TEST_CASE("guarantees of one account and shape are added up")
{
  auto answers = ExampleAnswers();
  answers.mGuarantees = { { AccountId("small"), 4, 1 },
                          { AccountId("small"), 3, 2 } };
  auto configuration = GenerateFrom(answers);
  REQUIRE(configuration);
  CHECK(configuration->mGuarantees ==
        std::vector<Guarantee>{ { AccountId("small"), 4, 3 } });
}

// Guards against example files that the questionnaire no longer accepts, and
// against a plan for them in which the remaining data centres cannot provide
// the guarantees while one is out of service (P1).
TEST_CASE("a configuration is generated from each example file")
{
  for (const char* name : { "therripappir", "kavango" }) {
    auto path = fmt::format("{}/{}.answers.json", EXAMPLES_DIR, name);
    auto answers = AnswersFromText(ReadFile(path), path);
    REQUIRE(answers);
    auto configuration = GenerateFrom(*answers);
    REQUIRE(configuration);
    CHECK(ConfigurationFromText(ToText(*configuration), name) ==
          *configuration);
    int servers = 0;
    for (const auto& dataCentre : configuration->mDataCentres) {
      servers += dataCentre.mRacks * dataCentre.mServersPerRack;
      for (const auto& guarantee : configuration->mGuarantees) {
        CHECK(GuaranteedBlocksWithout(
                *configuration, dataCentre.mId, guarantee) >= guarantee.mCount);
      }
    }
    CHECK(servers == 48);
    CHECK(configuration->mDataCentres.size() == 3);
    CHECK(configuration->mAccounts.size() == 4);
  }
}

} // namespace flamingoloom::config
