// The answer to a caller's request, as the instances send it.
#pragma once

#include "flamingoloom/cli/command.h"

namespace flamingoloom::cli {

// Whether aAnswer carries the state of a request, rather than an error.
bool HasRequestState(const ApiResponse& aResponse);

// True for a request that has not ended yet.
bool IsPending(const ApiResponse& aResponse);

// Fails with eBadAnswer when the payload does not have the length and the
// digest that the instance declared. Requires IsRequestAnswer.
base::Expected<ApiResponse> CheckDigest(ApiResponse aResponse);

// Prints the answer and what to do next, and returns the exit code for its
// state. Requires IsRequestAnswer.
ExitCode PrintRequestAnswer(Context& aContext,
                            const ApiResponse& aResponse,
                            const std::string& aAccount,
                            const std::string& aKey);

} // namespace flamingoloom::cli
