// Sends HTTP calls, decodes the responses on a worker thread and passes the
// results to an executor. Thread-safe.
#pragma once

#include <functional>
#include <utility>

#include "flamingoloom/platform/connection_pool.h"
#include "flamingoloom/platform/http_call.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::platform {

// Schedules a function to run later on the caller's thread, for example through
// the mailbox of an actor. It must be thread-safe, must not run the function
// before it returns, and must accept functions until the clients have been
// destroyed.
using Executor = std::function<void(std::function<void()>)>;

class HttpCaller
{
public:
  // aCounters must outlive the caller.
  HttpCaller(PoolLimits aLimits, Executor aExecutor, CallCounters& aCounters)
    : mExecutor(std::move(aExecutor))
    , mCounters(aCounters)
    , mPool(aLimits, aCounters)
  {
  }

  // Sends aCall. aDecode converts the reply, which can have any status; it runs
  // on a worker thread. aDone is called exactly once, through the executor.
  template <class T>
  void Call(
    HttpCall aCall,
    std::function<base::Expected<T>(const HttpCall&, const HttpReply&)> aDecode,
    Done<T> aDone)
  {
    // Decoding does not need the body, so it is not copied along.
    HttpCall context = aCall;
    context.mBody.clear();
    mPool.Send(std::move(aCall),
               [this,
                context = std::move(context),
                decode = std::move(aDecode),
                done = std::move(aDone)](base::Expected<HttpReply> aReply) {
                 Finish<T>(context.mAddress,
                           aReply ? decode(context, *aReply)
                                  : tl::unexpected(std::move(aReply.error())),
                           done);
               });
  }

  // Sends aCall with a JSON body, and decodes a JSON response.
  template <class T>
  void Call(HttpCall aCall, const nlohmann::json& aBody, Done<T> aDone)
  {
    Call<T>(std::move(aCall), aBody, DecodeReply<T>, std::move(aDone));
  }

  template <class T>
  void Call(
    HttpCall aCall,
    const nlohmann::json& aBody,
    std::function<base::Expected<T>(const HttpCall&, const HttpReply&)> aDecode,
    Done<T> aDone)
  {
    auto body = EncodeJson(aBody, aCall.mStep, aCall.mPeer);
    if (!body) {
      Finish<T>(aCall.mAddress, tl::unexpected(body.error()), aDone);
      return;
    }
    aCall.mBody = std::move(*body);
    Call<T>(std::move(aCall), std::move(aDecode), std::move(aDone));
  }

private:
  template <class T>
  void Finish(const std::string& aAddress,
              base::Expected<T> aResult,
              Done<T> aDone)
  {
    if (!aResult) {
      mCounters.AddFailure(aAddress, aResult.error().mCode);
    }
    mExecutor([result = std::move(aResult), done = std::move(aDone)]() mutable {
      done(std::move(result));
    });
  }

  const Executor mExecutor;
  CallCounters& mCounters;
  // The last member, since its threads use the others.
  ConnectionPool mPool;
};

} // namespace flamingoloom::platform
