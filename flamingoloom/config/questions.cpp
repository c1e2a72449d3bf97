#include "flamingoloom/config/questions.h"

#include <array>

namespace flamingoloom::config {
namespace {

using enum AnswerType;

constexpr Question kDeployment{
  "deployment",
  eText,
  "What is this installation called?",
  "Shown to operators; any text.",
  "",
};

constexpr std::array kCentreQuestions = {
  Question{ "name",
            eName,
            "What is the data centre called?",
            "Operators use this name to take it out of service.",
            "" },
  Question{ "region",
            eName,
            "In which region is it?",
            "Work stays in the caller's region where it can, because the link "
            "between regions is slow and billed by volume.",
            "" },
  Question{ "racks", eSize, "How many racks has it?", "", "2" },
  Question{ "serversPerRack",
            eSize,
            "How many backend servers are in a rack?",
            "",
            "8" },
  Question{ "acceleratorsPerServer",
            eSize,
            "How many accelerators has a backend server?",
            "",
            "8" },
};

constexpr std::array kAccountQuestions = {
  Question{ "name",
            eName,
            "What is the client account called?",
            "Callers name it in each request.",
            "" },
  Question{ "share",
            eSize,
            "What is its share when several accounts want the same capacity?",
            "An account with share 2 gets twice as much as one with share 1. "
            "Guarantees come first, whatever the share.",
            "1" },
  Question{ "limitAccelerators",
            eLimit,
            "How many accelerators may it hold beyond its guarantees?",
            "\"none\" stands for no limit.",
            "none" },
  Question{
    "keySha256",
    eDigest,
    "What is the SHA-256 digest of its key?",
    "Callers prove with the key that they belong to the account. \"none\" "
    "stands for callers that are not checked.",
    "none" },
};

constexpr std::array kGuaranteeQuestions = {
  Question{ "account", eName, "Which client account is it for?", "", "" },
  Question{ "accelerators",
            eSize,
            "How many accelerators next to each other has one block?",
            "1 to 128; sizes between powers of two are rounded up.",
            "8" },
  Question{ "blocks",
            eSize,
            "How many such blocks can it always get?",
            "With several data centres they are kept available even while any "
            "one of them is out of service.",
            "1" },
};

constexpr std::array kKindQuestions = {
  Question{ "name",
            eName,
            "What is this kind of job called?",
            "Callers name it in each request.",
            "" },
  Question{ "answerWithinMs",
            eDuration,
            "How soon must the answer come?",
            "Counted from the arrival of the request, such as \"500 ms\" or "
            "\"4 h\".",
            "" },
  Question{ "lateAnswerIsUseful",
            eYesNo,
            "Is a late answer still useful?",
            "If not, work that cannot be in time is refused at once, so that "
            "the caller can react.",
            "yes" },
  Question{ "inTimePercent",
            ePercent,
            "How many of 100 requests must be answered in time?",
            "Operators are warned when fewer are.",
            "99" },
  Question{ "usualRunTimeMs",
            eDuration,
            "How long does one job usually run?",
            "Used until 20 runs have been measured.",
            "" },
  Question{ "mayRunTwice",
            eYesNo,
            "May it run twice?",
            "Answer no when a second run would do harm, such as a second "
            "invoice. It is then never repeated, even when its outcome is "
            "unknown.",
            "no" },
  Question{ "mayBeLost",
            eYesNo,
            "May it be lost?",
            "Answer yes only when callers simply ask again. Jobs that may not "
            "be lost are recorded before they start.",
            "no" },
  Question{ "mayWaitOvernight",
            eYesNo,
            "May it wait overnight?",
            "It then runs when nothing else wants the capacity.",
            "no" },
  Question{ "goesFirst",
            eYesNo,
            "Is it urgent, so that it starts before the other jobs of its "
            "account?",
            "",
            "no" },
  Question{ "tasks",
            eSize,
            "In how many tasks does it run?",
            "All tasks run at the same time or none does.",
            "1" },
  Question{ "acceleratorsPerTask",
            eCount,
            "How many accelerators does each task need?",
            "0 for work that needs only a processor.",
            "0" },
  Question{ "nextToEachOther",
            eYesNo,
            "Must the accelerators be next to each other?",
            "Jobs whose tasks exchange much data need this.",
            "no" },
  Question{ "canBeCheckpointed",
            eYesNo,
            "Can it be checkpointed and continued elsewhere?",
            "It can then move during maintenance without losing its work.",
            "no" },
  Question{ "mayGiveWay",
            eYesNo,
            "May it give way when another account calls in its guarantee?",
            "It is then checkpointed, or stopped and started again later.",
            "yes" },
};

constexpr std::array kSections = {
  Section{ "dataCentres",
           "Data centres",
           "data centre",
           "Where the backend servers are.",
           kCentreQuestions,
           1 },
  Section{ "accounts",
           "Client accounts",
           "client account",
           "Who sends jobs.",
           kAccountQuestions,
           1 },
  Section{ "guarantees",
           "Guarantees",
           "guarantee",
           "What a client account can always get.",
           kGuaranteeQuestions,
           0 },
  Section{ "kinds",
           "Kinds of job",
           "kind of job",
           "What is run, and what may happen to it.",
           kKindQuestions,
           1 },
};

} // namespace

Question DeploymentQuestion()
{
  return kDeployment;
}

std::span<const Section> Sections()
{
  return kSections;
}

std::string_view QuestionText(std::string_view aSection, std::string_view aKey)
{
  for (const auto& section : kSections) {
    for (const auto& question : section.mQuestions) {
      if (section.mKey == aSection && question.mKey == aKey) {
        return question.mText;
      }
    }
  }
  return {};
}

} // namespace flamingoloom::config
