// Finds the function of the HTTP interface for a request.
#pragma once

#include <functional>
#include <string_view>

#include "flamingoloom/frontend/api_message.h"
#include "flamingoloom/frontend/caller_api.h"
#include "flamingoloom/frontend/frontend_handler.h"
#include "flamingoloom/frontend/operator_api.h"
#include "flamingoloom/frontend/settings.h"

namespace flamingoloom::frontend::internal {

// Thread-safe. The references and aIsLeaving outlive this.
class Router
{
public:
  Router(const FrontendSettings& aSettings,
         const FrontendHandler& aHandler,
         std::function<bool()> aIsLeaving);

  ApiReply Answer(const ApiRequest& aRequest) const;

private:
  ApiReply AnswerRequests(const ApiRequest& aRequest,
                          std::string_view aRest) const;
  ApiReply AnswerDataCentres(const ApiRequest& aRequest,
                             std::string_view aRest) const;
  ApiReply AnswerConfig(const ApiRequest& aRequest) const;
  ApiReply Ready() const;

  const FrontendHandler& mHandler;
  const std::function<bool()> mIsLeaving;
  CallerApi mCallers;
  OperatorApi mOperators;
};

// Whether requests to the path are part of the work of an instance, which is
// refused during shutdown, and not of its supervision.
bool IsWork(std::string_view aPath);

} // namespace flamingoloom::frontend::internal
