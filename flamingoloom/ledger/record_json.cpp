#include <nlohmann/json.hpp>

#include "flamingoloom/ledger/record.h"

namespace flamingoloom::ledger {
namespace {

using nlohmann::json;

json ToJson(const TaskPlacement& aPlacement)
{
  return { { "server", aPlacement.mServer.mId.Value() },
           { "address", aPlacement.mServer.mAddress },
           { "accelerators", aPlacement.mAccelerators } };
}

TaskPlacement PlacementFromJson(const json& aJson)
{
  return { { base::ServerId(aJson.at("server")), aJson.at("address") },
           aJson.at("accelerators") };
}

json ToJson(const Attempt& aAttempt)
{
  json placements = json::array();
  for (const TaskPlacement& taskPlacement : aAttempt.mPlacements) {
    placements.push_back(ToJson(taskPlacement));
  }
  return { { "id", aAttempt.mId.Value() },
           { "epoch", aAttempt.mEpoch.Value() },
           { "places", std::move(placements) },
           { "withinGuarantee", aAttempt.mWithinGuarantee } };
}

Attempt AttemptFromJson(const json& aJson)
{
  Attempt attempt;
  attempt.mId = base::AttemptId(aJson.at("id"));
  attempt.mEpoch = base::Epoch(aJson.at("epoch").get<std::uint64_t>());
  for (const json& taskPlacement : aJson.at("places")) {
    attempt.mPlacements.push_back(PlacementFromJson(taskPlacement));
  }
  attempt.mWithinGuarantee = aJson.at("withinGuarantee");
  return attempt;
}

Record RecordFromJson(const json& aJson)
{
  Record record;
  record.mRequest = { base::AccountId(aJson.at("account")), aJson.at("key") };
  record.mKind = base::KindId(aJson.at("kind"));
  record.mDataCentre = base::DataCentreId(aJson.at("dataCentre"));
  record.mState = static_cast<RecordState>(aJson.at("state").get<int>());
  record.mPayload = aJson.at("payload");
  record.mBodySha256 = aJson.at("bodySha256");
  if (const json& attempt = aJson.at("attempt"); !attempt.is_null()) {
    record.mAttempt = AttemptFromJson(attempt);
  }
  record.mAttemptsMade = aJson.at("attemptsMade");
  record.mMayHaveRun = aJson.at("mayHaveRun");
  for (const json& server : aJson.at("failedServers")) {
    record.mFailedServers.emplace_back(server.get<std::string>());
  }
  record.mAnswer = aJson.at("answer");
  record.mAnswerSha256 = aJson.at("answerSha256");
  record.mAnswerInStore = aJson.at("answerInStore");
  record.mReason = aJson.at("reason");
  record.mNonce = aJson.at("nonce");
  return record;
}

} // namespace

std::string Encode(const Record& aRecord)
{
  json failedServers = json::array();
  for (const base::ServerId& server : aRecord.mFailedServers) {
    failedServers.push_back(server.Value());
  }
  json attempt;
  if (aRecord.mAttempt) {
    attempt = ToJson(*aRecord.mAttempt);
  }
  json row = { { "account", aRecord.mRequest.mAccount.Value() },
               { "key", aRecord.mRequest.mKey },
               { "kind", aRecord.mKind.Value() },
               { "dataCentre", aRecord.mDataCentre.Value() },
               { "state", static_cast<int>(aRecord.mState) },
               { "payload", aRecord.mPayload },
               { "bodySha256", aRecord.mBodySha256 },
               { "attempt", std::move(attempt) },
               { "attemptsMade", aRecord.mAttemptsMade },
               { "mayHaveRun", aRecord.mMayHaveRun },
               { "failedServers", std::move(failedServers) },
               { "answer", aRecord.mAnswer },
               { "answerSha256", aRecord.mAnswerSha256 },
               { "answerInStore", aRecord.mAnswerInStore },
               { "reason", aRecord.mReason },
               { "nonce", aRecord.mNonce } };
  // All strings come from parsed JSON and are valid UTF-8; the error handler
  // only prevents an exception in case of a programming error.
  return row.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string Encode(const OpenIndex& aIndex)
{
  return json{
    { "open", true },
    { "dataCentre", aIndex.mDataCentre.Value() },
    { "bodySha256", aIndex.mBodySha256 },
    { "nonce", aIndex.mNonce }
  }.dump();
}

base::Expected<Record> Decode(const std::string& aText)
{
  try {
    return RecordFromJson(json::parse(aText));
  } catch (const json::exception& error) {
    return base::MakeError(base::ErrorCode::eInvalid,
                           "decode request record",
                           "table",
                           error.what());
  }
}

base::Expected<std::variant<OpenIndex, Record>> DecodeIndex(
  const std::string& aText)
{
  try {
    json row = json::parse(aText);
    if (!row.value("open", false)) {
      return RecordFromJson(row);
    }
    return OpenIndex{ base::DataCentreId(row.at("dataCentre")),
                      row.at("bodySha256"),
                      row.at("nonce") };
  } catch (const json::exception& error) {
    return base::MakeError(
      base::ErrorCode::eInvalid, "decode request index", "table", error.what());
  }
}

} // namespace flamingoloom::ledger
