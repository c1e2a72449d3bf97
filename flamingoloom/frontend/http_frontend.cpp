#include "flamingoloom/frontend/http_frontend.h"

#include <utility>

#include "flamingoloom/frontend/admission.h"
#include "flamingoloom/frontend/http_server.h"
#include "flamingoloom/frontend/router.h"

namespace flamingoloom::frontend {

class HttpFrontend::Impl
{
public:
  Impl(const FrontendSettings& aSettings, FrontendHandler aHandler)
    : mSettings(aSettings)
    , mHandler(std::move(aHandler))
    , mRouter(mSettings,
              mHandler,
              [this]() { return mAdmission.IsShuttingDown(); })
    , mServer(mSettings,
              mAdmission,
              [this](const internal::ApiRequest& aRequest) {
                return mRouter.Handle(aRequest);
              })
  {
  }

  base::Expected<int> Start() { return mServer.Start(); }

  const FrontendSettings mSettings;
  const FrontendHandler mHandler;
  internal::Admission mAdmission;
  std::string mAddress;

private:
  const internal::Router mRouter;
  internal::HttpServer mServer;
};

HttpFrontend::HttpFrontend(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

HttpFrontend::~HttpFrontend() = default;

base::Expected<std::unique_ptr<HttpFrontend>> HttpFrontend::Start(
  const FrontendSettings& aSettings,
  FrontendHandler aHandler)
{
  auto impl = std::make_unique<Impl>(aSettings, std::move(aHandler));
  base::Expected<int> port = impl->Start();
  if (!port) {
    return tl::unexpected<base::Error>(port.error());
  }
  const std::string& listen = aSettings.mListen;
  impl->mAddress =
    listen.substr(0, listen.rfind(':') + 1) + std::to_string(*port);
  return std::unique_ptr<HttpFrontend>(new HttpFrontend(std::move(impl)));
}

const std::string& HttpFrontend::Address() const
{
  return mImpl->mAddress;
}

void HttpFrontend::BeginShutdown()
{
  mImpl->mAdmission.BeginShutdown();
}

bool HttpFrontend::WaitUntilIdle(base::Duration aTimeout)
{
  return mImpl->mAdmission.WaitUntilIdle(aTimeout);
}

} // namespace flamingoloom::frontend
