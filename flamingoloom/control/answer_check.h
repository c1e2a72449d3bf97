// Checks that a response of a backend server contains the complete answer of
// the expected attempt and request. Thread-safe.
#pragma once

#include "flamingoloom/base/ids.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::control {

// Returns false if the answer is of another attempt or request, or if its
// length or digest differs from what the server declared.
bool IsValidAnswer(const platform::TaskStatus& aStatus,
                   const base::AttemptId& aAttempt,
                   const base::RequestId& aRequest);

} // namespace flamingoloom::control
