#include "flamingoloom/config/generate.h"

#include <algorithm>

#include <fmt/format.h>

#include "flamingoloom/config/check_answers.h"
#include "flamingoloom/config/questions.h"
#include "flamingoloom/placement/shape.h"

namespace flamingoloom::config {
namespace {

constexpr double kPercent = 100;

Priority PriorityOf(const KindAnswers& aKind)
{
  if (aKind.mMayWaitOvernight) {
    return Priority::eOvernight;
  }
  return aKind.mGoesFirst ? Priority::eUrgent : Priority::eNormal;
}

JobKind MakeKind(const KindAnswers& aKind)
{
  JobKind kind;
  kind.mId = aKind.mName;
  kind.mIdempotent = aKind.mMayRunTwice;
  kind.mDurable = !aKind.mMayBeLost || !aKind.mMayRunTwice;
  kind.mCheckpointable = aKind.mCanBeCheckpointed;
  kind.mPreemptible = aKind.mMayGiveWay;
  kind.mPriority = PriorityOf(aKind);
  kind.mTarget = aKind.mAnswerWithin;
  kind.mDeadline =
    aKind.mLateAnswerIsUseful ? base::Duration::zero() : aKind.mAnswerWithin;
  kind.mDeclaredRunTime = aKind.mUsualRunTime;
  kind.mTasks = aKind.mTasks;
  kind.mAcceleratorsPerTask = aKind.mAcceleratorsPerTask;
  kind.mAdjacent = aKind.mNextToEachOther;
  kind.mObjective = aKind.mInTimePercent / kPercent;
  return kind;
}

DataCentre MakeDataCentre(const DataCentreAnswers& aDataCentre)
{
  return { aDataCentre.mName,
           aDataCentre.mRegion,
           aDataCentre.mRacks,
           aDataCentre.mServersPerRack,
           aDataCentre.mAcceleratorsPerServer };
}

ClientAccount MakeAccount(const AccountAnswers& aAccount)
{
  return { aAccount.mName,
           aAccount.mShare,
           aAccount.mLimitAccelerators,
           aAccount.mKeySha256 };
}

Guarantee MakeGuarantee(const GuaranteeAnswers& aGuarantee)
{
  return { aGuarantee.mAccount,
           placement::ShapeOf(aGuarantee.mAccelerators),
           aGuarantee.mBlocks };
}

template <class To, class From, class Convert>
std::vector<To> ConvertAll(const std::vector<From>& aEntries, Convert aConvert)
{
  std::vector<To> converted;
  std::transform(
    aEntries.begin(), aEntries.end(), std::back_inserter(converted), aConvert);
  return converted;
}

// Adds up the answers for the same account and shape to one guarantee.
std::vector<Guarantee> MakeGuarantees(
  const std::vector<GuaranteeAnswers>& aAnswers)
{
  std::vector<Guarantee> guarantees;
  for (const auto& answer : aAnswers) {
    auto guarantee = MakeGuarantee(answer);
    auto same = std::find_if(
      guarantees.begin(), guarantees.end(), [&](const Guarantee& aOther) {
        return aOther.mAccount == guarantee.mAccount &&
               aOther.mShape == guarantee.mShape;
      });
    if (same == guarantees.end()) {
      guarantees.push_back(guarantee);
    } else {
      same->mCount += guarantee.mCount;
    }
  }
  return guarantees;
}

base::Expected<std::vector<DataCentreGuarantee>> PlanAssignments(
  const Configuration& aConfiguration,
  const Planner& aPlanner)
{
  auto dataCentres = ConvertAll<placement::DataCentreCapacity>(
    aConfiguration.mDataCentres, [](const DataCentre& aDataCentre) {
      return placement::DataCentreCapacity{
        aDataCentre.mId,
        aDataCentre.mRacks,
        aDataCentre.mServersPerRack,
        aDataCentre.mAcceleratorsPerServer
      };
    });
  auto demands = ConvertAll<placement::Demand>(
    aConfiguration.mGuarantees, [](const Guarantee& aGuarantee) {
      return placement::Demand{ aGuarantee.mAccount,
                                aGuarantee.mShape,
                                aGuarantee.mCount };
    });
  auto plan = aPlanner(dataCentres, demands);
  if (!plan) {
    return tl::unexpected(plan.error());
  }
  return ConvertAll<DataCentreGuarantee>(
    *plan, [](const placement::DataCentreAssignment& aAssignment) {
      const auto& demand = aAssignment.mDemand;
      return DataCentreGuarantee{
        aAssignment.mDataCentre,
        { demand.mAccount, demand.mShape, demand.mCount }
      };
    });
}

// Whether a problem is in aList, such as "/dataCentres". The guarantees are
// planned only if the data centres have no problems.
bool HasProblemIn(const Problems& aProblems, std::string_view aList)
{
  return std::any_of(
    aProblems.begin(), aProblems.end(), [&](const base::Error& aProblem) {
      return aProblem.mField.starts_with(aList);
    });
}

base::Error GuaranteesDoNotFit(const base::Error& aReason,
                               const std::string& aName)
{
  return { base::ErrorCode::eInvalid,
           "check answers",
           aName,
           fmt::format("\"{}\" {}. Guarantee fewer or smaller blocks, or add "
                       "backend servers",
                       QuestionText("guarantees", "blocks"),
                       aReason.mMessage),
           "/guarantees" };
}

} // namespace

Checked<Configuration> Generate(const Answers& aAnswers,
                                const std::string& aName,
                                const Planner& aPlanner)
{
  auto problems = CheckAnswers(aAnswers, aName);
  Configuration configuration;
  configuration.mDeployment = aAnswers.mDeployment;
  configuration.mDataCentres =
    ConvertAll<DataCentre>(aAnswers.mDataCentres, MakeDataCentre);
  configuration.mAccounts =
    ConvertAll<ClientAccount>(aAnswers.mAccounts, MakeAccount);
  configuration.mKinds = ConvertAll<JobKind>(aAnswers.mKinds, MakeKind);
  configuration.mGuarantees = MakeGuarantees(aAnswers.mGuarantees);
  if (!HasProblemIn(problems, "/dataCentres")) {
    auto plan = PlanAssignments(configuration, aPlanner);
    if (!plan) {
      problems.push_back(GuaranteesDoNotFit(plan.error(), aName));
    } else {
      configuration.mAssignments = std::move(*plan);
    }
  }
  if (!problems.empty()) {
    return tl::unexpected(problems);
  }
  return configuration;
}

} // namespace flamingoloom::config
