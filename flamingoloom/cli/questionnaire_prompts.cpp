#include "flamingoloom/cli/questionnaire_prompts.h"

#include <string>

#include <fmt/format.h>

#include "flamingoloom/cli/answer_text.h"
#include "flamingoloom/config/answers.h"
#include "flamingoloom/config/check_answers.h"

namespace flamingoloom::cli {
namespace {

using config::AnswerType;
using config::Question;
using config::Section;
using nlohmann::json;

std::string Trim(std::string_view aText)
{
  constexpr std::string_view kSpaces = " \t\r\n";
  auto first = aText.find_first_not_of(kSpaces);
  if (first == std::string_view::npos) {
    return "";
  }
  return std::string(
    aText.substr(first, aText.find_last_not_of(kSpaces) - first + 1));
}

// Returns the answer of a question that follows from the answers in aEntry, so
// that the question is skipped.
std::optional<json> ImpliedAnswer(std::string_view aKey, const json& aEntry)
{
  if (aKey == "mayGiveWay" && aEntry.at("mayRunTwice") == false) {
    return false;
  }
  // Requests that run at most once are always recorded.
  if (aKey == "mayBeLost" && aEntry.at("mayRunTwice") == false) {
    return false;
  }
  if (aKey == "goesFirst" && aEntry.at("mayWaitOvernight") == true) {
    return false;
  }
  if (aKey == "mayWaitOvernight" &&
      aEntry.at("answerWithinMs").get<long long>() <
        base::ToMilliseconds(config::kShortestOvernight)) {
    return false;
  }
  if (aKey == "nextToEachOther" && aEntry.at("acceleratorsPerTask") == 0) {
    return false;
  }
  return std::nullopt;
}

class QuestionnairePrompter
{
public:
  explicit QuestionnairePrompter(Console& aConsole)
    : mConsole(aConsole)
  {
  }

  std::optional<json> Run(const json& aPrevious)
  {
    Print("Press Enter to accept the answer in [brackets].\n");
    auto name = Ask("deployment",
                    config::DeploymentQuestion(),
                    aPrevious.value("deployment", json()));
    if (!name) {
      return std::nullopt;
    }
    json answers = { { "deployment", *name } };
    for (const auto& section : config::Sections()) {
      const std::string key(section.mKey);
      auto list = AskSection(section, aPrevious.value(key, json::array()));
      if (!list) {
        return std::nullopt;
      }
      answers[key] = std::move(*list);
    }
    return answers;
  }

private:
  void Print(const std::string& aText) { mConsole.mErr << aText << std::flush; }

  std::optional<std::string> ReadLine()
  {
    std::string line;
    if (!std::getline(mConsole.mIn, line)) {
      return std::nullopt;
    }
    return Trim(line);
  }

  std::string DefaultText(const Question& aQuestion, const json& aPrevious)
  {
    return aPrevious.is_null() ? std::string(aQuestion.mDefault)
                               : AnswerText(aQuestion.mType, aPrevious);
  }

  // Repeats the question until the answer has a valid form and range. Returns
  // nullopt when the input ends.
  std::optional<json> Ask(std::string_view aSection,
                          const Question& aQuestion,
                          const json& aPrevious)
  {
    const auto defaultText = DefaultText(aQuestion, aPrevious);
    Print(fmt::format("\n{}\n", aQuestion.mText));
    if (!aQuestion.mExplanation.empty()) {
      Print(fmt::format("  {}\n", aQuestion.mExplanation));
    }
    while (true) {
      Print(defaultText.empty() ? "> " : fmt::format("[{}] > ", defaultText));
      auto text = ReadLine();
      if (!text) {
        return std::nullopt;
      }
      auto value =
        ParseAnswer(aQuestion.mType, text->empty() ? defaultText : *text);
      if (!value) {
        Print(
          fmt::format("  Please answer {}.\n", AnswerForm(aQuestion.mType)));
        continue;
      }
      auto problems = config::CheckAnswer(aSection, aQuestion.mKey, *value);
      if (problems.empty()) {
        return value;
      }
      Print(fmt::format("  The answer {}.\n", problems.front().mMessage));
    }
  }

  std::optional<bool> AskYesNo(const std::string& aText, bool aDefault)
  {
    while (true) {
      Print(fmt::format("\n{}\n[{}] > ", aText, aDefault ? "yes" : "no"));
      auto text = ReadLine();
      if (!text) {
        return std::nullopt;
      }
      if (text->empty()) {
        return aDefault;
      }
      if (auto value = ParseAnswer(AnswerType::eYesNo, *text)) {
        return value->get<bool>();
      }
      Print("  Please answer yes or no.\n");
    }
  }

  std::optional<json> AskEntry(const Section& aSection, const json& aPrevious)
  {
    json entry = json::object();
    for (const auto& question : aSection.mQuestions) {
      const std::string key(question.mKey);
      auto answer = ImpliedAnswer(key, entry);
      if (!answer) {
        answer = Ask(aSection.mKey, question, aPrevious.value(key, json()));
      }
      if (!answer) {
        return std::nullopt;
      }
      entry[key] = std::move(*answer);
    }
    return entry;
  }

  static std::string NameOf(const json& aEntry)
  {
    return aEntry.value("name", aEntry.value("account", std::string()));
  }

  // Lets the operator keep, change or remove an entry of the previous answers.
  // Returns false when the input ends.
  bool ReviewEntry(const Section& aSection, const json& aPrevious, json& aList)
  {
    const auto name = fmt::format("{} {}", aSection.mEntry, NameOf(aPrevious));
    auto keep = AskYesNo(fmt::format("Keep {} as it is?", name), true);
    if (keep == true) {
      aList.push_back(aPrevious);
    }
    if (keep != false) {
      return keep.has_value();
    }
    auto remove = AskYesNo(fmt::format("Remove {}?", name), false);
    if (remove != false) {
      return remove.has_value();
    }
    auto entry = AskEntry(aSection, aPrevious);
    if (entry) {
      aList.push_back(*entry);
    }
    return entry.has_value();
  }

  // Returns whether to add another entry, or nullopt when the input ends.
  std::optional<bool> AskToAddEntry(const Section& aSection, const json& aList)
  {
    if (aList.size() < aSection.mFewest) {
      return true;
    }
    return AskYesNo(fmt::format("Add {} {}?",
                                aList.empty() ? "a" : "another",
                                aSection.mEntry),
                    false);
  }

  std::optional<json> AskSection(const Section& aSection, const json& aPrevious)
  {
    Print(fmt::format("\n== {}: {}\n", aSection.mTitle, aSection.mExplanation));
    json list = json::array();
    for (const auto& entry : aPrevious) {
      if (!ReviewEntry(aSection, entry, list)) {
        return std::nullopt;
      }
    }
    while (true) {
      auto addEntry = AskToAddEntry(aSection, list);
      if (!addEntry) {
        return std::nullopt;
      }
      if (!*addEntry) {
        return list;
      }
      Print(fmt::format("-- {} {}\n", aSection.mEntry, list.size() + 1));
      auto entry = AskEntry(aSection, json::object());
      if (!entry) {
        return std::nullopt;
      }
      list.push_back(*entry);
    }
  }

  Console& mConsole;
};

} // namespace

std::optional<json> AskAllQuestions(Console& aConsole, const json& aPrevious)
{
  return QuestionnairePrompter(aConsole).Run(aPrevious);
}

} // namespace flamingoloom::cli
