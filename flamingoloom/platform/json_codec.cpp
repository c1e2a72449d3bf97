#include "flamingoloom/platform/json_codec.h"

#include <array>
#include <utility>

namespace flamingoloom::platform {
namespace {

using nlohmann::json;

template <class E, std::size_t N>
using NameTable = std::array<std::pair<E, std::string_view>, N>;

constexpr NameTable<MemberKind, 2> kMemberKinds = { {
  { MemberKind::eInstance, "instance" },
  { MemberKind::eServer, "server" },
} };

constexpr NameTable<MemberState, 2> kMemberStates = { {
  { MemberState::eLive, "live" },
  { MemberState::eDraining, "leaving" },
} };

constexpr NameTable<TaskState, 7> kTaskStates = { {
  { TaskState::eAbsent, "absent" },
  { TaskState::ePrepared, "prepared" },
  { TaskState::eRunning, "running" },
  { TaskState::eFinished, "finished" },
  { TaskState::eFailed, "failed" },
  { TaskState::eStopped, "stopped" },
  { TaskState::eCheckpointed, "checkpointed" },
} };

constexpr NameTable<TaskAction, 6> kTaskActions = { {
  { TaskAction::eCommit, "commit" },
  { TaskAction::eRenew, "renew" },
  { TaskAction::eRelease, "release" },
  { TaskAction::eStop, "stop" },
  { TaskAction::eCheckpoint, "checkpoint" },
  { TaskAction::eThrottle, "throttle" },
} };

template <class E, std::size_t N>
std::string_view NameOf(const NameTable<E, N>& aTable, E aValue)
{
  for (const auto& [value, name] : aTable) {
    if (value == aValue) {
      return name;
    }
  }
  return "";
}

template <class E, std::size_t N>
E FromName(const NameTable<E, N>& aTable, std::string_view aName)
{
  for (const auto& [value, name] : aTable) {
    if (name == aName) {
      return value;
    }
  }
  throw json::other_error::create(
    501, "unknown name '" + std::string(aName) + "'", nullptr);
}

// Returns the member aName, or aDefault when it is missing or null.
template <class T>
T Optional(const json& aJson, const char* aName, T aDefault = T())
{
  auto found = aJson.find(aName);
  return found == aJson.end() || found->is_null() ? aDefault
                                                  : found->template get<T>();
}

json ConflictsToJson(const std::vector<RowVersion>& aVersions)
{
  json list = json::array();
  for (const RowVersion& row : aVersions) {
    list.push_back({ { "key", row.mKey }, { "version", row.mVersion } });
  }
  return list;
}

} // namespace

std::string_view MemberKindName(MemberKind aKind)
{
  return NameOf(kMemberKinds, aKind);
}

std::string_view MemberStateName(MemberState aState)
{
  return NameOf(kMemberStates, aState);
}

std::string_view TaskStateName(TaskState aState)
{
  return NameOf(kTaskStates, aState);
}

std::string_view TaskActionName(TaskAction aAction)
{
  return NameOf(kTaskActions, aAction);
}

TaskAction TaskActionFromName(std::string_view aName)
{
  return FromName(kTaskActions, aName);
}

void to_json(json& aJson, const Row& aRow)
{
  aJson = { { "key", aRow.mKey },
            { "version", aRow.mVersion },
            { "value", aRow.mValue } };
}

void from_json(const json& aJson, Row& aRow)
{
  aJson.at("key").get_to(aRow.mKey);
  aJson.at("version").get_to(aRow.mVersion);
  aJson.at("value").get_to(aRow.mValue);
}

void to_json(json& aJson, const Transaction& aTransaction)
{
  json writes = json::array();
  for (const Write& write : aTransaction.mWrites) {
    writes.push_back(
      { { "key", write.mKey },
        { "expectedVersion", write.mExpectedVersion },
        { "value", write.mValue ? json(*write.mValue) : json(nullptr) } });
  }
  json checks = json::array();
  for (const Check& check : aTransaction.mChecks) {
    checks.push_back(
      { { "key", check.mKey }, { "expectedVersion", check.mExpectedVersion } });
  }
  aJson = { { "writes", std::move(writes) }, { "checks", std::move(checks) } };
}

void from_json(const json& aJson, Transaction& aTransaction)
{
  aTransaction = {};
  for (const json& item : aJson.at("writes")) {
    Write write;
    item.at("key").get_to(write.mKey);
    item.at("expectedVersion").get_to(write.mExpectedVersion);
    if (!item.at("value").is_null()) {
      write.mValue = item.at("value").get<std::string>();
    }
    aTransaction.mWrites.push_back(std::move(write));
  }
  for (const json& item : Optional<json>(aJson, "checks", json::array())) {
    aTransaction.mChecks.push_back(
      { item.at("key").get<std::string>(),
        item.at("expectedVersion").get<std::uint64_t>() });
  }
}

void to_json(json& aJson, const TransactionResult& aResult)
{
  aJson = json::object();
  if (!aResult.Committed()) {
    aJson["conflicts"] = ConflictsToJson(aResult.mConflicts);
    return;
  }
  json& versions = aJson["versions"] = json::object();
  for (const RowVersion& row : aResult.mVersions) {
    versions[row.mKey] = row.mVersion;
  }
}

void from_json(const json& aJson, TransactionResult& aResult)
{
  aResult = {};
  if (aJson.contains("conflicts")) {
    for (const json& item : aJson.at("conflicts")) {
      aResult.mConflicts.push_back({ item.at("key").get<std::string>(),
                                     item.at("version").get<std::uint64_t>() });
    }
    return;
  }
  for (const auto& [key, version] : aJson.at("versions").items()) {
    aResult.mVersions.push_back({ key, version.get<std::uint64_t>() });
  }
}

void to_json(json& aJson, const Member& aMember)
{
  aJson = { { "id", aMember.mId },
            { "kind", MemberKindName(aMember.mKind) },
            { "dataCentre", aMember.mDataCentre.Value() },
            { "region", aMember.mRegion.Value() },
            { "rack", aMember.mRack },
            { "address", aMember.mAddress },
            { "peerAddress", aMember.mPeerAddress },
            { "state", MemberStateName(aMember.mState) },
            { "slots", aMember.mSlots },
            { "connections", aMember.mConnections },
            { "accelerators", aMember.mAccelerators } };
}

void from_json(const json& aJson, Member& aMember)
{
  aMember = {};
  aJson.at("id").get_to(aMember.mId);
  aMember.mKind =
    FromName(kMemberKinds, aJson.at("kind").get<std::string_view>());
  aMember.mDataCentre =
    base::DataCentreId(aJson.at("dataCentre").get<std::string>());
  aMember.mRegion = base::RegionId(aJson.at("region").get<std::string>());
  aMember.mRack = Optional<int>(aJson, "rack");
  aJson.at("address").get_to(aMember.mAddress);
  aMember.mPeerAddress = Optional<std::string>(aJson, "peerAddress");
  aMember.mState =
    FromName(kMemberStates, aJson.at("state").get<std::string_view>());
  aMember.mSlots = Optional<int>(aJson, "slots");
  aMember.mConnections = Optional<int>(aJson, "connections");
  aMember.mAccelerators = Optional<int>(aJson, "accelerators");
}

void to_json(json& aJson, const MemberList& aList)
{
  aJson = { { "members", aList.mMembers },
            { "ageMs", base::ToMilliseconds(aList.mAge) } };
}

void from_json(const json& aJson, MemberList& aList)
{
  aJson.at("members").get_to(aList.mMembers);
  aList.mAge = std::chrono::milliseconds(aJson.at("ageMs").get<std::int64_t>());
}

void to_json(json& aJson, const TaskStart& aStart)
{
  aJson = { { "attempt", aStart.mAttempt.Value() },
            { "request", aStart.mRequest.mKey },
            { "account", aStart.mRequest.mAccount.Value() },
            { "kind", aStart.mKind.Value() },
            { "dataCentre", aStart.mDataCentre.Value() },
            { "epoch", aStart.mEpoch.Value() },
            { "payload", aStart.mPayload },
            { "slots", aStart.mSlots },
            { "accelerators", aStart.mAccelerators },
            { "leaseMs", base::ToMilliseconds(aStart.mLease) } };
  if (!aStart.mGang.empty()) {
    aJson["gang"] = { { "id", aStart.mGang }, { "size", aStart.mGangSize } };
  }
}

void from_json(const json& aJson, TaskStart& aStart)
{
  aStart = {};
  aStart.mAttempt = base::AttemptId(aJson.at("attempt").get<std::string>());
  aStart.mRequest = { base::AccountId(aJson.at("account").get<std::string>()),
                      aJson.at("request").get<std::string>() };
  aStart.mKind = base::KindId(aJson.at("kind").get<std::string>());
  aStart.mDataCentre =
    base::DataCentreId(Optional<std::string>(aJson, "dataCentre"));
  aStart.mEpoch = base::Epoch(aJson.at("epoch").get<std::uint64_t>());
  aStart.mPayload = Optional<std::string>(aJson, "payload");
  aStart.mSlots = Optional<int>(aJson, "slots", 1);
  aStart.mAccelerators = Optional<std::vector<int>>(aJson, "accelerators");
  if (auto gang = Optional<json>(aJson, "gang"); gang.is_object()) {
    gang.at("id").get_to(aStart.mGang);
    gang.at("size").get_to(aStart.mGangSize);
  }
  aStart.mLease =
    std::chrono::milliseconds(Optional<std::int64_t>(aJson, "leaseMs"));
}

void to_json(json& aJson, const TaskStatus& aStatus)
{
  aJson = { { "attempt", aStatus.mAttempt.Value() },
            { "request", aStatus.mRequest.mKey },
            { "account", aStatus.mRequest.mAccount.Value() },
            { "state", TaskStateName(aStatus.mState) },
            { "answer", aStatus.mAnswer },
            { "answerBytes", aStatus.mAnswerBytes },
            { "answerSha256", aStatus.mAnswerSha256 } };
}

void from_json(const json& aJson, TaskStatus& aStatus)
{
  aStatus = {};
  aStatus.mAttempt = base::AttemptId(Optional<std::string>(aJson, "attempt"));
  aStatus.mRequest = {
    base::AccountId(Optional<std::string>(aJson, "account")),
    Optional<std::string>(aJson, "request"),
  };
  aStatus.mState =
    FromName(kTaskStates, aJson.at("state").get<std::string_view>());
  aStatus.mAnswer = Optional<std::string>(aJson, "answer");
  aStatus.mAnswerBytes = Optional<std::uint64_t>(aJson, "answerBytes");
  aStatus.mAnswerSha256 = Optional<std::string>(aJson, "answerSha256");
}

std::string EncodeError(const base::Error& aError)
{
  return json{
    { "error",
      { { "code", base::ErrorCodeName(aError.mCode) },
        { "step", aError.mStep },
        { "field", aError.mField },
        { "peer", aError.mPeer },
        { "message", aError.mMessage } } }
  }.dump(-1, ' ', false, json::error_handler_t::replace);
}

base::Expected<std::string> EncodeJson(const json& aValue,
                                       const std::string& aStep,
                                       const std::string& aPeer)
{
  try {
    return aValue.dump();
  } catch (const json::exception& error) {
    return base::MakeError(
      base::ErrorCode::eInvalid, aStep, aPeer, error.what());
  }
}

} // namespace flamingoloom::platform
