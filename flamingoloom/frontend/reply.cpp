#include "flamingoloom/frontend/reply.h"

#include "flamingoloom/frontend/json_codec.h"

namespace flamingoloom::frontend::internal {
namespace {

using base::ErrorCode;
using control::RequestState;

int HttpStatus(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::eInvalid:
      return 400;
    case ErrorCode::eDenied:
      return 401;
    case ErrorCode::eNotFound:
      return 404;
    case ErrorCode::eConflict:
    case ErrorCode::eDuplicate:
      return 409;
    case ErrorCode::eBusy:
      return 429;
    case ErrorCode::eUnavailable:
    case ErrorCode::eOutcomeUnknown:
    case ErrorCode::eStaleEpoch:
    case ErrorCode::eShuttingDown:
    case ErrorCode::eTimeout:
      return 503;
    case ErrorCode::eFailed:
    case ErrorCode::eBadAnswer:
      break;
  }
  return 500;
}

int HttpStatus(RequestState aState)
{
  switch (aState) {
    case RequestState::eFinished:
    case RequestState::eFailed:
    case RequestState::eCancelled:
      return 200;
    case RequestState::ePending:
      return 202;
    case RequestState::eRefused:
      return 429;
    case RequestState::eUnknown:
      break;
  }
  return 503;
}

} // namespace

ApiReply ErrorReply(const base::Error& aError)
{
  return { HttpStatus(aError.mCode), EncodeError(aError) };
}

ApiReply JsonReply(const base::Expected<std::string>& aJson)
{
  return aJson ? ApiReply{ 200, *aJson } : ErrorReply(aJson.error());
}

ApiReply AnswerReply(const base::Expected<control::CallerAnswer>& aAnswer)
{
  if (!aAnswer) {
    return ErrorReply(aAnswer.error());
  }
  ApiReply reply = JsonReply(EncodeAnswer(*aAnswer));
  if (reply.mStatus == 200) {
    reply.mStatus = HttpStatus(aAnswer->mState);
  }
  return reply;
}

} // namespace flamingoloom::frontend::internal
