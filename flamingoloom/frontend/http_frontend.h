// The HTTP server of an instance towards callers and operators.
//
//   auto frontend = HttpFrontend::Start(settings, handler);
//   ...
//   (*frontend)->BeginShutdown();              // on SIGTERM
//   (*frontend)->WaitUntilIdle(seconds(30));
//   frontend->reset();
//
// Checks each input, asks the handler and answers with complete JSON
// documents; docs/design.md, section 9.1 lists paths, status codes and errors.
#pragma once

#include <memory>
#include <string>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/frontend/frontend_handler.h"
#include "flamingoloom/frontend/settings.h"

namespace flamingoloom::frontend {

// Thread-safe. The destructor waits for the requests in progress, which end
// at the latest after their own wait plus FrontendSettings::mHandlerTimeout.
class HttpFrontend
{
public:
  // Fails when aSettings.mListen is no numeric address or cannot be bound.
  static base::Expected<std::unique_ptr<HttpFrontend>> Start(
    const FrontendSettings& aSettings,
    FrontendHandler aHandler);

  ~HttpFrontend();
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  // "ip:port" that is served, with the port that was bound.
  const std::string& Address() const;

  // From now on /readyz answers 503 and new requests under /v1 are refused
  // with 503 and the code "leaving". Requests in progress go on.
  void BeginShutdown();

  // Whether no request is in progress and all answers have been handed to the
  // network, at the latest after aTimeout.
  bool WaitUntilIdle(base::Duration aTimeout);

private:
  class Impl;

  explicit HttpFrontend(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> mImpl;
};

} // namespace flamingoloom::frontend
