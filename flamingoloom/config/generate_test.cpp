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

Checked<Configuration> GenerateOf(const Answers& aAnswers)
{
  return Generate(aAnswers, "test", placement::PlanGuarantees);
}

// The path of the only problem; "accepted" or the list when it is not one.
std::string PathOfProblem(const Answers& aAnswers)
{
  auto configuration = GenerateOf(aAnswers);
  if (configuration) {
    return "accepted";
  }
  return configuration.error().size() == 1
           ? configuration.error().front().mField
           : ToString(configuration.error());
}

std::string MessageOfProblem(const Answers& aAnswers)
{
  auto configuration = GenerateOf(aAnswers);
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

int GuaranteedIn(const Configuration& aConfiguration,
                 const base::DataCentreId& aOut,
                 const Guarantee& aGuarantee)
{
  int count = 0;
  for (const auto& [centre, assigned] : aConfiguration.mAssignments) {
    if (centre != aOut && assigned.mAccount == aGuarantee.mAccount &&
        assigned.mShape == aGuarantee.mShape) {
      count += assigned.mCount;
    }
  }
  return count;
}

} // namespace

// Guards against answers that end up in the wrong property.
TEST_CASE("answers become the properties they stand for")
{
  auto configuration = GenerateOf(ExampleAnswers());
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

// Guards against a kind that may not run twice but leaves no record by which
// a repeated request could be recognised.
TEST_CASE("a kind that may not run twice is durable whatever the answer")
{
  auto answers = ExampleAnswers();
  answers.mKinds[eInvoice].mMayBeLost = true;
  auto configuration = GenerateOf(answers);
  REQUIRE(configuration);
  CHECK(configuration->Kind(base::KindId("invoice"))->mDurable);
}

// Guards against a configuration that the instances then refuse.
TEST_CASE("a generated configuration passes the strict check")
{
  auto configuration = GenerateOf(ExampleAnswers());
  REQUIRE(configuration);
  CHECK(ConfigurationFromText(ToText(*configuration), "test") ==
        *configuration);
}

// Guards against contradictions between answers about one kind.
TEST_CASE("contradictions about a kind name the question")
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

// Guards against references that lead nowhere and guarantees that cannot be
// kept while a data centre is out (P1).
TEST_CASE("contradictions between the lists name the question")
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

// Guards against messages that leave the reader to guess what would fit.
TEST_CASE("a problem says what would make the answers fit")
{
  auto answers = ExampleAnswers();
  answers.mKinds[eInvoice].mMayGiveWay = true;
  CHECK(MessageOfProblem(answers) ==
        "invoice: \"May it give way when another account calls in its "
        "guarantee?\" is yes, but \"May it run twice?\" is no: a job that was "
        "stopped would have to run again. Answer no here or yes there");
  answers = ExampleAnswers();
  answers.mGuarantees[0].mBlocks = 3;
  CHECK(MessageOfProblem(answers).find("at most 2 fit") != std::string::npos);
  CHECK(MessageOfProblem(answers).find("Guarantee fewer or smaller blocks") !=
        std::string::npos);
}

// Guards against operators who correct one problem per run.
TEST_CASE("all problems are reported at once")
{
  auto answers = ExampleAnswers();
  answers.mKinds[eInvoice].mMayGiveWay = true;
  answers.mKinds[eQuote].mUsualRunTime = 1s;
  answers.mGuarantees[1].mBlocks = 100;
  auto configuration = GenerateOf(answers);
  REQUIRE(!configuration);
  CHECK(configuration.error().size() == 3);
}

// Guards against a guarantee that is dropped when answers repeat it.
TEST_CASE("guarantees of one account and shape are added up")
{
  auto answers = ExampleAnswers();
  answers.mGuarantees = { { AccountId("small"), 4, 1 },
                          { AccountId("small"), 3, 2 } };
  auto configuration = GenerateOf(answers);
  REQUIRE(configuration);
  CHECK(configuration->mGuarantees ==
        std::vector<Guarantee>{ { AccountId("small"), 4, 3 } });
}

// Guards against example files that no longer fit the questionnaire, and
// against guarantees of theirs that one data centre's absence breaks (P1).
TEST_CASE("the example files generate")
{
  for (const char* name : { "therripappir", "kavango" }) {
    auto path = fmt::format("{}/{}.answers.json", EXAMPLES_DIR, name);
    auto answers = AnswersFromText(ReadFile(path), path);
    REQUIRE(answers);
    auto configuration = GenerateOf(*answers);
    REQUIRE(configuration);
    CHECK(ConfigurationFromText(ToText(*configuration), name) ==
          *configuration);
    int servers = 0;
    for (const auto& centre : configuration->mDataCentres) {
      servers += centre.mRacks * centre.mServersPerRack;
      for (const auto& guarantee : configuration->mGuarantees) {
        CHECK(GuaranteedIn(*configuration, centre.mId, guarantee) >=
              guarantee.mCount);
      }
    }
    CHECK(servers == 48);
    CHECK(configuration->mDataCentres.size() == 3);
    CHECK(configuration->mAccounts.size() == 4);
  }
}

} // namespace flamingoloom::config
