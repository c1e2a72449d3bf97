#include "flamingoloom/frontend/caller_api.h"

#include <charconv>
#include <string>

#include <fmt/format.h>

#include "flamingoloom/frontend/access.h"
#include "flamingoloom/frontend/await.h"
#include "flamingoloom/frontend/json_codec.h"
#include "flamingoloom/frontend/json_reader.h"
#include "flamingoloom/frontend/reply.h"
#include "flamingoloom/frontend/request_check.h"

namespace flamingoloom::frontend::internal {
namespace {

using base::Duration;
using base::ErrorCode;
using base::Expected;
using control::AnswerDone;
using control::CallerAnswer;
using control::CallerRequest;

Expected<CallerRequest> SetIdempotencyKey(CallerRequest aRequest,
                                          const std::string& aKey)
{
  if (!aKey.empty() && !IsIdempotencyKey(aKey)) {
    return InvalidField(
      "caller",
      "Idempotency-Key",
      "must be 1 to 128 letters, digits, '.', '_', '-', '~' or "
      "':'");
  }
  aRequest.mKey = aKey;
  return aRequest;
}

Expected<base::RequestId> ParseRequestName(std::string_view aName)
{
  std::size_t slash = aName.find('/');
  std::string_view account = aName.substr(0, slash);
  if (!IsName(account)) {
    return InvalidField(
      "caller", "account", "is not a valid name of a client account");
  }
  std::string_view key =
    slash == std::string_view::npos ? "" : aName.substr(slash + 1);
  if (!IsIdempotencyKey(key)) {
    return InvalidField("caller", "key", "is not a valid idempotency key");
  }
  return base::RequestId{ base::AccountId(std::string(account)),
                          std::string(key) };
}

// Returns the query parameter waitMs; zero when it is absent.
Expected<Duration> ParseWaitParameter(const ApiRequest& aRequest, Duration aMax)
{
  auto found = aRequest.mQuery.find("waitMs");
  if (found == aRequest.mQuery.end()) {
    return Duration::zero();
  }
  const std::string& text = found->second;
  std::uint64_t wait = 0;
  auto [last, error] =
    std::from_chars(text.data(), text.data() + text.size(), wait);
  auto max = static_cast<std::uint64_t>(base::ToMilliseconds(aMax));
  if (error != std::errc() || last != text.data() + text.size() || wait > max) {
    return InvalidField(
      "caller", "waitMs", fmt::format("must be an integer from 0 to {}", max));
  }
  return std::chrono::milliseconds(wait);
}

} // namespace

ApiReply CallerApi::Submit(const ApiRequest& aRequest) const
{
  auto checked = CheckJsonRequest(aRequest, "caller").and_then([&](auto) {
    return DecodeSubmission(aRequest.mBody,
                            { mSettings.mDefaultWait, mSettings.mMaxWait });
  });
  checked = std::move(checked).and_then([&](CallerRequest&& aValue) {
    return SetIdempotencyKey(std::move(aValue), aRequest.mIdempotencyKey);
  });
  if (!checked) {
    return ErrorReply(checked.error());
  }
  auto access =
    CheckAccess(mHandler, aRequest, Role::eCaller, checked->mAccount);
  if (!access) {
    return ErrorReply(access.error());
  }
  Duration timeout = checked->mWait + mSettings.mHandlerTimeout;
  return AnswerReply(internal::AwaitCallback<CallerAnswer>(
    "submit request", timeout, [&](AnswerDone aDone) {
      mHandler.mSubmit(std::move(*checked), std::move(aDone));
    }));
}

ApiReply CallerApi::Await(const ApiRequest& aRequest,
                          std::string_view aName) const
{
  Expected<base::RequestId> id = ParseRequestName(aName);
  auto query = CheckQuery(aRequest, "caller", { "waitMs" });
  Expected<Duration> wait = ParseWaitParameter(aRequest, mSettings.mMaxWait);
  if (!id || !query || !wait) {
    return ErrorReply(!id ? id.error() : !query ? query.error() : wait.error());
  }
  auto access = CheckAccess(mHandler, aRequest, Role::eCaller, id->mAccount);
  if (!access) {
    return ErrorReply(access.error());
  }
  return AnswerReply(internal::AwaitCallback<CallerAnswer>(
    "await request", *wait + mSettings.mHandlerTimeout, [&](AnswerDone aDone) {
      mHandler.mAwait(*id, *wait, std::move(aDone));
    }));
}

ApiReply CallerApi::Cancel(const ApiRequest& aRequest,
                           std::string_view aName) const
{
  Expected<base::RequestId> id = ParseRequestName(aName);
  auto query = CheckQuery(aRequest, "caller", {});
  if (!id || !query) {
    return ErrorReply(!id ? id.error() : query.error());
  }
  auto access = CheckAccess(mHandler, aRequest, Role::eCaller, id->mAccount);
  if (!access) {
    return ErrorReply(access.error());
  }
  return AnswerReply(internal::AwaitCallback<CallerAnswer>(
    "cancel request", mSettings.mHandlerTimeout, [&](AnswerDone aDone) {
      mHandler.mCancel(*id, std::move(aDone));
    }));
}

} // namespace flamingoloom::frontend::internal
