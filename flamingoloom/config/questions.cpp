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

constexpr std::array kDataCentreQuestions = {
  Question{ "name",
            eName,
            "What is the data centre called?",
            "Operators use this name to take it out of service.",
            "" },
  Question{ "region",
            eName,
            "In which region is it?",
            "Jobs run in the caller's region if possible, because traffic "
            "between regions is slow and billed by volume.",
            "" },
  Question{ "racks", eSize, "How many racks does it have?", "", "2" },
  Question{ "serversPerRack",
            eSize,
            "How many backend servers are in a rack?",
            "",
            "8" },
  Question{ "acceleratorsPerServer",
            eSize,
            "How many accelerators does a backend server have?",
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
            "What is its share when several accounts compete for capacity?",
            "An account with share 2 gets twice as much as one with share 1. "
            "Guarantees have precedence over shares.",
            "1" },
  Question{ "limitAccelerators",
            eLimit,
            "How many accelerators may it hold beyond its guarantees?",
            "\"none\" means no limit.",
            "none" },
  Question{
    "keySha256",
    eDigest,
    "What is the SHA-256 digest of its key?",
    "Callers authenticate with the key as members of the account. \"none\" "
    "means that callers are not authenticated.",
    "none" },
};

constexpr std::array kGuaranteeQuestions = {
  Question{ "account", eName, "Which client account is it for?", "", "" },
  Question{ "accelerators",
            eSize,
            "How many adjacent accelerators does one block have?",
            "1 to 128; sizes that are not a power of two are rounded up to the "
            "next one.",
            "8" },
  Question{ "blocks",
            eSize,
            "How many such blocks can it always get?",
            "If there are several data centres, the blocks stay available "
            "while any one data centre is out of service.",
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
            "Measured from the arrival of the request; for example \"500 ms\" "
            "or \"4 h\".",
            "" },
  Question{ "lateAnswerIsUseful",
            eYesNo,
            "Is a late answer still useful?",
            "If not, a request that cannot be answered in time is rejected at "
            "once, so that the caller can react.",
            "yes" },
  Question{ "inTimePercent",
            ePercent,
            "How many of 100 requests must be answered in time?",
            "Operators are warned if fewer are answered in time.",
            "99" },
  Question{ "usualRunTimeMs",
            eDuration,
            "How long does one job usually run?",
            "Used as the estimate until 20 run times have been measured.",
            "" },
  Question{ "mayRunTwice",
            eYesNo,
            "May it run twice?",
            "Answer no if running it a second time would do harm, such as a "
            "second invoice. It is then never retried, even if its outcome "
            "is unknown.",
            "no" },
  Question{ "mayBeLost",
            eYesNo,
            "May it be lost?",
            "Answer yes only if callers repeat a lost request. Jobs that may "
            "not be lost are recorded before they start.",
            "no" },
  Question{ "mayWaitOvernight",
            eYesNo,
            "May it wait overnight?",
            "It then runs only when no other job needs the capacity.",
            "no" },
  Question{ "goesFirst",
            eYesNo,
            "Is it urgent, so that it starts before the other jobs of its "
            "account?",
            "",
            "no" },
  Question{ "tasks",
            eSize,
            "How many tasks does it have?",
            "All tasks run at the same time or none runs.",
            "1" },
  Question{ "acceleratorsPerTask",
            eCount,
            "How many accelerators does each task need?",
            "0 for jobs that run on processors only.",
            "0" },
  Question{ "nextToEachOther",
            eYesNo,
            "Must the accelerators be adjacent?",
            "Required for jobs whose tasks exchange large amounts of data.",
            "no" },
  Question{ "canBeCheckpointed",
            eYesNo,
            "Can it be checkpointed and resumed elsewhere?",
            "It can then be relocated during maintenance without losing its "
            "progress.",
            "no" },
  Question{ "mayGiveWay",
            eYesNo,
            "May it be preempted when another account claims its guarantee?",
            "It is then checkpointed and resumed later, or stopped and "
            "restarted later.",
            "yes" },
};

constexpr std::array kSections = {
  Section{ "dataCentres",
           "Data centres",
           "data centre",
           "The data centres that contain the backend servers.",
           kDataCentreQuestions,
           1 },
  Section{ "accounts",
           "Client accounts",
           "client account",
           "The accounts that submit jobs.",
           kAccountQuestions,
           1 },
  Section{ "guarantees",
           "Guarantees",
           "guarantee",
           "The accelerators that a client account can always get.",
           kGuaranteeQuestions,
           0 },
  Section{ "kinds",
           "Kinds of job",
           "kind of job",
           "The kinds of job that run, and how they may be scheduled.",
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
