// Authenticates the sender of a request.
#pragma once

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/ids.h"
#include "flamingoloom/frontend/api_message.h"
#include "flamingoloom/frontend/frontend_handler.h"

namespace flamingoloom::frontend::internal {

// Checks the key of the header "Authorization: Bearer <key>" with
// FrontendHandler::mAuthorize. Returns eDenied when the header is malformed.
// Errors of this function never contain the key.
base::Expected<platform::Nothing> CheckAccess(const FrontendHandler& aHandler,
                                              const ApiRequest& aRequest,
                                              Role aRole,
                                              const base::AccountId& aAccount);

} // namespace flamingoloom::frontend::internal
