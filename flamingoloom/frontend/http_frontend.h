// The HTTP server of an instance for callers and operators.
//
//   auto frontend = HttpFrontend::Start(settings, handler);
//   ...
//   (*frontend)->BeginShutdown();              // on SIGTERM
//   (*frontend)->WaitUntilIdle(seconds(30));
//   frontend->reset();
//
// Validates each request, calls the handler and responds with a complete JSON
// document; docs/design.md, section 9.1 lists paths, status codes and errors.
#pragma once

#include <memory>
#include <string>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/frontend/frontend_handler.h"
#include "flamingoloom/frontend/settings.h"

namespace flamingoloom::frontend {

// Thread-safe. The destructor waits for the requests in progress, whose
// handlers time out after the wait of the request plus
// FrontendSettings::mHandlerTimeout.
class HttpFrontend
{
public:
  // Returns eInvalid when aSettings.mListen is not a numeric address and port,
  // and eUnavailable when it cannot be bound.
  static base::Expected<std::unique_ptr<HttpFrontend>> Start(
    const FrontendSettings& aSettings,
    FrontendHandler aHandler);

  ~HttpFrontend();
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  // The bound address as "ip:port", with the actual port.
  const std::string& Address() const;

  // Makes /readyz respond with 503, and rejects new requests under /v1 with 503
  // and the code "leaving". Requests in progress continue.
  void BeginShutdown();

  // Blocks until no request is in progress and all responses have been handed
  // to the network. Returns false when that takes longer than aTimeout.
  bool WaitUntilIdle(base::Duration aTimeout);

private:
  class Impl;

  explicit HttpFrontend(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> mImpl;
};

} // namespace flamingoloom::frontend
