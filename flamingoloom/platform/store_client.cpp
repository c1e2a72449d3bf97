#include "flamingoloom/platform/store_client.h"

#include "flamingoloom/base/digest.h"

namespace flamingoloom::platform {
namespace {

using base::ErrorCode;
using nlohmann::json;

base::Expected<TransactionResult> DecodeCommit(const HttpCall& aCall,
                                               const HttpReply& aReply)
{
  if (aReply.mStatus == 409) {
    auto result =
      Decode<TransactionResult>(aReply.mBody, aCall.mStep, aCall.mPeer);
    if (result && !result->Committed()) {
      return result;
    }
    return tl::unexpected(ErrorFromReply(aCall, aReply));
  }
  return DecodeReply<TransactionResult>(aCall, aReply);
}

base::Expected<std::vector<Row>> DecodeRows(const HttpCall& aCall,
                                            const HttpReply& aReply)
{
  using Body = std::map<std::string, std::vector<Row>>;
  auto body = DecodeReply<Body>(aCall, aReply);
  if (!body) {
    return tl::unexpected(body.error());
  }
  if (!body->contains("rows")) {
    return base::MakeError(ErrorCode::eOutcomeUnknown,
                           aCall.mStep,
                           aCall.mPeer,
                           "the response has no rows");
  }
  return (*body)["rows"];
}

} // namespace

StoreClient::StoreClient(HttpCaller& aCaller,
                         std::string aAddress,
                         base::Duration aTimeout)
  : mCaller(aCaller)
  , mAddress(std::move(aAddress))
  , mTimeout(aTimeout)
{
}

HttpCall StoreClient::MakeCall(std::string aStep,
                               std::string aMethod,
                               std::string aPath) const
{
  return { .mAddress = mAddress,
           .mStep = std::move(aStep),
           .mPeer = "store",
           .mMethod = std::move(aMethod),
           .mPath = std::move(aPath),
           .mTimeout = mTimeout };
}

void StoreClient::Commit(const Transaction& aTransaction,
                         Done<TransactionResult> aDone)
{
  mCaller.Call<TransactionResult>(
    MakeCall("commit transaction", "POST", "/table/commit"),
    aTransaction,
    DecodeCommit,
    std::move(aDone));
}

void StoreClient::Read(const std::vector<std::string>& aKeys,
                       Done<std::vector<Row>> aDone)
{
  mCaller.Call<std::vector<Row>>(MakeCall("read rows", "POST", "/table/get"),
                                 json{ { "keys", aKeys } },
                                 DecodeRows,
                                 std::move(aDone));
}

void StoreClient::Scan(const std::string& aPrefix, Done<std::vector<Row>> aDone)
{
  mCaller.Call<std::vector<Row>>(MakeCall("scan rows", "POST", "/table/scan"),
                                 json{ { "prefix", aPrefix } },
                                 DecodeRows,
                                 std::move(aDone));
}

void StoreClient::PutObject(const std::string& aObject, Done<std::string> aDone)
{
  const std::string digest = base::Sha256Hex(aObject);
  HttpCall call = MakeCall("put object", "PUT", "/objects/" + digest);
  call.mBody = aObject;
  mCaller.Call<std::string>(
    std::move(call),
    [digest](const HttpCall& aCall,
             const HttpReply& aReply) -> base::Expected<std::string> {
      if (aReply.mStatus < 200 || aReply.mStatus > 299) {
        return tl::unexpected(ErrorFromReply(aCall, aReply));
      }
      return digest;
    },
    std::move(aDone));
}

void StoreClient::GetObject(const std::string& aDigest, Done<std::string> aDone)
{
  mCaller.Call<std::string>(
    MakeCall("get object", "GET", "/objects/" + EncodePathSegment(aDigest)),
    [aDigest](const HttpCall& aCall,
              const HttpReply& aReply) -> base::Expected<std::string> {
      if (aReply.mStatus != 200) {
        return tl::unexpected(ErrorFromReply(aCall, aReply));
      }
      if (base::Sha256Hex(aReply.mBody) != aDigest) {
        return base::MakeError(ErrorCode::eBadAnswer,
                               aCall.mStep,
                               aCall.mPeer,
                               "the received object has a different digest");
      }
      return aReply.mBody;
    },
    std::move(aDone));
}

} // namespace flamingoloom::platform
