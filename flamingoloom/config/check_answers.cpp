#include "flamingoloom/config/check_answers.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "flamingoloom/config/answered_sizes.h"
#include "flamingoloom/config/duration_text.h"
#include "flamingoloom/config/questions.h"
#include "flamingoloom/placement/shape.h"

namespace flamingoloom::config {
namespace {

// Collects problems of one list of answers.
class SectionCheck
{
public:
  SectionCheck(const char* aSection, std::string aName, Problems& aProblems)
    : mSection(aSection)
    , mName(std::move(aName))
    , mProblems(aProblems)
  {
  }

  // aMessage says what is wrong and what would be right.
  void Add(std::size_t aIndex,
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

  void AddIf(bool aWrong,
             std::size_t aIndex,
             const std::string& aEntry,
             const char* aKey,
             const std::string& aMessage)
  {
    if (aWrong) {
      Add(aIndex, aEntry, aKey, aMessage);
    }
  }

private:
  const char* mSection;
  std::string mName;
  Problems& mProblems;
};

template <class Entry>
void CheckNames(SectionCheck& aCheck, const std::vector<Entry>& aEntries)
{
  std::set<std::string> seen;
  for (std::size_t i = 0; i < aEntries.size(); ++i) {
    const auto& name = aEntries[i].mName.Value();
    aCheck.AddIf(!seen.insert(name).second,
                 i,
                 name,
                 "name",
                 "is answered the same twice; choose another name or remove "
                 "one of the entries");
  }
}

std::string Quote(const char* aKey)
{
  return fmt::format("\"{}\"", QuestionText("kinds", aKey));
}

void CheckRepetition(SectionCheck& aCheck,
                     std::size_t aIndex,
                     const KindAnswers& aKind)
{
  aCheck.AddIf(aKind.mMayGiveWay && !aKind.mMayRunTwice,
               aIndex,
               aKind.mName.Value(),
               "mayGiveWay",
               fmt::format("is yes, but {} is no: a job that was stopped would "
                           "have to run again. Answer no here or yes there",
                           Quote("mayRunTwice")));
}

void CheckTimes(SectionCheck& aCheck,
                std::size_t aIndex,
                const KindAnswers& aKind)
{
  const auto& name = aKind.mName.Value();
  aCheck.AddIf(aKind.mAnswerWithin < aKind.mUsualRunTime,
               aIndex,
               name,
               "answerWithinMs",
               fmt::format("is {}, but it usually runs {}. Allow at least {}, "
                           "or correct the run time",
                           DurationText(aKind.mAnswerWithin),
                           DurationText(aKind.mUsualRunTime),
                           DurationText(aKind.mUsualRunTime)));
  aCheck.AddIf(aKind.mMayWaitOvernight && aKind.mGoesFirst,
               aIndex,
               name,
               "goesFirst",
               fmt::format("is yes, but so is {}. Answer no to one of them",
                           Quote("mayWaitOvernight")));
  aCheck.AddIf(aKind.mMayWaitOvernight &&
                 aKind.mAnswerWithin < kShortestOvernight,
               aIndex,
               name,
               "mayWaitOvernight",
               fmt::format("is yes, but the answer must come within {}. Answer "
                           "no, or allow at least {}",
                           DurationText(aKind.mAnswerWithin),
                           DurationText(kShortestOvernight)));
}

void CheckAdjacent(SectionCheck& aCheck,
                   std::size_t aIndex,
                   const KindAnswers& aKind,
                   const Answers& aAnswers)
{
  const int wanted = aKind.mTasks * aKind.mAcceleratorsPerTask;
  const int largest = internal::LargestBlock(aAnswers);
  const int shape = placement::ShapeOf(wanted);
  aCheck.AddIf(shape == 0 || shape > largest,
               aIndex,
               aKind.mName.Value(),
               "nextToEachOther",
               fmt::format("is yes for {} accelerators, but the largest block "
                           "in any data centre has {}. Use fewer accelerators, "
                           "or answer no",
                           wanted,
                           largest));
}

void CheckScattered(SectionCheck& aCheck,
                    std::size_t aIndex,
                    const KindAnswers& aKind,
                    const Answers& aAnswers)
{
  const int most = internal::MostTasks(aAnswers, aKind.mAcceleratorsPerTask);
  aCheck.AddIf(aKind.mTasks > most,
               aIndex,
               aKind.mName.Value(),
               "tasks",
               fmt::format("is {}, but no data centre can run more than {} "
                           "tasks of {} accelerators at once. Use at most {}",
                           aKind.mTasks,
                           most,
                           aKind.mAcceleratorsPerTask,
                           most));
}

void CheckSizes(SectionCheck& aCheck,
                std::size_t aIndex,
                const KindAnswers& aKind,
                const Answers& aAnswers)
{
  const auto& name = aKind.mName.Value();
  const int server = internal::LargestServer(aAnswers);
  if (aKind.mAcceleratorsPerTask == 0) {
    aCheck.AddIf(aKind.mNextToEachOther,
                 aIndex,
                 name,
                 "nextToEachOther",
                 "is yes, but it uses no accelerators. Answer no");
  } else if (aKind.mAcceleratorsPerTask > server) {
    aCheck.Add(aIndex,
               name,
               "acceleratorsPerTask",
               fmt::format("is {}, but no backend server has more than {}. Use "
                           "more tasks with at most {} each",
                           aKind.mAcceleratorsPerTask,
                           server,
                           server));
  } else if (aKind.mNextToEachOther) {
    CheckAdjacent(aCheck, aIndex, aKind, aAnswers);
  } else {
    CheckScattered(aCheck, aIndex, aKind, aAnswers);
  }
}

void CheckLimits(SectionCheck& aCheck,
                 std::size_t aIndex,
                 const KindAnswers& aKind,
                 const Answers& aAnswers)
{
  const int wanted = aKind.mTasks * aKind.mAcceleratorsPerTask;
  const int holding = internal::LargestHolding(aAnswers);
  aCheck.AddIf(wanted > holding,
               aIndex,
               aKind.mName.Value(),
               "acceleratorsPerTask",
               fmt::format("makes {} accelerators for a job, but no client "
                           "account may hold more than {} at once. Raise the "
                           "limit or the guarantee of an account, or use fewer "
                           "accelerators",
                           wanted,
                           holding));
}

void CheckKinds(const Answers& aAnswers,
                const std::string& aName,
                Problems& aProblems)
{
  SectionCheck check("kinds", aName, aProblems);
  CheckNames(check, aAnswers.mKinds);
  for (std::size_t i = 0; i < aAnswers.mKinds.size(); ++i) {
    const auto& kind = aAnswers.mKinds[i];
    CheckRepetition(check, i, kind);
    CheckTimes(check, i, kind);
    CheckSizes(check, i, kind, aAnswers);
    CheckLimits(check, i, kind, aAnswers);
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
    check.AddIf(!known,
                i,
                account.Value(),
                "account",
                "names no client account of these answers. Add the account or "
                "correct the name");
  }
}

} // namespace

Problems CheckAnswers(const Answers& aAnswers, const std::string& aName)
{
  Problems problems;
  SectionCheck centres("dataCentres", aName, problems);
  CheckNames(centres, aAnswers.mDataCentres);
  SectionCheck accounts("accounts", aName, problems);
  CheckNames(accounts, aAnswers.mAccounts);
  CheckGuarantees(aAnswers, aName, problems);
  CheckKinds(aAnswers, aName, problems);
  return problems;
}

} // namespace flamingoloom::config
