#include "flamingoloom/peer/codec.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace flamingoloom::peer::internal {
namespace {

using base::Duration;
using base::Error;
using base::ErrorCode;
using base::Expected;

std::string ToString(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

capnp::Text::Reader ToText(const std::string& aText)
{
  return { aText.data(), aText.size() };
}

std::uint32_t ToWireCount(int aCount)
{
  return static_cast<std::uint32_t>(std::max(aCount, 0));
}

std::uint64_t ToWireMicros(Duration aDuration)
{
  return std::clamp(aDuration, Duration::zero(), kMaxDuration).count();
}

// Decodes and checks the fields of one message. Result returns the error of the
// first invalid field, if there is one.
class FieldReader
{
public:
  std::string Required(capnp::Text::Reader aText, std::string_view aField)
  {
    if (aText.size() == 0) {
      Reject(aField, "is empty");
    }
    return ToString(aText);
  }

  int Count(std::uint32_t aCount, std::string_view aField)
  {
    if (aCount > std::uint32_t{ std::numeric_limits<int>::max() }) {
      Reject(aField, "is out of range");
      return 0;
    }
    return static_cast<int>(aCount);
  }

  Duration Micros(std::uint64_t aMicros, std::string_view aField)
  {
    if (aMicros > static_cast<std::uint64_t>(kMaxDuration.count())) {
      Reject(aField, "is longer than one day");
      return {};
    }
    return Duration(static_cast<Duration::rep>(aMicros));
  }

  template <class T>
  Expected<T> Result(T aValue) const
  {
    if (mError.mField.empty()) {
      return aValue;
    }
    return tl::unexpected<Error>(mError);
  }

private:
  void Reject(std::string_view aField, std::string_view aProblem)
  {
    if (mError.mField.empty()) {
      mError = Error{ ErrorCode::eInvalid,
                      "decode peer message",
                      "",
                      fmt::format("{} {}", aField, aProblem),
                      std::string(aField) };
    }
  }

  Error mError;
};

template <class Builder>
void EncodeRequest(const platform::RequestNotice& aValue, Builder aOut)
{
  aOut.setDataCentre(ToText(aValue.mDataCentre.Value()));
  aOut.setAccount(ToText(aValue.mRequest.mAccount.Value()));
  aOut.setKey(ToText(aValue.mRequest.mKey));
}

template <class Reader>
platform::RequestNotice DecodeRequest(Reader aIn, FieldReader& aFields)
{
  platform::RequestNotice notice;
  notice.mDataCentre =
    base::DataCentreId(aFields.Required(aIn.getDataCentre(), "dataCentre"));
  notice.mRequest.mAccount =
    base::AccountId(aFields.Required(aIn.getAccount(), "account"));
  notice.mRequest.mKey = aFields.Required(aIn.getKey(), "key");
  return notice;
}

platform::Credit DecodeCredit(wire::ServerCredit::Reader aIn,
                              FieldReader& aFields)
{
  platform::Credit credit;
  credit.mServer.mId =
    base::ServerId(aFields.Required(aIn.getServerId(), "serverId"));
  credit.mServer.mAddress = aFields.Required(aIn.getAddress(), "address");
  credit.mCount = aFields.Count(aIn.getCount(), "count");
  return credit;
}

} // namespace

void Encode(const platform::CreditRequest& aValue,
            Instance::GrantCreditsParams::Builder aOut)
{
  aOut.setHolder(ToText(aValue.mHolder.Value()));
  aOut.setDataCentre(ToText(aValue.mDataCentre.Value()));
  aOut.setWanted(ToWireCount(aValue.mWanted));
}

void Encode(const platform::RequestNotice& aValue,
            Instance::SubmitParams::Builder aOut)
{
  EncodeRequest(aValue, aOut);
  aOut.setCancel(aValue.mCancel);
}

void Encode(const AwaitQuery& aValue,
            Instance::AwaitRequestParams::Builder aOut)
{
  EncodeRequest(aValue.mNotice, aOut);
  aOut.setWaitMicros(ToWireMicros(aValue.mWait));
}

void Encode(const platform::DataCentreNotice& aValue,
            Instance::TakeOutParams::Builder aOut)
{
  aOut.setDataCentre(ToText(aValue.mDataCentre.Value()));
  aOut.setRowVersion(aValue.mRowVersion);
}

void Encode(const platform::PromiseRequest& aValue,
            Instance::PromiseParams::Builder aOut)
{
  aOut.setDataCentre(ToText(aValue.mDataCentre.Value()));
  aOut.setOwner(ToText(aValue.mOwner.Value()));
  aOut.setEpoch(aValue.mEpoch.Value());
  aOut.setLifeMicros(ToWireMicros(aValue.mValidFor));
}

void Encode(const platform::ConfigNotice& aValue,
            Instance::AnnounceConfigParams::Builder aOut)
{
  aOut.setVersion(aValue.mVersion);
  aOut.setSender(aValue.mFrom.mId.Value());
  aOut.setAddress(aValue.mFrom.mAddress);
}

void Encode(const platform::LeavingNotice& aValue,
            Instance::AnnounceLeavingParams::Builder aOut)
{
  aOut.setMember(ToText(aValue.mMember));
}

void Encode(const StatusQuery& aValue, Instance::StatusParams::Builder aOut)
{
  aOut.setTopic(ToText(aValue.mTopic));
}

Expected<platform::CreditRequest> Decode(
  Instance::GrantCreditsParams::Reader aIn)
{
  FieldReader fields;
  platform::CreditRequest request;
  request.mHolder =
    base::InstanceId(fields.Required(aIn.getHolder(), "holder"));
  request.mDataCentre =
    base::DataCentreId(fields.Required(aIn.getDataCentre(), "dataCentre"));
  request.mWanted = fields.Count(aIn.getWanted(), "wanted");
  return fields.Result(request);
}

Expected<platform::RequestNotice> Decode(Instance::SubmitParams::Reader aIn)
{
  FieldReader fields;
  platform::RequestNotice notice = DecodeRequest(aIn, fields);
  notice.mCancel = aIn.getCancel();
  return fields.Result(notice);
}

Expected<AwaitQuery> Decode(Instance::AwaitRequestParams::Reader aIn)
{
  FieldReader fields;
  AwaitQuery query;
  query.mNotice = DecodeRequest(aIn, fields);
  query.mWait = fields.Micros(aIn.getWaitMicros(), "waitMicros");
  return fields.Result(query);
}

Expected<platform::DataCentreNotice> Decode(Instance::TakeOutParams::Reader aIn)
{
  FieldReader fields;
  platform::DataCentreNotice notice;
  notice.mDataCentre =
    base::DataCentreId(fields.Required(aIn.getDataCentre(), "dataCentre"));
  notice.mRowVersion = aIn.getRowVersion();
  return fields.Result(notice);
}

Expected<platform::PromiseRequest> Decode(Instance::PromiseParams::Reader aIn)
{
  FieldReader fields;
  platform::PromiseRequest request;
  request.mDataCentre =
    base::DataCentreId(fields.Required(aIn.getDataCentre(), "dataCentre"));
  request.mOwner = base::InstanceId(fields.Required(aIn.getOwner(), "owner"));
  request.mEpoch = base::Epoch(aIn.getEpoch());
  request.mValidFor = fields.Micros(aIn.getLifeMicros(), "lifeMicros");
  return fields.Result(request);
}

Expected<platform::ConfigNotice> Decode(
  Instance::AnnounceConfigParams::Reader aIn)
{
  return platform::ConfigNotice{
    aIn.getVersion(), { base::InstanceId(aIn.getSender()), aIn.getAddress() }
  };
}

Expected<platform::LeavingNotice> Decode(
  Instance::AnnounceLeavingParams::Reader aIn)
{
  FieldReader fields;
  platform::LeavingNotice notice{ fields.Required(aIn.getMember(), "member") };
  return fields.Result(notice);
}

Expected<StatusQuery> Decode(Instance::StatusParams::Reader aIn)
{
  FieldReader fields;
  StatusQuery query{ fields.Required(aIn.getTopic(), "topic") };
  return fields.Result(query);
}

void Encode(const Error& aError, wire::Failure::Builder aOut)
{
  std::string code(base::ErrorCodeName(aError.mCode));
  aOut.setCode(ToText(code));
  aOut.setStep(ToText(aError.mStep));
  aOut.setPeer(ToText(aError.mPeer));
  aOut.setMessage(ToText(aError.mMessage));
}

Error DecodeFailure(wire::Failure::Reader aIn)
{
  return { base::ErrorCodeFromName(ToString(aIn.getCode())),
           ToString(aIn.getStep()),
           ToString(aIn.getPeer()),
           ToString(aIn.getMessage()),
           "" };
}

void EncodeValue(const platform::CreditGrant& aValue,
                 Instance::GrantCreditsResults::Builder aOut)
{
  aOut.setEpoch(aValue.mEpoch.Value());
  aOut.setLifeMicros(ToWireMicros(aValue.mValidFor));
  auto credits = aOut.initCredits(aValue.mCredits.size());
  for (std::size_t i = 0; i < aValue.mCredits.size(); ++i) {
    const platform::Credit& credit = aValue.mCredits[i];
    credits[i].setServerId(ToText(credit.mServer.mId.Value()));
    credits[i].setAddress(ToText(credit.mServer.mAddress));
    credits[i].setCount(ToWireCount(credit.mCount));
  }
}

void EncodeValue(const platform::RequestProgress& aValue,
                 Instance::AwaitRequestResults::Builder aOut)
{
  aOut.setTerminal(aValue.mTerminal);
  aOut.setRecord(ToText(aValue.mRecord));
}

void EncodeValue(const platform::DataCentreStatus& aValue,
                 Instance::TakeOutResults::Builder aOut)
{
  aOut.setAcknowledged(aValue.mAcknowledged);
  aOut.setRowVersion(aValue.mRowVersion);
  aOut.setReason(ToText(aValue.mReason));
}

void EncodeValue(const StatusText& aValue,
                 Instance::StatusResults::Builder aOut)
{
  aOut.setJson(ToText(aValue.mJson));
}

Expected<platform::CreditGrant> DecodeValue(
  Instance::GrantCreditsResults::Reader aIn)
{
  FieldReader fields;
  platform::CreditGrant grant;
  grant.mEpoch = base::Epoch(aIn.getEpoch());
  grant.mValidFor = fields.Micros(aIn.getLifeMicros(), "lifeMicros");
  for (wire::ServerCredit::Reader credit : aIn.getCredits()) {
    grant.mCredits.push_back(DecodeCredit(credit, fields));
  }
  return fields.Result(grant);
}

Expected<platform::RequestProgress> DecodeValue(
  Instance::AwaitRequestResults::Reader aIn)
{
  return platform::RequestProgress{ aIn.getTerminal(),
                                    ToString(aIn.getRecord()) };
}

Expected<platform::DataCentreStatus> DecodeValue(
  Instance::TakeOutResults::Reader aIn)
{
  return platform::DataCentreStatus{ aIn.getAcknowledged(),
                                     aIn.getRowVersion(),
                                     ToString(aIn.getReason()) };
}

Expected<StatusText> DecodeValue(Instance::StatusResults::Reader aIn)
{
  return StatusText{ ToString(aIn.getJson()) };
}

} // namespace flamingoloom::peer::internal
