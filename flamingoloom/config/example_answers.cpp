#include "flamingoloom/config/example_answers.h"

namespace flamingoloom::config {
namespace {

using base::AccountId;
using base::DataCentreId;
using base::KindId;
using base::RegionId;
using namespace std::chrono_literals;

KindAnswers Quote()
{
  KindAnswers kind;
  kind.mName = KindId("quote");
  kind.mAnswerWithin = 500ms;
  kind.mLateAnswerIsUseful = false;
  kind.mUsualRunTime = 50ms;
  kind.mMayRunTwice = true;
  kind.mMayBeLost = true;
  kind.mGoesFirst = true;
  kind.mInTimePercent = 99.5;
  return kind;
}

KindAnswers Render()
{
  KindAnswers kind;
  kind.mName = KindId("render");
  kind.mAnswerWithin = 12h;
  kind.mUsualRunTime = 90min;
  kind.mMayRunTwice = true;
  kind.mMayWaitOvernight = true;
  kind.mTasks = 4;
  kind.mAcceleratorsPerTask = 8;
  kind.mNextToEachOther = true;
  kind.mCanBeCheckpointed = true;
  kind.mMayGiveWay = true;
  return kind;
}

KindAnswers Invoice()
{
  KindAnswers kind;
  kind.mName = KindId("invoice");
  kind.mAnswerWithin = 6h;
  kind.mUsualRunTime = 10min;
  return kind;
}

} // namespace

Answers ExampleAnswers()
{
  Answers answers;
  answers.mDeployment = "Example";
  answers.mDataCentres = { { DataCentreId("dc-1"), RegionId("r1"), 1, 8, 8 },
                           { DataCentreId("dc-2"), RegionId("r2"), 1, 8, 8 } };
  answers.mAccounts = {
    { AccountId("large"), 3, std::nullopt, std::string(64, 'a') },
    { AccountId("small"), 1, 16, "" },
  };
  answers.mGuarantees = { { AccountId("large"), 32, 1 },
                          { AccountId("small"), 3, 2 } };
  answers.mKinds = { Quote(), Render(), Invoice() };
  return answers;
}

} // namespace flamingoloom::config
