// The part of the HTTP API for callers: /v1/requests.
#pragma once

#include <string_view>

#include "flamingoloom/frontend/api_message.h"
#include "flamingoloom/frontend/frontend_handler.h"
#include "flamingoloom/frontend/settings.h"

namespace flamingoloom::frontend::internal {

// Thread-safe. Each call blocks until the handler has responded or timed out.
// The constructor arguments must outlive this object.
class CallerApi
{
public:
  CallerApi(const FrontendSettings& aSettings, const FrontendHandler& aHandler)
    : mSettings(aSettings)
    , mHandler(aHandler)
  {
  }

  // POST /v1/requests
  ApiReply Submit(const ApiRequest& aRequest) const;
  // GET /v1/requests/<account>/<key>; aName is "<account>/<key>".
  ApiReply Await(const ApiRequest& aRequest, std::string_view aName) const;
  // DELETE /v1/requests/<account>/<key>
  ApiReply Cancel(const ApiRequest& aRequest, std::string_view aName) const;

private:
  const FrontendSettings& mSettings;
  const FrontendHandler& mHandler;
};

} // namespace flamingoloom::frontend::internal
