// Forwards calls to a store, and answers reads beyond a number in a second with
// 429, as the platform does for all instances together. Not thread-safe.
#pragma once

#include <memory>
#include <string>

#include "flamingoloom/http/client.h"
#include "review/standins/http_server.h"
#include "review/standins/runtime.h"

namespace flamingoloom::testing::hostile_callers {

class ReadLimiter
{
public:
  // Runs on the loop of aRuntime, which must outlive the object.
  ReadLimiter(review::Runtime& aRuntime,
              std::string aStoreAddress,
              int aReadsPerSecond);

  std::string Address() const { return mServer->Address(); }

private:
  void Handle(const review::Request& aRequest,
              const review::Responder& aRespond);
  // Counts a read. Returns whether it is within the limit.
  bool MayRead();

  review::Runtime& mRuntime;
  const std::string mStoreAddress;
  const int mReadsPerSecond;
  http::Client mClient;
  std::shared_ptr<review::HttpServer> mServer;
  double mSecondStartMs = 0;
  int mReadsThisSecond = 0;
};

} // namespace flamingoloom::testing::hostile_callers
