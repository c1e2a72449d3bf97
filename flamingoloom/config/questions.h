// The questions of the questionnaire, in the order in which they are asked.
//
// The table is the one place for their wording: the terminal asks from it,
// and problems with the answers quote it. Constant data; thread-safe.
#pragma once

#include <span>
#include <string_view>

namespace flamingoloom::config {

enum class AnswerType
{
  // Letters, digits, '.', '_' and '-'.
  eName,
  eText,
  eYesNo,
  // 0 or more.
  eCount,
  // 1 or more.
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
  // Key of the answer in the JSON form.
  std::string_view mKey;
  AnswerType mType;
  std::string_view mText;
  // What the answer is used for.
  std::string_view mExplanation;
  // As it would be typed; empty when there is no sensible default.
  std::string_view mDefault;
};

// A part of the questionnaire: one list in the JSON form.
struct Section
{
  std::string_view mKey;
  // Heading, such as "Data centres".
  std::string_view mTitle;
  // What one entry of the list is, such as "data centre".
  std::string_view mEntry;
  std::string_view mExplanation;
  std::span<const Question> mQuestions;
  // Fewest entries that the section needs.
  std::size_t mFewest;
};

Question DeploymentQuestion();
std::span<const Section> Sections();

// The wording of a question, such as that of "mayRunTwice" in "kinds".
// Empty when there is no such question.
std::string_view QuestionText(std::string_view aSection, std::string_view aKey);

} // namespace flamingoloom::config
