#include "flamingoloom/report/request_completion.h"

namespace flamingoloom::report {
namespace {

Result FinishedResult(base::Duration aDuration, base::Duration aTarget)
{
  bool inTime = aTarget <= base::Duration{} || aDuration <= aTarget;
  return inTime ? Result::eInTime : Result::eLate;
}

std::optional<Result> ErrorResult(const base::Error& aError)
{
  if (aError.mCode == base::ErrorCode::eConflict ||
      aError.mCode == base::ErrorCode::eInvalid) {
    return std::nullopt;
  }
  return Result::eUnknown;
}

} // namespace

std::string_view ResultName(Result aResult)
{
  switch (aResult) {
    case Result::eInTime:
      return "in_time";
    case Result::eLate:
      return "late";
    case Result::eFailed:
      return "failed";
    case Result::eRefused:
      return "refused";
    case Result::eUnknown:
      return "unknown";
    case Result::eCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::optional<Result> ResultOf(
  const base::Expected<control::CallerAnswer>& aAnswer,
  base::Duration aDuration,
  base::Duration aTarget)
{
  if (!aAnswer) {
    return ErrorResult(aAnswer.error());
  }
  switch (aAnswer->mState) {
    case control::RequestState::ePending:
      return std::nullopt;
    case control::RequestState::eFinished:
      return FinishedResult(aDuration, aTarget);
    case control::RequestState::eFailed:
      return Result::eFailed;
    case control::RequestState::eCancelled:
      return Result::eCancelled;
    case control::RequestState::eRefused:
      return Result::eRefused;
    case control::RequestState::eUnknown:
      return Result::eUnknown;
  }
  return Result::eUnknown;
}

} // namespace flamingoloom::report
