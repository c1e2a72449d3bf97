// The answers to the questionnaire: what a team says about its jobs, client
// accounts, guarantees and data centres, in its own terms.
//
// Generate (generate.h) makes a Configuration of them. Immutable value types;
// safe to copy between threads.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/config/checked.h"

namespace flamingoloom::config {

struct KindAnswers
{
  base::KindId mName;
  base::Duration mAnswerWithin{};
  // False when nobody waits for the answer after mAnswerWithin.
  bool mLateAnswerIsUseful = true;
  base::Duration mUsualRunTime{};
  bool mMayRunTwice = false;
  bool mMayBeLost = false;
  bool mMayWaitOvernight = false;
  // Starts before the other jobs of its client account.
  bool mGoesFirst = false;
  int mTasks = 1;
  int mAcceleratorsPerTask = 0;
  bool mNextToEachOther = false;
  bool mCanBeCheckpointed = false;
  // May be stopped when a guarantee is called in.
  bool mMayGiveWay = false;
  double mInTimePercent = 99;

  friend bool operator==(const KindAnswers&, const KindAnswers&) = default;
};

struct AccountAnswers
{
  base::AccountId mName;
  int mShare = 1;
  // Accelerators beyond the guarantees; none means no limit.
  std::optional<int> mLimitAccelerators;
  std::string mKeySha256;

  friend bool operator==(const AccountAnswers&,
                         const AccountAnswers&) = default;
};

struct GuaranteeAnswers
{
  base::AccountId mAccount;
  // Adjacent accelerators of one block.
  int mAccelerators = 1;
  int mBlocks = 1;

  friend bool operator==(const GuaranteeAnswers&,
                         const GuaranteeAnswers&) = default;
};

struct DataCentreAnswers
{
  base::DataCentreId mName;
  base::RegionId mRegion;
  int mRacks = 1;
  int mServersPerRack = 8;
  int mAcceleratorsPerServer = 8;

  friend bool operator==(const DataCentreAnswers&,
                         const DataCentreAnswers&) = default;
};

struct Answers
{
  std::string mDeployment;
  std::vector<DataCentreAnswers> mDataCentres;
  std::vector<AccountAnswers> mAccounts;
  std::vector<GuaranteeAnswers> mGuarantees;
  std::vector<KindAnswers> mKinds;

  friend bool operator==(const Answers&, const Answers&) = default;
};

// The JSON form. Only lateAnswerIsUseful, inTimePercent, limitAccelerators
// and keySha256 may be left out; unknown keys are refused. Thread-safe.
nlohmann::json ToJson(const Answers& aAnswers);
std::string ToIndentedText(const Answers& aAnswers);
Checked<Answers> AnswersFromJson(const nlohmann::json& aDocument,
                                 const std::string& aName);
Checked<Answers> AnswersFromText(std::string_view aText,
                                 const std::string& aName);

// Problems of a single answer, such as that to "tasks" in "kinds". Requires
// that there is such a question.
Problems CheckAnswer(std::string_view aSection,
                     std::string_view aKey,
                     const nlohmann::json& aValue);

// The JSON schema of an answers file.
std::string_view AnswersSchema();

} // namespace flamingoloom::config
