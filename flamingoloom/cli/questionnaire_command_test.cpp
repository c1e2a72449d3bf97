#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "flamingoloom/cli/answer_text.h"
#include "flamingoloom/cli/files.h"
#include "flamingoloom/cli/run_in_process.h"
#include "flamingoloom/config/answers.h"
#include "flamingoloom/config/configuration_json.h"
#include "flamingoloom/config/example_answers.h"
#include "flamingoloom/config/generate.h"

namespace flamingoloom::cli {
namespace {

using config::Answers;
using config::AnswerType;
using config::ExampleAnswers;
using nlohmann::json;

config::Checked<config::Configuration> Generated(const Answers& aAnswers)
{
  return config::Generate(aAnswers, "test", placement::PlanGuarantees);
}

std::string FileText(const std::string& aPath)
{
  return ReadFile(aPath).value_or("missing");
}

std::vector<std::string> TerminalLine(const ScratchFolder& aFolder)
{
  return { "questionnaire",
           "--save-answers",
           aFolder.Path("answers.json"),
           "--save-configuration",
           aFolder.Path("configuration.json") };
}

// One data centre, account, guarantee and kind; every offer that exists is
// taken.
constexpr char kMinimalInput[] = "Small site\n"
                                 "dc-1\nr1\n\n\n\nno\n"
                                 "acme\n\n\n\nno\n"
                                 "yes\nacme\n\n\nno\n"
                                 "quote\n500 ms\n\n\n50 ms\nyes\nyes\n\n\n\n\n"
                                 "no\nno\n";

} // namespace

// Guards against a questionnaire that needs a terminal in scripts, and against
// files that do not hold what was generated.
TEST_CASE("questionnaire generates from a file of answers")
{
  ScratchFolder folder;
  auto file = folder.Write("a.json", config::ToIndentedText(ExampleAnswers()));
  auto output = folder.Path("c.json");
  auto result = RunCommandLine(
    { "questionnaire", "--answers", file, "--save-configuration", output });
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(result.OutHas("invoice: runs at most once"));
  CHECK(result.ErrHas("next: flamingoloom config apply " + output));
  CHECK(config::ConfigurationFromText(FileText(output), "test") ==
        Generated(ExampleAnswers()));
}

// Guards against a change of the answers whose effect nobody has seen.
TEST_CASE("questionnaire shows the difference to the previous answers")
{
  ScratchFolder folder;
  auto changed = ExampleAnswers();
  changed.mAccounts[0].mShare = 7;
  auto previous =
    folder.Write("p.json", config::ToIndentedText(ExampleAnswers()));
  auto file = folder.Write("a.json", config::ToIndentedText(changed));
  std::vector<std::string> line = {
    "questionnaire",        "--answers",          file, "--previous", previous,
    "--save-configuration", folder.Path("c.json")
  };
  auto result = RunCommandLine(line);
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(result.OutHas("client account large: share is now 7 (was 3)."));
  line.emplace_back("--json");
  auto asJson = json::parse(RunCommandLine(line).mOut);
  CHECK(asJson["changes"].size() == 1);
  CHECK(config::ConfigurationFromJson(asJson["configuration"], "test") ==
        Generated(changed));
}

// Guards against a configuration that is written in spite of contradictions.
TEST_CASE("questionnaire lists all problems and writes no configuration")
{
  ScratchFolder folder;
  auto wrong = ExampleAnswers();
  wrong.mKinds[2].mMayGiveWay = true;
  wrong.mGuarantees[0].mBlocks = 9;
  auto file = folder.Write("a.json", config::ToIndentedText(wrong));
  auto output = folder.Path("c.json");
  auto result = RunCommandLine(
    { "questionnaire", "--answers", file, "--save-configuration", output });
  CHECK(result.mCode == ExitCode::eInvalid);
  CHECK(result.ErrHas("2 problems"));
  CHECK(result.ErrHas("/kinds/2/mayGiveWay"));
  CHECK(result.ErrHas("/guarantees"));
  CHECK(FileText(output) == "missing");
  CHECK(RunCommandLine({ "questionnaire", "--answers", folder.Path("none") })
          .mCode == ExitCode::eInvalid);
}

// Guards against an overwritten file that nobody can get back.
TEST_CASE("questionnaire keeps the file that it replaces")
{
  ScratchFolder folder;
  auto file = folder.Write("a.json", config::ToIndentedText(ExampleAnswers()));
  auto output = folder.Write("c.json", "earlier");
  RunCommandLine(
    { "questionnaire", "--answers", file, "--save-configuration", output });
  CHECK(FileText(output + ".bak") == "earlier");
}

// Guards against a new team that needs to know more than the questions ask.
TEST_CASE("questionnaire asks at a terminal, with defaults")
{
  ScratchFolder folder;
  auto result = RunAtTerminal(TerminalLine(folder), kMinimalInput);
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(result.ErrHas("May it run twice?"));
  auto answers =
    config::AnswersFromText(FileText(folder.Path("answers.json")), "test");
  REQUIRE(answers);
  CHECK(answers->mDeployment == "Small site");
  CHECK(answers->mDataCentres.size() == 1);
  CHECK(answers->mGuarantees.size() == 1);
  CHECK(answers->mKinds.at(0).mAnswerWithin == std::chrono::milliseconds(500));
  CHECK(answers->mKinds.at(0).mMayRunTwice);
  CHECK(
    config::ConfigurationFromText(FileText(folder.Path("configuration.json")),
                                  "test") == Generated(*answers));
}

// Guards against earlier answers that are lost when only some change.
TEST_CASE("questionnaire offers the earlier answers again")
{
  ScratchFolder folder;
  auto line = TerminalLine(folder);
  line.insert(
    line.end(),
    { "--previous",
      folder.Write("p.json", config::ToIndentedText(ExampleAnswers())) });
  // Keeps everything: the name, 2 + 2 + 2 + 3 entries, and no further ones.
  auto kept = RunAtTerminal(line, std::string(1 + 9 + 4, '\n'));
  CHECK(kept.mCode == ExitCode::eDone);
  CHECK(kept.OutHas("Nothing changes."));
  CHECK(config::AnswersFromText(FileText(folder.Path("answers.json")),
                                "test") == ExampleAnswers());
  // Changes the share of the first account, and removes the last guarantee.
  auto changed = RunAtTerminal(line,
                               "\n\n\n\n"
                               "no\nno\n\n8\n\n\n\n\n"
                               "\nno\nyes\n\n"
                               "\n\n\n\n");
  CHECK(changed.mCode == ExitCode::eDone);
  CHECK(changed.OutHas("client account large: share is now 8 (was 3)."));
  CHECK(changed.OutHas("guarantee of blocks of 4 for client account small was "
                       "removed."));
}

// Guards against a wrong answer that is taken, or that ends the program.
TEST_CASE("questionnaire asks again after a wrong answer")
{
  ScratchFolder folder;
  std::string typed = "Small site\nhas space\ndc-1\nr1\nzero\n0\n1001\n";
  auto result = RunAtTerminal(TerminalLine(folder),
                              typed + std::string(kMinimalInput).substr(19));
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(result.ErrHas("must be a name of 1 to 63 letters"));
  CHECK(result.ErrHas("Please answer a whole number."));
  CHECK(result.ErrHas("must be a whole number from 1 to 1000"));
}

// Guards against half a questionnaire that is written as a whole one, and
// against a program that waits for input that never comes.
TEST_CASE("questionnaire ends when the input ends")
{
  ScratchFolder folder;
  const std::string typed = kMinimalInput;
  for (std::size_t length = 0; length < typed.size(); ++length) {
    auto result = RunAtTerminal(TerminalLine(folder), typed.substr(0, length));
    // The last "no" is also understood as "n" and without its line break.
    if (length < typed.size() - 2) {
      CHECK(result.mCode == ExitCode::eUsage);
      CHECK(FileText(folder.Path("answers.json")) == "missing");
    }
  }
  CHECK(RunCommandLine({ "questionnaire" }).mCode == ExitCode::eUsage);
}

// Guards against an hour of answers that is lost to one contradiction.
TEST_CASE("questionnaire keeps contradicting answers for the next time")
{
  ScratchFolder folder;
  std::string typed = kMinimalInput;
  typed.replace(typed.find("50 ms\nyes"), 5, "50 s");
  auto result = RunAtTerminal(TerminalLine(folder), typed);
  CHECK(result.mCode == ExitCode::eInvalid);
  CHECK(
    result.ErrHas("questionnaire --previous " + folder.Path("answers.json")));
  CHECK(config::AnswersFromText(FileText(folder.Path("answers.json")), "test"));
  CHECK(FileText(folder.Path("configuration.json")) == "missing");
}

// Guards against text that is taken for an answer of another type.
TEST_CASE("answers have the form of their type")
{
  CHECK(ParseAnswer(AnswerType::eYesNo, "y") == json(true));
  CHECK(ParseAnswer(AnswerType::eYesNo, "no") == json(false));
  CHECK(!ParseAnswer(AnswerType::eYesNo, "maybe"));
  CHECK(ParseAnswer(AnswerType::eLimit, "none") == json(nullptr));
  CHECK(!ParseAnswer(AnswerType::eLimit, "many"));
  CHECK(ParseAnswer(AnswerType::eLimit, "0") == json(0));
  CHECK(!ParseAnswer(AnswerType::eCount, "3 racks"));
  CHECK(ParseAnswer(AnswerType::eDuration, "2 s") == json(2000));
  CHECK(!ParseAnswer(AnswerType::eDuration, "2"));
  CHECK(ParseAnswer(AnswerType::ePercent, "99.5") == json(99.5));
  CHECK(!ParseAnswer(AnswerType::ePercent, "nan"));
  CHECK(!ParseAnswer(AnswerType::eName, ""));
  CHECK(ParseAnswer(AnswerType::eDigest, "none") == json(""));
  CHECK(ParseAnswer(AnswerType::eDigest, "abc") == json("abc"));
}

} // namespace flamingoloom::cli
