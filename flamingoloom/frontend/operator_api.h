// The part of the HTTP API for operators: configuration, data centres and
// views.
#pragma once

#include <string>
#include <string_view>

#include "flamingoloom/frontend/api_message.h"
#include "flamingoloom/frontend/frontend_handler.h"
#include "flamingoloom/frontend/settings.h"

namespace flamingoloom::frontend::internal {

// Thread-safe. Each call blocks until the handler has responded or timed out.
// The constructor arguments must outlive this object.
class OperatorApi
{
public:
  OperatorApi(const FrontendSettings& aSettings,
              const FrontendHandler& aHandler)
    : mSettings(aSettings)
    , mHandler(aHandler)
  {
  }

  // GET /v1/config
  ApiReply Config(const ApiRequest& aRequest) const;
  // PUT /v1/config
  ApiReply PutConfig(const ApiRequest& aRequest) const;
  // GET /v1/datacentres
  ApiReply DataCentres(const ApiRequest& aRequest) const;
  // POST /v1/datacentres/<dc>
  ApiReply ChangeDataCentre(const ApiRequest& aRequest,
                            std::string_view aDataCentre) const;
  // GET /v1/<topic>
  ApiReply View(const ApiRequest& aRequest, std::string_view aTopic) const;

private:
  // Checks that the query is empty and that the sender is an operator.
  base::Expected<platform::Nothing> CheckGet(const ApiRequest& aRequest) const;
  base::Expected<platform::Nothing> CheckOperator(
    const ApiRequest& aRequest) const;

  const FrontendSettings& mSettings;
  const FrontendHandler& mHandler;
};

} // namespace flamingoloom::frontend::internal
