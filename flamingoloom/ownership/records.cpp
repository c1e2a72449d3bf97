#include "flamingoloom/ownership/records.h"

#include <nlohmann/json.hpp>

namespace flamingoloom::ownership {

using nlohmann::json;

std::string LeaseKey(const base::DataCentreId& aDataCentre)
{
  return "lease/" + aDataCentre.Value();
}

std::string DataCentreKey(const base::DataCentreId& aDataCentre)
{
  return "datacentre/" + aDataCentre.Value();
}

std::string Encode(const LeaseRecord& aRecord)
{
  return json{
    { "owner", aRecord.mOwner.Value() },
    { "peerAddress", aRecord.mPeerAddress },
    { "epoch", aRecord.mEpoch.Value() },
    { "durationUs", aRecord.mDuration.count() },
    { "dataCentreVersion", aRecord.mDataCentreVersion },
    { "released", aRecord.mReleased },
    { "successor", aRecord.mSuccessor.Value() },
    { "nonce", aRecord.mNonce }
  }.dump();
}

std::string Encode(const DataCentreRecord& aRecord)
{
  return json{
    { "out", aRecord.mOutOfService },
    { "operator", aRecord.mOperator },
    { "nonce", aRecord.mNonce }
  }.dump();
}

base::Expected<LeaseRecord> DecodeLease(const std::string& aText)
{
  try {
    json row = json::parse(aText);
    LeaseRecord record;
    record.mOwner = base::InstanceId(row.at("owner"));
    record.mPeerAddress = row.at("peerAddress");
    record.mEpoch = base::Epoch(row.at("epoch").get<std::uint64_t>());
    record.mDuration =
      base::Duration(row.at("durationUs").get<base::Duration::rep>());
    record.mDataCentreVersion = row.at("dataCentreVersion");
    record.mReleased = row.at("released");
    record.mSuccessor = base::InstanceId(row.at("successor"));
    record.mNonce = row.at("nonce");
    return record;
  } catch (const json::exception& error) {
    return base::MakeError(
      base::ErrorCode::eInvalid, "decode lease", "table", error.what());
  }
}

base::Expected<DataCentreRecord> DecodeDataCentre(const std::string& aText)
{
  try {
    json row = json::parse(aText);
    return DataCentreRecord{ row.at("out"),
                             row.at("operator"),
                             row.at("nonce") };
  } catch (const json::exception& error) {
    return base::MakeError(
      base::ErrorCode::eInvalid, "decode data centre", "table", error.what());
  }
}

} // namespace flamingoloom::ownership
