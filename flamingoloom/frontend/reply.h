// HTTP answers for values and errors.
#pragma once

#include <string>

#include "flamingoloom/base/error.h"
#include "flamingoloom/control/api.h"
#include "flamingoloom/frontend/api_message.h"

namespace flamingoloom::frontend::internal {

ApiReply ErrorReply(const base::Error& aError);

// A JSON document with status 200, or the error.
ApiReply JsonReply(const base::Expected<std::string>& aJson);

// The answer to a caller, or the error.
ApiReply AnswerReply(const base::Expected<control::CallerAnswer>& aAnswer);

} // namespace flamingoloom::frontend::internal
