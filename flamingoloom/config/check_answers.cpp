#include "flamingoloom/config/check_answers.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "flamingoloom/config/duration_text.h"
#include "flamingoloom/config/job_size_limits.h"
#include "flamingoloom/config/questions.h"
#include "flamingoloom/placement/shape.h"

namespace flamingoloom::config {
namespace {

// Adds the problems of one list of answers to aProblems.
class SectionCheck
{
public:
  SectionCheck(const char* aSection, std::string aName, Problems& aProblems)
    : mSection(aSection)
    , mName(std::move(aName))
    , mProblems(aProblems)
  {
  }

  // aMessage follows the quoted question and says what is wrong with the answer
  // and how to correct it.
  void AddProblem(std::size_t aIndex,
                  const std::string& aEntry,
                  const char* aKey,
                  const std::string& aMessage)
  {
    mProblems.push_back(base::Error{
      base::ErrorCode::eInvalid,
      "check answers",
      mName,
      fmt::format(
        "{}: \"{}\" {}", aEntry, QuestionText(mSection, aKey), aMessage),
      fmt::format("/{}/{}/{}", mSection, aIndex, aKey) });
  }

  void AddProblemIf(bool aViolated,
                    std::size_t aIndex,
                    const std::string& aEntry,
                    const char* aKey,
                    const std::string& aMessage)
  {
    if (aViolated) {
      AddProblem(aIndex, aEntry, aKey, aMessage);
    }
  }

private:
  const char* mSection;
  std::string mName;
  Problems& mProblems;
};

template <class Entry>
void CheckUniqueNames(SectionCheck& aCheck, const std::vector<Entry>& aEntries)
{
  std::set<std::string> seen;
  for (std::size_t i = 0; i < aEntries.size(); ++i) {
    const auto& name = aEntries[i].mName.Value();
    aCheck.AddProblemIf(
      !seen.insert(name).second,
      i,
      name,
      "name",
      "has the same answer in two entries; choose another name or "
      "remove one of the entries");
  }
}

std::string QuotedQuestion(const char* aKey)
{
  return fmt::format("\"{}\"", QuestionText("kinds", aKey));
}

void CheckPreemption(SectionCheck& aCheck,
                     std::size_t aIndex,
                     const KindAnswers& aKind)
{
  aCheck.AddProblemIf(
    aKind.mMayGiveWay && !aKind.mMayRunTwice,
    aIndex,
    aKind.mName.Value(),
    "mayGiveWay",
    fmt::format("is yes, but {} is no: a preempted job would have to "
                "run again. Answer no to the first question or yes "
                "to the second",
                QuotedQuestion("mayRunTwice")));
}

void CheckDurations(SectionCheck& aCheck,
                    std::size_t aIndex,
                    const KindAnswers& aKind)
{
  const auto& name = aKind.mName.Value();
  aCheck.AddProblemIf(
    aKind.mAnswerWithin < aKind.mUsualRunTime,
    aIndex,
    name,
    "answerWithinMs",
    fmt::format("is {}, but its usual run time is {}. Allow at least {}, "
                "or correct the run time",
                DurationText(aKind.mAnswerWithin),
                DurationText(aKind.mUsualRunTime),
                DurationText(aKind.mUsualRunTime)));
  aCheck.AddProblemIf(
    aKind.mMayWaitOvernight && aKind.mGoesFirst,
    aIndex,
    name,
    "goesFirst",
    fmt::format("is yes, but so is {}. Answer no to one of them",
                QuotedQuestion("mayWaitOvernight")));
  aCheck.AddProblemIf(
    aKind.mMayWaitOvernight && aKind.mAnswerWithin < kShortestOvernight,
    aIndex,
    name,
    "mayWaitOvernight",
    fmt::format("is yes, but the answer must come within {}. Answer "
                "no, or allow at least {}",
                DurationText(aKind.mAnswerWithin),
                DurationText(kShortestOvernight)));
}

void CheckAdjacentAccelerators(SectionCheck& aCheck,
                               std::size_t aIndex,
                               const KindAnswers& aKind,
                               const Answers& aAnswers)
{
  const int accelerators = aKind.mTasks * aKind.mAcceleratorsPerTask;
  const int maxBlock = internal::MaxBlockSize(aAnswers);
  const int shape = placement::ShapeOf(accelerators);
  aCheck.AddProblemIf(
    shape == 0 || shape > maxBlock,
    aIndex,
    aKind.mName.Value(),
    "nextToEachOther",
    fmt::format("is yes for {} accelerators, but the largest block "
                "in any data centre has {}. Use fewer accelerators, "
                "or answer no",
                accelerators,
                maxBlock));
}

void CheckConcurrentTasks(SectionCheck& aCheck,
                          std::size_t aIndex,
                          const KindAnswers& aKind,
                          const Answers& aAnswers)
{
  const int maxTasks =
    internal::MaxConcurrentTasks(aAnswers, aKind.mAcceleratorsPerTask);
  aCheck.AddProblemIf(
    aKind.mTasks > maxTasks,
    aIndex,
    aKind.mName.Value(),
    "tasks",
    fmt::format("is {}, but no data centre can run more than {} "
                "tasks of {} accelerators at once. Use at most {}",
                aKind.mTasks,
                maxTasks,
                aKind.mAcceleratorsPerTask,
                maxTasks));
}

void CheckAccelerators(SectionCheck& aCheck,
                       std::size_t aIndex,
                       const KindAnswers& aKind,
                       const Answers& aAnswers)
{
  const auto& name = aKind.mName.Value();
  const int maxPerServer = internal::MaxAcceleratorsPerServer(aAnswers);
  if (aKind.mAcceleratorsPerTask == 0) {
    aCheck.AddProblemIf(aKind.mNextToEachOther,
                        aIndex,
                        name,
                        "nextToEachOther",
                        "is yes, but it uses no accelerators. Answer no");
  } else if (aKind.mAcceleratorsPerTask > maxPerServer) {
    aCheck.AddProblem(
      aIndex,
      name,
      "acceleratorsPerTask",
      fmt::format("is {}, but no backend server has more than {}. Use "
                  "more tasks with at most {} each",
                  aKind.mAcceleratorsPerTask,
                  maxPerServer,
                  maxPerServer));
  } else if (aKind.mNextToEachOther) {
    CheckAdjacentAccelerators(aCheck, aIndex, aKind, aAnswers);
  } else {
    CheckConcurrentTasks(aCheck, aIndex, aKind, aAnswers);
  }
}

void CheckAccountLimits(SectionCheck& aCheck,
                        std::size_t aIndex,
                        const KindAnswers& aKind,
                        const Answers& aAnswers)
{
  const int accelerators = aKind.mTasks * aKind.mAcceleratorsPerTask;
  const int maxPerAccount = internal::MaxAcceleratorsPerAccount(aAnswers);
  aCheck.AddProblemIf(
    accelerators > maxPerAccount,
    aIndex,
    aKind.mName.Value(),
    "acceleratorsPerTask",
    fmt::format("results in {} accelerators for a job, but no client "
                "account may hold more than {} at once. Raise the "
                "limit or the guarantee of an account, or use fewer "
                "accelerators",
                accelerators,
                maxPerAccount));
}

void CheckKinds(const Answers& aAnswers,
                const std::string& aName,
                Problems& aProblems)
{
  SectionCheck check("kinds", aName, aProblems);
  CheckUniqueNames(check, aAnswers.mKinds);
  for (std::size_t i = 0; i < aAnswers.mKinds.size(); ++i) {
    const auto& kind = aAnswers.mKinds[i];
    CheckPreemption(check, i, kind);
    CheckDurations(check, i, kind);
    CheckAccelerators(check, i, kind, aAnswers);
    CheckAccountLimits(check, i, kind, aAnswers);
  }
}

void CheckGuarantees(const Answers& aAnswers,
                     const std::string& aName,
                     Problems& aProblems)
{
  SectionCheck check("guarantees", aName, aProblems);
  for (std::size_t i = 0; i < aAnswers.mGuarantees.size(); ++i) {
    const auto& account = aAnswers.mGuarantees[i].mAccount;
    bool known = std::any_of(
      aAnswers.mAccounts.begin(),
      aAnswers.mAccounts.end(),
      [&](const AccountAnswers& aEntry) { return aEntry.mName == account; });
    check.AddProblemIf(
      !known,
      i,
      account.Value(),
      "account",
      "is not the name of a client account in these answers. Add "
      "the account or correct the name");
  }
}

} // namespace

Problems CheckAnswers(const Answers& aAnswers, const std::string& aName)
{
  Problems problems;
  SectionCheck dataCentres("dataCentres", aName, problems);
  CheckUniqueNames(dataCentres, aAnswers.mDataCentres);
  SectionCheck accounts("accounts", aName, problems);
  CheckUniqueNames(accounts, aAnswers.mAccounts);
  CheckGuarantees(aAnswers, aName, problems);
  CheckKinds(aAnswers, aName, problems);
  return problems;
}

} // namespace flamingoloom::config
