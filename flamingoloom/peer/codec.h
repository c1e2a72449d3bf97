// Converts between the types of platform/ports.h and the messages of
// instance.capnp.
//
// Decode returns eInvalid for a field that is missing or out of range, and
// throws kj::Exception for a malformed message. Callers run in the event loop,
// which catches these exceptions.
#pragma once

#include <string>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/peer/instance.capnp.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::peer::internal {

// Limit of all durations on the wire, so that sums of them cannot overflow.
// Waits, promises and credits are all shorter.
inline constexpr base::Duration kMaxDuration = std::chrono::hours(24);

// The parameters of the awaitRequest message.
struct AwaitQuery
{
  platform::RequestNotice mNotice;
  base::Duration mWait{};
};

// The parameters of the status message.
struct StatusQuery
{
  std::string mTopic;
};

// The value of a status response.
struct StatusText
{
  std::string mJson;
};

using wire::Instance;

void Encode(const platform::CreditRequest& aValue,
            Instance::GrantCreditsParams::Builder aOut);
void Encode(const platform::RequestNotice& aValue,
            Instance::SubmitParams::Builder aOut);
void Encode(const AwaitQuery& aValue,
            Instance::AwaitRequestParams::Builder aOut);
void Encode(const platform::DataCentreNotice& aValue,
            Instance::TakeOutParams::Builder aOut);
void Encode(const platform::PromiseRequest& aValue,
            Instance::PromiseParams::Builder aOut);
void Encode(const platform::ConfigNotice& aValue,
            Instance::AnnounceConfigParams::Builder aOut);
void Encode(const platform::LeavingNotice& aValue,
            Instance::AnnounceLeavingParams::Builder aOut);
void Encode(const StatusQuery& aValue, Instance::StatusParams::Builder aOut);

base::Expected<platform::CreditRequest> Decode(
  Instance::GrantCreditsParams::Reader aIn);
base::Expected<platform::RequestNotice> Decode(
  Instance::SubmitParams::Reader aIn);
base::Expected<AwaitQuery> Decode(Instance::AwaitRequestParams::Reader aIn);
base::Expected<platform::DataCentreNotice> Decode(
  Instance::TakeOutParams::Reader aIn);
base::Expected<platform::PromiseRequest> Decode(
  Instance::PromiseParams::Reader aIn);
base::Expected<platform::ConfigNotice> Decode(
  Instance::AnnounceConfigParams::Reader aIn);
base::Expected<platform::LeavingNotice> Decode(
  Instance::AnnounceLeavingParams::Reader aIn);
base::Expected<StatusQuery> Decode(Instance::StatusParams::Reader aIn);

void Encode(const base::Error& aError, wire::Failure::Builder aOut);
// Precondition: the code of aIn is not empty.
base::Error DecodeFailure(wire::Failure::Reader aIn);

void EncodeValue(const platform::CreditGrant& aValue,
                 Instance::GrantCreditsResults::Builder aOut);
void EncodeValue(const platform::RequestProgress& aValue,
                 Instance::AwaitRequestResults::Builder aOut);
void EncodeValue(const platform::DataCentreStatus& aValue,
                 Instance::TakeOutResults::Builder aOut);
void EncodeValue(const StatusText& aValue,
                 Instance::StatusResults::Builder aOut);
// Responses without a value.
template <class Results>
void EncodeValue(const platform::Nothing&, Results)
{
}

base::Expected<platform::CreditGrant> DecodeValue(
  Instance::GrantCreditsResults::Reader aIn);
base::Expected<platform::RequestProgress> DecodeValue(
  Instance::AwaitRequestResults::Reader aIn);
base::Expected<platform::DataCentreStatus> DecodeValue(
  Instance::TakeOutResults::Reader aIn);
base::Expected<StatusText> DecodeValue(Instance::StatusResults::Reader aIn);
inline base::Expected<platform::Nothing> DecodeValue(
  Instance::SubmitResults::Reader)
{
  return platform::Nothing{};
}
inline base::Expected<platform::Nothing> DecodeValue(
  Instance::PromiseResults::Reader)
{
  return platform::Nothing{};
}
inline base::Expected<platform::Nothing> DecodeValue(
  Instance::AnnounceConfigResults::Reader)
{
  return platform::Nothing{};
}
inline base::Expected<platform::Nothing> DecodeValue(
  Instance::AnnounceLeavingResults::Reader)
{
  return platform::Nothing{};
}

// Encodes a result as the value or the failure of a response.
template <class T, class Results>
void EncodeResponse(const base::Expected<T>& aResult, Results aOut)
{
  if (aResult) {
    EncodeValue(*aResult, aOut);
  } else {
    Encode(aResult.error(), aOut.initFailure());
  }
}

} // namespace flamingoloom::peer::internal
