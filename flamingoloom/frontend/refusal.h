// Reasons to refuse a request before its body is read.
#pragma once

#include <string>

#include <httplib.h>

#include "flamingoloom/base/error.h"

namespace flamingoloom::frontend::internal {

enum class Refusal
{
  eNone,
  // The length of the body is ambiguous, so that a part of it could be taken
  // for another request.
  eFraming,
  // A body with a method that takes none; the HTTP library would not read it.
  eBodyNotAllowed,
  // A compressed body can become far larger than the size limit.
  eEncoding,
  eRepeatedHeader,
  ePathTooLong,
  eShuttingDown,
};

// Examines the headers; never eShuttingDown.
Refusal Examine(const httplib::Request& aRequest);

base::Error RefusalError(Refusal aRefusal);

} // namespace flamingoloom::frontend::internal
