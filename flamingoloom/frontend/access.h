// Checks who sent a request.
#pragma once

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/ids.h"
#include "flamingoloom/frontend/api_message.h"
#include "flamingoloom/frontend/frontend_handler.h"

namespace flamingoloom::frontend::internal {

// Takes the key from "Authorization: Bearer <key>" and asks the handler. The
// key appears in no error.
base::Expected<platform::Nothing> CheckAccess(const FrontendHandler& aHandler,
                                              const ApiRequest& aRequest,
                                              Role aRole,
                                              const base::AccountId& aAccount);

} // namespace flamingoloom::frontend::internal
