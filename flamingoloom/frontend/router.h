// Dispatches requests to the functions of the HTTP API.
#pragma once

#include <functional>
#include <string_view>

#include "flamingoloom/frontend/api_message.h"
#include "flamingoloom/frontend/caller_api.h"
#include "flamingoloom/frontend/frontend_handler.h"
#include "flamingoloom/frontend/operator_api.h"
#include "flamingoloom/frontend/settings.h"

namespace flamingoloom::frontend::internal {

// Thread-safe. aSettings, aHandler and all that aIsShuttingDown refers to must
// outlive this object.
class Router
{
public:
  Router(const FrontendSettings& aSettings,
         const FrontendHandler& aHandler,
         std::function<bool()> aIsShuttingDown);

  ApiReply Handle(const ApiRequest& aRequest) const;

private:
  ApiReply HandleRequests(const ApiRequest& aRequest,
                          std::string_view aRest) const;
  ApiReply HandleDataCentres(const ApiRequest& aRequest,
                             std::string_view aRest) const;
  ApiReply HandleConfig(const ApiRequest& aRequest) const;
  ApiReply CheckReadiness() const;

  const FrontendHandler& mHandler;
  const std::function<bool()> mIsShuttingDown;
  CallerApi mCallers;
  OperatorApi mOperators;
};

// Returns whether the path belongs to the API, whose requests are rejected
// during shutdown. Monitoring paths such as /metrics are served until the end.
bool IsApiPath(std::string_view aPath);

} // namespace flamingoloom::frontend::internal
