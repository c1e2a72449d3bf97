// The answers to the questionnaire: a team's description of its jobs, client
// accounts, guarantees and data centres, in the terms of that team.
//
// Generate (generate.h) derives a Configuration from the answers. The types are
// immutable value types and safe to copy between threads.
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
  // False if the caller discards an answer that arrives after mAnswerWithin.
  bool mLateAnswerIsUseful = true;
  base::Duration mUsualRunTime{};
  bool mMayRunTwice = false;
  bool mMayBeLost = false;
  bool mMayWaitOvernight = false;
  // Jobs of this kind start before the other jobs of their client account.
  bool mGoesFirst = false;
  int mTasks = 1;
  int mAcceleratorsPerTask = 0;
  bool mNextToEachOther = false;
  bool mCanBeCheckpointed = false;
  // Jobs of this kind may be preempted when another client account claims a
  // guaranteed block.
  bool mMayGiveWay = false;
  double mInTimePercent = 99;

  friend bool operator==(const KindAnswers&, const KindAnswers&) = default;
};

struct AccountAnswers
{
  base::AccountId mName;
  int mShare = 1;
  // Maximum number of accelerators that the account may hold beyond its
  // guarantees; nullopt means no limit.
  std::optional<int> mLimitAccelerators;
  std::string mKeySha256;

  friend bool operator==(const AccountAnswers&,
                         const AccountAnswers&) = default;
};

struct GuaranteeAnswers
{
  base::AccountId mAccount;
  // Number of adjacent accelerators in one block.
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

// Conversion to and from JSON. Only lateAnswerIsUseful, inTimePercent,
// limitAccelerators and keySha256 are optional; unknown keys are rejected.
// aName names the source of the document in error messages. Thread-safe.
nlohmann::json ToJson(const Answers& aAnswers);
std::string ToIndentedText(const Answers& aAnswers);
Checked<Answers> AnswersFromJson(const nlohmann::json& aDocument,
                                 const std::string& aName);
Checked<Answers> AnswersFromText(std::string_view aText,
                                 const std::string& aName);

// Checks a single answer, such as that to "tasks" in "kinds", against the
// schema and returns its problems. Requires that the questionnaire has a
// question aKey in aSection.
Problems CheckAnswer(std::string_view aSection,
                     std::string_view aKey,
                     const nlohmann::json& aValue);

// The JSON schema of an answers file.
std::string_view AnswersSchema();

} // namespace flamingoloom::config
