// Reads and prints the state and answer of a caller's request from the response
// of an instance.
#pragma once

#include "flamingoloom/cli/command.h"

namespace flamingoloom::cli {

// Returns whether aResponse holds the state of a request, rather than an error.
bool HasRequestState(const ApiResponse& aResponse);

// Returns whether aResponse is for a request that has not completed yet.
bool IsPending(const ApiResponse& aResponse);

// Verifies the length and digest that the instance declared for the payload of
// a finished request. Returns aResponse, or fails with eBadAnswer on a
// mismatch. Requires HasRequestState.
base::Expected<ApiResponse> CheckDigest(ApiResponse aResponse);

// Prints the state, the answer and the next step for the caller, and returns
// the exit code for the state. Requires HasRequestState.
ExitCode PrintRequestAnswer(Context& aContext,
                            const ApiResponse& aResponse,
                            const std::string& aAccount,
                            const std::string& aKey);

} // namespace flamingoloom::cli
