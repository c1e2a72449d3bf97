// Builds the replies for values and errors.
#pragma once

#include <string>

#include "flamingoloom/base/error.h"
#include "flamingoloom/control/api.h"
#include "flamingoloom/frontend/api_message.h"

namespace flamingoloom::frontend::internal {

ApiReply ErrorReply(const base::Error& aError);

// Returns the document with status 200, or the reply for the error.
ApiReply JsonReply(const base::Expected<std::string>& aJson);

// Returns the answer to a caller with the status code of its state, or the
// reply for the error.
ApiReply AnswerReply(const base::Expected<control::CallerAnswer>& aAnswer);

} // namespace flamingoloom::frontend::internal
