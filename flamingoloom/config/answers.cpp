#include "flamingoloom/config/answers.h"

#include <nlohmann/json.hpp>

#include "flamingoloom/config/json_document.h"

namespace flamingoloom::config {
namespace {

using nlohmann::json;

constexpr int kIndent = 2;

json Encode(const DataCentreAnswers& aDataCentre)
{
  return { { "name", aDataCentre.mName.Value() },
           { "region", aDataCentre.mRegion.Value() },
           { "racks", aDataCentre.mRacks },
           { "serversPerRack", aDataCentre.mServersPerRack },
           { "acceleratorsPerServer", aDataCentre.mAcceleratorsPerServer } };
}

json Encode(const AccountAnswers& aAccount)
{
  return { { "name", aAccount.mName.Value() },
           { "share", aAccount.mShare },
           { "limitAccelerators",
             aAccount.mLimitAccelerators ? json(*aAccount.mLimitAccelerators)
                                         : json() },
           { "keySha256", aAccount.mKeySha256 } };
}

json Encode(const GuaranteeAnswers& aGuarantee)
{
  return { { "account", aGuarantee.mAccount.Value() },
           { "accelerators", aGuarantee.mAccelerators },
           { "blocks", aGuarantee.mBlocks } };
}

json Encode(const KindAnswers& aKind)
{
  return { { "name", aKind.mName.Value() },
           { "answerWithinMs", base::ToMilliseconds(aKind.mAnswerWithin) },
           { "lateAnswerIsUseful", aKind.mLateAnswerIsUseful },
           { "usualRunTimeMs", base::ToMilliseconds(aKind.mUsualRunTime) },
           { "mayRunTwice", aKind.mMayRunTwice },
           { "mayBeLost", aKind.mMayBeLost },
           { "mayWaitOvernight", aKind.mMayWaitOvernight },
           { "goesFirst", aKind.mGoesFirst },
           { "tasks", aKind.mTasks },
           { "acceleratorsPerTask", aKind.mAcceleratorsPerTask },
           { "nextToEachOther", aKind.mNextToEachOther },
           { "canBeCheckpointed", aKind.mCanBeCheckpointed },
           { "mayGiveWay", aKind.mMayGiveWay },
           { "inTimePercent", aKind.mInTimePercent } };
}

template <class Entry>
json EncodeAll(const std::vector<Entry>& aEntries)
{
  auto encoded = json::array();
  for (const auto& entry : aEntries) {
    encoded.push_back(Encode(entry));
  }
  return encoded;
}

template <class Id>
Id DecodeId(const json& aObject, const char* aKey)
{
  return Id(aObject.at(aKey).get<std::string>());
}

base::Duration DecodeMs(const json& aObject, const char* aKey)
{
  return std::chrono::milliseconds(aObject.at(aKey).get<std::int64_t>());
}

void Decode(const json& aObject, DataCentreAnswers& aDataCentre)
{
  aDataCentre.mName = DecodeId<base::DataCentreId>(aObject, "name");
  aDataCentre.mRegion = DecodeId<base::RegionId>(aObject, "region");
  aObject.at("racks").get_to(aDataCentre.mRacks);
  aObject.at("serversPerRack").get_to(aDataCentre.mServersPerRack);
  aObject.at("acceleratorsPerServer")
    .get_to(aDataCentre.mAcceleratorsPerServer);
}

void Decode(const json& aObject, AccountAnswers& aAccount)
{
  aAccount.mName = DecodeId<base::AccountId>(aObject, "name");
  aObject.at("share").get_to(aAccount.mShare);
  auto limit = aObject.value("limitAccelerators", json());
  if (!limit.is_null()) {
    aAccount.mLimitAccelerators = limit.get<int>();
  }
  aAccount.mKeySha256 = aObject.value("keySha256", std::string());
}

void Decode(const json& aObject, GuaranteeAnswers& aGuarantee)
{
  aGuarantee.mAccount = DecodeId<base::AccountId>(aObject, "account");
  aObject.at("accelerators").get_to(aGuarantee.mAccelerators);
  aObject.at("blocks").get_to(aGuarantee.mBlocks);
}

void Decode(const json& aObject, KindAnswers& aKind)
{
  aKind.mName = DecodeId<base::KindId>(aObject, "name");
  aKind.mAnswerWithin = DecodeMs(aObject, "answerWithinMs");
  aKind.mLateAnswerIsUseful =
    aObject.value("lateAnswerIsUseful", aKind.mLateAnswerIsUseful);
  aKind.mUsualRunTime = DecodeMs(aObject, "usualRunTimeMs");
  aObject.at("mayRunTwice").get_to(aKind.mMayRunTwice);
  aObject.at("mayBeLost").get_to(aKind.mMayBeLost);
  aObject.at("mayWaitOvernight").get_to(aKind.mMayWaitOvernight);
  aObject.at("goesFirst").get_to(aKind.mGoesFirst);
  aObject.at("tasks").get_to(aKind.mTasks);
  aObject.at("acceleratorsPerTask").get_to(aKind.mAcceleratorsPerTask);
  aObject.at("nextToEachOther").get_to(aKind.mNextToEachOther);
  aObject.at("canBeCheckpointed").get_to(aKind.mCanBeCheckpointed);
  aObject.at("mayGiveWay").get_to(aKind.mMayGiveWay);
  aKind.mInTimePercent = aObject.value("inTimePercent", aKind.mInTimePercent);
}

template <class Entry>
void DecodeAll(const json& aList, std::vector<Entry>& aEntries)
{
  for (const auto& object : aList) {
    Decode(object, aEntries.emplace_back());
  }
}

Answers DecodeAnswers(const json& aDocument)
{
  Answers answers;
  aDocument.at("deployment").get_to(answers.mDeployment);
  DecodeAll(aDocument.at("dataCentres"), answers.mDataCentres);
  DecodeAll(aDocument.at("accounts"), answers.mAccounts);
  DecodeAll(aDocument.at("guarantees"), answers.mGuarantees);
  DecodeAll(aDocument.at("kinds"), answers.mKinds);
  return answers;
}

DocumentSource Source(const std::string& aName)
{
  return { "read answers", aName };
}

} // namespace

json ToJson(const Answers& aAnswers)
{
  return { { "deployment", aAnswers.mDeployment },
           { "dataCentres", EncodeAll(aAnswers.mDataCentres) },
           { "accounts", EncodeAll(aAnswers.mAccounts) },
           { "guarantees", EncodeAll(aAnswers.mGuarantees) },
           { "kinds", EncodeAll(aAnswers.mKinds) } };
}

std::string ToIndentedText(const Answers& aAnswers)
{
  return ToJson(aAnswers).dump(kIndent) + "\n";
}

Checked<Answers> AnswersFromJson(const json& aDocument,
                                 const std::string& aName)
{
  auto problems = CheckSchema(AnswersSchema(), aDocument, Source(aName));
  if (!problems.empty()) {
    return tl::unexpected(problems);
  }
  return DecodeAnswers(aDocument);
}

Problems CheckAnswer(std::string_view aSection,
                     std::string_view aKey,
                     const json& aValue)
{
  const auto answersSchema = json::parse(AnswersSchema());
  json valueSchema = answersSchema.at("properties").at(std::string(aSection));
  if (valueSchema.contains("items")) {
    auto entry =
      valueSchema.at("items").at("$ref").get<std::string>().substr(1);
    valueSchema = answersSchema.at(json::json_pointer(entry));
    valueSchema = valueSchema.at("properties").at(std::string(aKey));
  }
  valueSchema["definitions"] = answersSchema.at("definitions");
  return CheckSchema(valueSchema.dump(), aValue, Source("input"));
}

Checked<Answers> AnswersFromText(std::string_view aText,
                                 const std::string& aName)
{
  auto document = ParseDocument(aText, Source(aName));
  if (!document) {
    return tl::unexpected(document.error());
  }
  return AnswersFromJson(*document, aName);
}

} // namespace flamingoloom::config
