// The result of a completed request, as counted by the burn report and the
// metrics. Plain values; safe to copy between threads.
#pragma once

#include <optional>
#include <string_view>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/config/configuration.h"
#include "flamingoloom/control/api.h"

namespace flamingoloom::report {

enum class Result
{
  // Finished within the target of its kind.
  eInTime,
  // Finished after the target of its kind.
  eLate,
  eFailed,
  eRefused,
  eUnknown,
  // Cancelled by the caller; counted as neither good nor bad.
  eCancelled,
};

// Returns the label value of the metrics, such as "in_time". These names are
// stable.
std::string_view ResultName(Result aResult);

struct RequestCompletion
{
  base::AccountId mAccount;
  base::KindId mKind;
  Result mResult = Result::eUnknown;
  // From the arrival at the receiving instance to the answer.
  base::Duration mDuration{};

  friend bool operator==(const RequestCompletion&,
                         const RequestCompletion&) = default;
};

// Returns no value when the request is pending, or when the answer is an error
// in the caller's input (eConflict, eInvalid). Without a target (aTarget is
// zero or negative), every finished request is in time.
std::optional<Result> ResultOf(
  const base::Expected<control::CallerAnswer>& aAnswer,
  base::Duration aDuration,
  base::Duration aTarget);

} // namespace flamingoloom::report
