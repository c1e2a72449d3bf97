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

// Input for one data centre, account, guarantee and kind of job. Empty lines
// accept the defaults.
constexpr char kMinimalInput[] = "Small site\n"
                                 "dc-1\nr1\n\n\n\nno\n"
                                 "acme\n\n\n\nno\n"
                                 "yes\nacme\n\n\nno\n"
                                 "quote\n500 ms\n\n\n50 ms\nyes\nyes\n\n\n\n\n"
                                 "no\nno\n";

} // namespace

// Guards against a questionnaire that needs a terminal in scripts, and against
// a written file that differs from the generated configuration.
TEST_CASE("questionnaire generates the configuration from a file of answers")
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

// Guards against changed answers whose effect on the configuration is not shown
// to the operator.
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

// Guards against a configuration that is written although the answers
// contradict each other.
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

// Guards against an earlier configuration that is overwritten and cannot be
// restored.
TEST_CASE("questionnaire keeps a backup of the file that it replaces")
{
  ScratchFolder folder;
  auto file = folder.Write("a.json", config::ToIndentedText(ExampleAnswers()));
  auto output = folder.Write("c.json", "earlier");
  RunCommandLine(
    { "questionnaire", "--answers", file, "--save-configuration", output });
  CHECK(FileText(output + ".bak") == "earlier");
}

// Guards against a question without a default that a new team could not answer:
// the input accepts the defaults and gives only names, two durations and yes or
// no.
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

// Guards against previous answers that are lost when only some of them change.
TEST_CASE("questionnaire offers the previous answers as defaults")
{
  ScratchFolder folder;
  auto line = TerminalLine(folder);
  line.insert(
    line.end(),
    { "--previous",
      folder.Write("p.json", config::ToIndentedText(ExampleAnswers())) });
  // Accepts all defaults: the name, 2 + 2 + 2 + 3 entries to keep, and no entry
  // to add in any of the 4 sections.
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

// Guards against an invalid answer that is accepted, or that terminates the
// program.
TEST_CASE("questionnaire asks again after an invalid answer")
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

// Guards against incomplete answers that are saved as complete ones, and
// against a program that waits forever after the end of the input.
TEST_CASE("questionnaire fails when the input ends early")
{
  ScratchFolder folder;
  const std::string typed = kMinimalInput;
  for (std::size_t length = 0; length < typed.size(); ++length) {
    auto result = RunAtTerminal(TerminalLine(folder), typed.substr(0, length));
    // The input is also complete without the last line break, and when the last
    // "no" is shortened to "n".
    if (length < typed.size() - 2) {
      CHECK(result.mCode == ExitCode::eUsage);
      CHECK(FileText(folder.Path("answers.json")) == "missing");
    }
  }
  CHECK(RunCommandLine({ "questionnaire" }).mCode == ExitCode::eUsage);
}

// Guards against a complete set of answers that is lost because two of them
// contradict each other.
TEST_CASE("questionnaire saves contradicting answers for correction")
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

// Guards against text that is accepted as an answer of the wrong type.
TEST_CASE("ParseAnswer accepts only the form of the answer type")
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
