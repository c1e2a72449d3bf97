#include <doctest/doctest.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "flamingoloom/config/answers.h"
#include "flamingoloom/config/example_answers.h"
#include "flamingoloom/config/questions.h"

namespace flamingoloom::config {
namespace {

using nlohmann::json;

std::string PathOfProblem(const json& aDocument)
{
  auto answers = AnswersFromJson(aDocument, "test");
  if (answers) {
    return "accepted";
  }
  return answers.error().size() == 1 ? answers.error().front().mField
                                     : ToString(answers.error());
}

} // namespace

// Guards against a field that is lost or changed in the answers file. An
// operator who repeats the questionnaire with that file as a starting point
// would change the answer without noticing.
TEST_CASE("answers are unchanged by a round trip through JSON")
{
  CHECK(AnswersFromText(ToIndentedText(ExampleAnswers()), "test") ==
        ExampleAnswers());
}

// Guards against an invalid answer that is accepted or converted to another
// value, and against a problem that is reported for the wrong field.
TEST_CASE("each invalid answer is reported with its path")
{
  for (const auto& [path, value] : std::vector<std::pair<const char*, json>>{
         { "/deployment", "" },
         { "/dataCentres", json::array() },
         { "/dataCentres/0/name", "a/b" },
         { "/dataCentres/0/region", "" },
         { "/dataCentres/1/racks", 0 },
         { "/dataCentres/1/serversPerRack", 1001 },
         { "/dataCentres/1/acceleratorsPerServer", "8" },
         { "/accounts", nullptr },
         { "/accounts/0/name", 1 },
         { "/accounts/0/share", 0 },
         { "/accounts/0/limitAccelerators", "none" },
         { "/accounts/0/keySha256", "secret" },
         { "/accounts/0/quota", 1 },
         { "/guarantees/0/account", "" },
         { "/guarantees/0/accelerators", 129 },
         { "/guarantees/0/blocks", 0 },
         { "/kinds", json::array() },
         { "/kinds/0/name", "" },
         { "/kinds/0/answerWithinMs", 0 },
         { "/kinds/0/lateAnswerIsUseful", "no" },
         { "/kinds/0/usualRunTimeMs", 1.5 },
         { "/kinds/0/mayRunTwice", 1 },
         { "/kinds/0/mayBeLost", nullptr },
         { "/kinds/0/mayWaitOvernight", "yes" },
         { "/kinds/0/goesFirst", 0 },
         { "/kinds/0/tasks", 0 },
         { "/kinds/0/acceleratorsPerTask", -1 },
         { "/kinds/0/nextToEachOther", "" },
         { "/kinds/0/canBeCheckpointed", json::object() },
         { "/kinds/0/mayGiveWay", json::array() },
         { "/kinds/0/inTimePercent", 100 },
         { "/kinds/0/answerWithin", "500 ms" },
         { "/extra", 1 } }) {
    auto document = ToJson(ExampleAnswers());
    document[json::json_pointer(path)] = value;
    CHECK(PathOfProblem(document) == path);
  }
}

// Guards against an optional key that becomes required, so that existing answer
// files are rejected, and against a required key that silently gets a default.
TEST_CASE("only the documented answers are optional")
{
  const auto full = ToJson(ExampleAnswers());
  for (const auto& section : Sections()) {
    const std::string list(section.mKey);
    for (const auto& question : section.mQuestions) {
      const std::string key(question.mKey);
      auto document = full;
      document[list][0].erase(key);
      bool optional = key == "lateAnswerIsUseful" || key == "inTimePercent" ||
                      key == "limitAccelerators" || key == "keySha256";
      CHECK(PathOfProblem(document) ==
            (optional ? "accepted" : fmt::format("/{}/0/{}", list, key)));
    }
  }
}

// Guards against a key of the answers file without a question: the interactive
// questionnaire would never ask for it.
TEST_CASE("each answer has a question")
{
  const auto full = ToJson(ExampleAnswers());
  for (const auto& section : Sections()) {
    const auto& entry = full[std::string(section.mKey)][0];
    CHECK(entry.size() == section.mQuestions.size());
    for (const auto& [key, value] : entry.items()) {
      CHECK(!QuestionText(section.mKey, key).empty());
    }
  }
}

} // namespace flamingoloom::config
