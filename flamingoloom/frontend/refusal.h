// Reasons to reject a request before its body is read.
#pragma once

#include <string>

#include <httplib.h>

#include "flamingoloom/base/error.h"

namespace flamingoloom::frontend::internal {

enum class Refusal
{
  eNone,
  // The length of the body is ambiguous, so that a part of the body could be
  // parsed as another request (request smuggling).
  eFraming,
  // The method does not allow a body; the HTTP library would not read it.
  eBodyNotAllowed,
  // A compressed body can exceed the size limit when it is decompressed.
  eEncoding,
  eRepeatedHeader,
  ePathTooLong,
  eShuttingDown,
};

// Checks the headers and the path. Never returns eShuttingDown.
Refusal CheckHeaders(const httplib::Request& aRequest);

// Returns the error for the response. aRefusal must not be eNone.
base::Error RefusalError(Refusal aRefusal);

} // namespace flamingoloom::frontend::internal
