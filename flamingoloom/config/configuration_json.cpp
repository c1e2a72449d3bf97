#include "flamingoloom/config/configuration_json.h"

#include <nlohmann/json.hpp>

#include "flamingoloom/config/check_configuration.h"
#include "flamingoloom/config/configuration_schema.h"
#include "flamingoloom/config/enum_names.h"
#include "flamingoloom/config/json_document.h"

namespace flamingoloom::config {
namespace {

using nlohmann::json;

constexpr internal::EnumNames<Priority, 3> kPriorities = { {
  { Priority::eOvernight, "overnight" },
  { Priority::eNormal, "normal" },
  { Priority::eUrgent, "urgent" },
} };

constexpr int kIndent = 2;

DocumentSource Source(const std::string& aName)
{
  return { "read configuration", aName };
}

json Encode(const DataCentre& aDataCentre)
{
  return { { "id", aDataCentre.mId.Value() },
           { "region", aDataCentre.mRegion.Value() },
           { "racks", aDataCentre.mRacks },
           { "serversPerRack", aDataCentre.mServersPerRack },
           { "acceleratorsPerServer", aDataCentre.mAcceleratorsPerServer } };
}

json Encode(const ClientAccount& aAccount)
{
  return { { "id", aAccount.mId.Value() },
           { "weight", aAccount.mWeight },
           { "quotaAccelerators",
             aAccount.mQuota ? json(*aAccount.mQuota) : json() },
           { "keySha256", aAccount.mKeySha256 } };
}

json Encode(const JobKind& aKind)
{
  return { { "id", aKind.mId.Value() },
           { "idempotent", aKind.mIdempotent },
           { "durable", aKind.mDurable },
           { "checkpointable", aKind.mCheckpointable },
           { "preemptible", aKind.mPreemptible },
           { "priority", internal::NameOf(kPriorities, aKind.mPriority) },
           { "targetUs", aKind.mTarget.count() },
           { "deadlineUs", aKind.mDeadline.count() },
           { "declaredRunTimeUs", aKind.mDeclaredRunTime.count() },
           { "tasks", aKind.mTasks },
           { "acceleratorsPerTask", aKind.mAcceleratorsPerTask },
           { "adjacent", aKind.mAdjacent },
           { "objective", aKind.mObjective } };
}

json Encode(const Guarantee& aGuarantee)
{
  return { { "account", aGuarantee.mAccount.Value() },
           { "shapeAccelerators", aGuarantee.mShape },
           { "count", aGuarantee.mCount } };
}

json Encode(const DataCentreGuarantee& aAssignment)
{
  auto encoded = Encode(aAssignment.mGuarantee);
  encoded["dataCentre"] = aAssignment.mDataCentre.Value();
  return encoded;
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

base::Duration DecodeUs(const json& aObject, const char* aKey)
{
  return base::Duration(aObject.at(aKey).get<base::Duration::rep>());
}

void Decode(const json& aObject, DataCentre& aDataCentre)
{
  aDataCentre.mId = DecodeId<base::DataCentreId>(aObject, "id");
  aDataCentre.mRegion = DecodeId<base::RegionId>(aObject, "region");
  aObject.at("racks").get_to(aDataCentre.mRacks);
  aObject.at("serversPerRack").get_to(aDataCentre.mServersPerRack);
  aObject.at("acceleratorsPerServer")
    .get_to(aDataCentre.mAcceleratorsPerServer);
}

void Decode(const json& aObject, ClientAccount& aAccount)
{
  aAccount.mId = DecodeId<base::AccountId>(aObject, "id");
  aObject.at("weight").get_to(aAccount.mWeight);
  const auto& quota = aObject.at("quotaAccelerators");
  if (!quota.is_null()) {
    aAccount.mQuota = quota.get<int>();
  }
  aObject.at("keySha256").get_to(aAccount.mKeySha256);
}

void Decode(const json& aObject, JobKind& aKind)
{
  aKind.mId = DecodeId<base::KindId>(aObject, "id");
  aObject.at("idempotent").get_to(aKind.mIdempotent);
  aObject.at("durable").get_to(aKind.mDurable);
  aObject.at("checkpointable").get_to(aKind.mCheckpointable);
  aObject.at("preemptible").get_to(aKind.mPreemptible);
  aKind.mPriority =
    internal::ValueOf(kPriorities, aObject.at("priority").get<std::string>());
  aKind.mTarget = DecodeUs(aObject, "targetUs");
  aKind.mDeadline = DecodeUs(aObject, "deadlineUs");
  aKind.mDeclaredRunTime = DecodeUs(aObject, "declaredRunTimeUs");
  aObject.at("tasks").get_to(aKind.mTasks);
  aObject.at("acceleratorsPerTask").get_to(aKind.mAcceleratorsPerTask);
  aObject.at("adjacent").get_to(aKind.mAdjacent);
  aObject.at("objective").get_to(aKind.mObjective);
}

void Decode(const json& aObject, Guarantee& aGuarantee)
{
  aGuarantee.mAccount = DecodeId<base::AccountId>(aObject, "account");
  aObject.at("shapeAccelerators").get_to(aGuarantee.mShape);
  aObject.at("count").get_to(aGuarantee.mCount);
}

void Decode(const json& aObject, DataCentreGuarantee& aAssignment)
{
  aAssignment.mDataCentre = DecodeId<base::DataCentreId>(aObject, "dataCentre");
  Decode(aObject, aAssignment.mGuarantee);
}

template <class Entry>
void DecodeAll(const json& aList, std::vector<Entry>& aEntries)
{
  for (const auto& object : aList) {
    Decode(object, aEntries.emplace_back());
  }
}

Configuration DecodeConfiguration(const json& aDocument)
{
  Configuration configuration;
  aDocument.at("version").get_to(configuration.mVersion);
  aDocument.at("deployment").get_to(configuration.mDeployment);
  DecodeAll(aDocument.at("dataCentres"), configuration.mDataCentres);
  DecodeAll(aDocument.at("accounts"), configuration.mAccounts);
  DecodeAll(aDocument.at("kinds"), configuration.mKinds);
  DecodeAll(aDocument.at("guarantees"), configuration.mGuarantees);
  DecodeAll(aDocument.at("assignments"), configuration.mAssignments);
  return configuration;
}

} // namespace

json ToJson(const Configuration& aConfiguration)
{
  return { { "version", aConfiguration.mVersion },
           { "deployment", aConfiguration.mDeployment },
           { "dataCentres", EncodeAll(aConfiguration.mDataCentres) },
           { "accounts", EncodeAll(aConfiguration.mAccounts) },
           { "kinds", EncodeAll(aConfiguration.mKinds) },
           { "guarantees", EncodeAll(aConfiguration.mGuarantees) },
           { "assignments", EncodeAll(aConfiguration.mAssignments) } };
}

std::string ToText(const Configuration& aConfiguration)
{
  return ToJson(aConfiguration).dump();
}

std::string ToIndentedText(const Configuration& aConfiguration)
{
  return ToJson(aConfiguration).dump(kIndent) + "\n";
}

Checked<Configuration> ConfigurationFromJson(const json& aDocument,
                                             const std::string& aName)
{
  const auto source = Source(aName);
  auto problems =
    CheckSchema(internal::ConfigurationSchema(), aDocument, source);
  if (!problems.empty()) {
    return tl::unexpected(problems);
  }
  auto configuration = DecodeConfiguration(aDocument);
  problems = CheckConfiguration(configuration, source);
  if (!problems.empty()) {
    return tl::unexpected(problems);
  }
  return configuration;
}

Checked<Configuration> ConfigurationFromText(std::string_view aText,
                                             const std::string& aName)
{
  auto document = ParseDocument(aText, Source(aName));
  if (!document) {
    return tl::unexpected(document.error());
  }
  return ConfigurationFromJson(*document, aName);
}

} // namespace flamingoloom::config
