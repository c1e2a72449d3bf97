#include "testing/hostile_callers/read_limiter.h"

#include <chrono>
#include <utility>

namespace flamingoloom::testing::hostile_callers {

ReadLimiter::ReadLimiter(review::Runtime& aRuntime,
                         std::string aStoreAddress,
                         int aReadsPerSecond)
  : mRuntime(aRuntime)
  , mStoreAddress(std::move(aStoreAddress))
  , mReadsPerSecond(aReadsPerSecond)
  , mClient(aRuntime.Loop(),
            {},
            [&aRuntime] {
              return base::Time(std::chrono::microseconds(
                static_cast<std::int64_t>(aRuntime.NowMs() * 1000)));
            })
  , mServer(std::make_shared<review::HttpServer>(
      aRuntime.Loop(),
      [this](const review::Request& aRequest,
             const review::Responder& aRespond) {
        Handle(aRequest, aRespond);
      }))
{
  mServer->Start();
}

bool ReadLimiter::MayRead()
{
  constexpr double kSecondMs = 1000;
  if (mRuntime.NowMs() - mSecondStartMs >= kSecondMs) {
    mSecondStartMs = mRuntime.NowMs();
    mReadsThisSecond = 0;
  }
  return ++mReadsThisSecond <= mReadsPerSecond;
}

void ReadLimiter::Handle(const review::Request& aRequest,
                         const review::Responder& aRespond)
{
  // Longer than any wait for changes that an instance asks for.
  constexpr auto kTimeout = std::chrono::seconds(10);
  if (aRequest.mMethod == "GET" && !MayRead()) {
    aRespond({ 429 });
    return;
  }
  mClient.Call(mStoreAddress,
               { aRequest.mMethod, aRequest.mTarget, {}, aRequest.mBody },
               kTimeout,
               [aRespond](base::Expected<http::Response> aResponse) {
                 aRespond(aResponse ? std::move(*aResponse)
                                    : review::Response{ 503 });
               });
}

} // namespace flamingoloom::testing::hostile_callers
