#include "flamingoloom/cli/interview.h"

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

// Questions whose answer follows from earlier ones are not asked.
std::optional<json> Implied(std::string_view aKey, const json& aEntry)
{
  if (aKey == "mayGiveWay" && aEntry.at("mayRunTwice") == false) {
    return false;
  }
  // Work that runs at most once is always recorded.
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

class Interview
{
public:
  explicit Interview(Console& aConsole)
    : mConsole(aConsole)
  {
  }

  std::optional<json> Run(const json& aEarlier)
  {
    Say("Each answer in [brackets] is taken when you only press Enter.\n");
    auto name = Ask("deployment",
                    config::DeploymentQuestion(),
                    aEarlier.value("deployment", json()));
    if (!name) {
      return std::nullopt;
    }
    json answers = { { "deployment", *name } };
    for (const auto& section : config::Sections()) {
      const std::string key(section.mKey);
      auto list = AskSection(section, aEarlier.value(key, json::array()));
      if (!list) {
        return std::nullopt;
      }
      answers[key] = std::move(*list);
    }
    return answers;
  }

private:
  void Say(const std::string& aText) { mConsole.mErr << aText << std::flush; }

  std::optional<std::string> Read()
  {
    std::string line;
    if (!std::getline(mConsole.mIn, line)) {
      return std::nullopt;
    }
    return Trim(line);
  }

  std::string Offer(const Question& aQuestion, const json& aEarlier)
  {
    return aEarlier.is_null() ? std::string(aQuestion.mDefault)
                              : AnswerText(aQuestion.mType, aEarlier);
  }

  // Asks until the answer has the right form and range.
  std::optional<json> Ask(std::string_view aSection,
                          const Question& aQuestion,
                          const json& aEarlier)
  {
    const auto offer = Offer(aQuestion, aEarlier);
    Say(fmt::format("\n{}\n", aQuestion.mText));
    if (!aQuestion.mExplanation.empty()) {
      Say(fmt::format("  {}\n", aQuestion.mExplanation));
    }
    while (true) {
      Say(offer.empty() ? "> " : fmt::format("[{}] > ", offer));
      auto text = Read();
      if (!text) {
        return std::nullopt;
      }
      auto value = ParseAnswer(aQuestion.mType, text->empty() ? offer : *text);
      if (!value) {
        Say(fmt::format("  Please answer {}.\n", AnswerForm(aQuestion.mType)));
        continue;
      }
      auto problems = config::CheckAnswer(aSection, aQuestion.mKey, *value);
      if (problems.empty()) {
        return value;
      }
      Say(fmt::format("  The answer {}.\n", problems.front().mMessage));
    }
  }

  std::optional<bool> AskYesNo(const std::string& aText, bool aDefault)
  {
    while (true) {
      Say(fmt::format("\n{}\n[{}] > ", aText, aDefault ? "yes" : "no"));
      auto text = Read();
      if (!text) {
        return std::nullopt;
      }
      if (text->empty()) {
        return aDefault;
      }
      if (auto value = ParseAnswer(AnswerType::eYesNo, *text)) {
        return value->get<bool>();
      }
      Say("  Please answer yes or no.\n");
    }
  }

  std::optional<json> AskEntry(const Section& aSection, const json& aEarlier)
  {
    json entry = json::object();
    for (const auto& question : aSection.mQuestions) {
      const std::string key(question.mKey);
      auto answer = Implied(key, entry);
      if (!answer) {
        answer = Ask(aSection.mKey, question, aEarlier.value(key, json()));
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

  // Lets the operator keep, change or remove an earlier entry. Returns false
  // when the input ended.
  bool Review(const Section& aSection, const json& aEarlier, json& aList)
  {
    const auto name = fmt::format("{} {}", aSection.mEntry, NameOf(aEarlier));
    auto keep = AskYesNo(fmt::format("Keep {} as it is?", name), true);
    if (keep == true) {
      aList.push_back(aEarlier);
    }
    if (keep != false) {
      return keep.has_value();
    }
    auto remove = AskYesNo(fmt::format("Remove {}?", name), false);
    if (remove != false) {
      return remove.has_value();
    }
    auto entry = AskEntry(aSection, aEarlier);
    if (entry) {
      aList.push_back(*entry);
    }
    return entry.has_value();
  }

  // Whether one more entry is to be added; none when the input ended.
  std::optional<bool> WantsMore(const Section& aSection, const json& aList)
  {
    if (aList.size() < aSection.mFewest) {
      return true;
    }
    return AskYesNo(fmt::format("Add {} {}?",
                                aList.empty() ? "a" : "another",
                                aSection.mEntry),
                    false);
  }

  std::optional<json> AskSection(const Section& aSection, const json& aEarlier)
  {
    Say(fmt::format("\n== {}: {}\n", aSection.mTitle, aSection.mExplanation));
    json list = json::array();
    for (const auto& entry : aEarlier) {
      if (!Review(aSection, entry, list)) {
        return std::nullopt;
      }
    }
    while (true) {
      auto more = WantsMore(aSection, list);
      if (!more) {
        return std::nullopt;
      }
      if (!*more) {
        return list;
      }
      Say(fmt::format("-- {} {}\n", aSection.mEntry, list.size() + 1));
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

std::optional<json> AskAll(Console& aConsole, const json& aEarlier)
{
  return Interview(aConsole).Run(aEarlier);
}

} // namespace flamingoloom::cli
