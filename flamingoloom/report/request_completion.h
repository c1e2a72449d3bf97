// How a request ended, as the burn report and the metrics count it.
// Immutable values; safe to copy between threads.
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
  // Finished within the kind's target.
  eInTime,
  // Finished after the target.
  eLate,
  eFailed,
  eRefused,
  eUnknown,
  // By the caller; neither good nor bad.
  eCancelled,
};

// Stable names for metrics, such as "in_time".
std::string_view ResultName(Result aResult);

struct RequestCompletion
{
  base::AccountId mAccount;
  base::KindId mKind;
  Result mResult = Result::eUnknown;
  // From the arrival at the entry instance to the answer.
  base::Duration mTook{};

  friend bool operator==(const RequestCompletion&,
                         const RequestCompletion&) = default;
};

// Nothing when the request has not ended (pending), or when the answer is an
// error in the caller's input (eConflict, eInvalid). A kind without a target
// is in time when it finishes.
std::optional<Result> ResultOf(
  const base::Expected<control::CallerAnswer>& aAnswer,
  base::Duration aTook,
  base::Duration aTarget);

} // namespace flamingoloom::report
