// The questions of the questionnaire, in the order in which they are asked.
//
// The interactive questionnaire and the messages about invalid answers both
// take the wording from this table. The data is constant; all functions are
// thread-safe.
#pragma once

#include <span>
#include <string_view>

namespace flamingoloom::config {

enum class AnswerType
{
  // 1 to 63 letters, digits, '.', '_' and '-'.
  eName,
  eText,
  eYesNo,
  // A whole number, 0 or more.
  eCount,
  // A whole number, 1 or more.
  eSize,
  // A count, or "none".
  eLimit,
  eDuration,
  ePercent,
  // 64 hexadecimal digits, or "none".
  eDigest,
};

struct Question
{
  // Key of the answer in the JSON document.
  std::string_view mKey;
  AnswerType mType;
  std::string_view mText;
  // Explains what the answer is used for.
  std::string_view mExplanation;
  // The default answer in the form in which it is typed; empty if there is
  // none.
  std::string_view mDefault;
};

// A part of the questionnaire, which is one list in the JSON document.
struct Section
{
  std::string_view mKey;
  // Heading, such as "Data centres".
  std::string_view mTitle;
  // Name of one entry of the list, such as "data centre".
  std::string_view mEntry;
  std::string_view mExplanation;
  std::span<const Question> mQuestions;
  // Minimum number of entries in the list.
  std::size_t mFewest;
};

Question DeploymentQuestion();
std::span<const Section> Sections();

// Returns the wording of a question, such as that of "mayRunTwice" in "kinds";
// empty if there is no such question.
std::string_view QuestionText(std::string_view aSection, std::string_view aKey);

} // namespace flamingoloom::config
