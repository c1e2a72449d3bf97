// Checks that an answer of a backend server is the whole answer to the request
// and attempt that it was asked for. Thread-safe.
#pragma once

#include "flamingoloom/base/ids.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::control {

// False for an answer of another attempt or request, or one whose length or
// digest differs from what the server declared.
bool IsWholeAnswer(const platform::TaskStatus& aStatus,
                   const base::AttemptId& aAttempt,
                   const base::RequestId& aRequest);

} // namespace flamingoloom::control
