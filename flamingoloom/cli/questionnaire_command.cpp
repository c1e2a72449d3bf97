#include "flamingoloom/cli/questionnaire_command.h"

#include <fmt/format.h>

#include "flamingoloom/cli/files.h"
#include "flamingoloom/cli/questionnaire_prompts.h"
#include "flamingoloom/cli/report_error.h"
#include "flamingoloom/cli/table.h"
#include "flamingoloom/config/answers.h"
#include "flamingoloom/config/configuration_json.h"
#include "flamingoloom/config/difference.h"
#include "flamingoloom/config/generate.h"
#include "flamingoloom/config/summary.h"

namespace flamingoloom::cli {
namespace {

using base::Expected;
using config::Answers;
using config::Configuration;
using nlohmann::json;

constexpr char kPreviousAnswers[] = "--previous";
constexpr char kAnswersFile[] = "--answers";
constexpr char kSaveAnswers[] = "--save-answers";
constexpr char kDefaultAnswers[] = "answers.json";
constexpr char kSaveConfiguration[] = "--save-configuration";

// A result, or an exit code when the command failed and its error was printed.
template <class T>
using ResultOrExitCode = tl::expected<T, ExitCode>;

// Returns the value of aResult, or prints its error and returns the exit code.
template <class T>
ResultOrExitCode<T> ReportFailure(Context& aContext, const Expected<T>& aResult)
{
  if (aResult) {
    return *aResult;
  }
  return tl::unexpected(ReportError(aContext.mConsole.mErr, aResult.error()));
}

template <class T>
ResultOrExitCode<T> ReportFailure(Context& aContext,
                                  const std::string& aName,
                                  const config::Checked<T>& aResult)
{
  if (aResult) {
    return *aResult;
  }
  return tl::unexpected(
    ReportProblems(aContext.mConsole.mErr, aName, aResult.error()));
}

ResultOrExitCode<Answers> AnswersFromFile(Context& aContext,
                                          const std::string& aPath)
{
  auto text = ReportFailure(aContext, ReadFile(aPath));
  if (!text) {
    return tl::unexpected(text.error());
  }
  return ReportFailure(aContext, aPath, config::AnswersFromText(*text, aPath));
}

// Returns the answers in the file of --previous, or nullopt without the option.
ResultOrExitCode<std::optional<Answers>> PreviousAnswers(
  Context& aContext,
  const Arguments& aArguments)
{
  if (!aArguments.Has(kPreviousAnswers)) {
    return std::nullopt;
  }
  return AnswersFromFile(aContext, aArguments.Text(kPreviousAnswers))
    .map([](const Answers& aAnswers) { return std::optional(aAnswers); });
}

ResultOrExitCode<Answers> AnswersFromTerminal(
  Context& aContext,
  const std::optional<Answers>& aPrevious)
{
  auto& console = aContext.mConsole;
  if (!console.mIsInteractive) {
    console.mErr << "error: the questions need a terminal\n"
                    "next: give the answers with --answers FILE\n";
    return tl::unexpected(ExitCode::eUsage);
  }
  auto answers = AskAllQuestions(
    console, aPrevious ? config::ToJson(*aPrevious) : json::object());
  if (!answers) {
    console.mErr << "\nerror: the input ended before the last question; "
                    "nothing was written\n"
                    "next: start again, or give the answers with --answers "
                    "FILE\n";
    return tl::unexpected(ExitCode::eUsage);
  }
  return ReportFailure(aContext,
                       "the questionnaire",
                       config::AnswersFromJson(*answers, "terminal"));
}

ResultOrExitCode<Answers> ObtainAnswers(Context& aContext,
                                        const Arguments& aArguments,
                                        const std::optional<Answers>& aPrevious)
{
  return aArguments.Has(kAnswersFile)
           ? AnswersFromFile(aContext, aArguments.Text(kAnswersFile))
           : AnswersFromTerminal(aContext, aPrevious);
}

// Returns the file to which the answers are written; empty when they are not
// written, because they were read from a file.
std::string AnswersPath(const Arguments& aArguments)
{
  bool isDefault =
    !aArguments.Has(kSaveAnswers) && !aArguments.Has(kAnswersFile);
  return isDefault ? kDefaultAnswers : aArguments.Text(kSaveAnswers);
}

// Saves the answers before they are validated as a whole. If they contradict
// each other, the operator only has to correct the contradictions.
ResultOrExitCode<std::string> SaveAnswers(Context& aContext,
                                          const Arguments& aArguments,
                                          const Answers& aAnswers)
{
  const auto path = AnswersPath(aArguments);
  if (path.empty()) {
    return path;
  }
  auto saved =
    ReportFailure(aContext, WriteFile(path, config::ToIndentedText(aAnswers)));
  if (saved) {
    aContext.mConsole.mErr << fmt::format("answers written to {}\n", path);
  }
  return saved;
}

ResultOrExitCode<Configuration> GenerateConfiguration(
  Context& aContext,
  const Arguments& aArguments,
  const Answers& aAnswers)
{
  auto configuration =
    config::Generate(aAnswers, "answers", placement::PlanGuarantees);
  if (!configuration && !aArguments.Has(kAnswersFile)) {
    aContext.mConsole.mErr << fmt::format(
      "to change some of the answers: flamingoloom questionnaire --previous "
      "{}\n",
      AnswersPath(aArguments));
  }
  return ReportFailure(aContext, "the questionnaire", configuration);
}

// Returns the differences to the configuration of the previous answers. If no
// configuration can be generated from these, all of aNew is reported as new.
std::vector<std::string> Changes(const std::optional<Answers>& aPrevious,
                                 const Configuration& aNew)
{
  if (!aPrevious) {
    return {};
  }
  auto old =
    config::Generate(*aPrevious, "previous", placement::PlanGuarantees);
  return config::Difference(old.value_or(Configuration()), aNew);
}

void PrintText(std::ostream& aOut,
               const Configuration& aConfiguration,
               bool aHasPrevious,
               const std::vector<std::string>& aChanges)
{
  aOut << aConfiguration.mDeployment << "\n";
  for (const auto& line : config::Summarise(aConfiguration)) {
    aOut << line << "\n";
  }
  if (!aHasPrevious) {
    return;
  }
  aOut << (aChanges.empty() ? "\nNothing changes.\n" : "\nChanges:\n");
  for (const auto& line : aChanges) {
    aOut << line << "\n";
  }
}

void Print(Context& aContext,
           const Configuration& aConfiguration,
           const std::optional<Answers>& aPrevious)
{
  const auto changes = Changes(aPrevious, aConfiguration);
  auto& out = aContext.mConsole.mOut;
  if (aContext.mIsJson) {
    PrintJson(out,
              { { "configuration", config::ToJson(aConfiguration) },
                { "summary", config::Summarise(aConfiguration) },
                { "changes", changes } });
  } else {
    PrintText(out, aConfiguration, aPrevious.has_value(), changes);
  }
}

ResultOrExitCode<std::string> SaveConfiguration(
  Context& aContext,
  const Arguments& aArguments,
  const Configuration& aConfiguration)
{
  const auto path = aArguments.Text(kSaveConfiguration);
  auto saved = ReportFailure(
    aContext, WriteFile(path, config::ToIndentedText(aConfiguration)));
  if (saved) {
    aContext.mConsole.mErr << fmt::format(
      "configuration written to {}\nnext: flamingoloom config apply {}\n",
      path,
      path);
  }
  return saved;
}

ResultOrExitCode<ExitCode> RunQuestionnaire(Context& aContext,
                                            const Arguments& aArguments)
{
  auto previous = PreviousAnswers(aContext, aArguments);
  if (!previous) {
    return tl::unexpected(previous.error());
  }
  auto answers = ObtainAnswers(aContext, aArguments, *previous);
  if (!answers) {
    return tl::unexpected(answers.error());
  }
  auto saved = SaveAnswers(aContext, aArguments, *answers);
  if (!saved) {
    return tl::unexpected(saved.error());
  }
  return GenerateConfiguration(aContext, aArguments, *answers)
    .and_then([&](const Configuration& aNew) {
      Print(aContext, aNew, *previous);
      return SaveConfiguration(aContext, aArguments, aNew);
    })
    .map([](const std::string&) { return ExitCode::eDone; });
}

Expected<ExitCode> RunCommand(Context& aContext, const Arguments& aArguments)
{
  auto done = RunQuestionnaire(aContext, aArguments);
  return done ? *done : done.error();
}

} // namespace

Commands QuestionnaireCommands()
{
  return {
    { { "questionnaire" },
      "Ask about jobs, client accounts, guarantees and data centres, "
      "and write the configuration",
      "flamingoloom questionnaire --previous answers.json",
      { { kAnswersFile,
          OptionType::eText,
          "file with the answers; no questions are asked" },
        { kPreviousAnswers,
          OptionType::eText,
          "file with previous answers, which become the defaults; the "
          "differences to them are shown" },
        { kSaveAnswers,
          OptionType::eText,
          "file to which the answers are written (default: answers.json, or "
          "none with --answers)" },
        { kSaveConfiguration,
          OptionType::eText,
          "file to which the configuration is written",
          false,
          "configuration.json" } },
      false,
      RunCommand }
  };
}

} // namespace flamingoloom::cli
