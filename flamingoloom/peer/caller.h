// Makes calls from this instance to other instances.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/timer.h>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/peer/codec.h"
#include "flamingoloom/peer/counter_table.h"
#include "flamingoloom/peer/peer_connection_table.h"
#include "flamingoloom/peer/settings.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::peer::internal {

// One call, independent of the types of its request and response.
struct OutgoingCall
{
  struct Outcome
  {
    // The error that ended the call; empty when there is a value.
    std::optional<base::Error> mError;
    // The response could not be decoded.
    bool mUndecodable = false;
  };

  platform::PeerAddress mPeer;
  std::string mStep;
  base::Duration mTimeout{};
  // Sends the request and stores the value of the response for mFinish.
  std::function<kj::Promise<Outcome>(wire::Instance::Client&)> mSend;
  // Called exactly once. Delivers the stored value, or the error if there is
  // one.
  std::function<void(std::optional<base::Error>)> mFinish;
};

// Decodes the value or the failure of a response; stores the value in aValue.
template <class T, class Response>
OutgoingCall::Outcome ReadResponse(Response& aResponse,
                                   std::optional<T>& aValue)
{
  if (aResponse.getFailure().getCode().size() != 0) {
    return { DecodeFailure(aResponse.getFailure()), false };
  }
  base::Expected<T> value = DecodeValue(aResponse);
  if (!value) {
    base::Error error = value.error();
    error.mCode = base::ErrorCode::eOutcomeUnknown;
    return { error, true };
  }
  aValue = std::move(*value);
  return {};
}

// Returns a call with the parameters aValue. aMethod is the member function of
// the generated client that creates the request. The result is passed to aDone,
// on any thread. The caller sets the peer, step and timeout of the call.
template <class T, class Method, class Value>
OutgoingCall MakeCall(Method aMethod, Value aValue, platform::Done<T> aDone)
{
  OutgoingCall call;
  auto value = std::make_shared<std::optional<T>>();
  call.mSend = [aMethod, aValue, value](wire::Instance::Client& aRemote) {
    auto request = (aRemote.*aMethod)(nullptr);
    Encode(aValue, request);
    return request.send().then(
      [value](auto&& aResponse) { return ReadResponse(aResponse, *value); });
  };
  call.mFinish = [value, aDone](std::optional<base::Error> aError) {
    aDone(aError ? base::Expected<T>(tl::unexpected(*aError))
                 : base::Expected<T>(std::move(**value)));
  };
  return call;
}

// Must be used on the event loop's thread only. The destructor ends the calls
// in progress with an error.
class Caller : private kj::TaskSet::ErrorHandler
{
public:
  Caller(kj::Network& aNetwork,
         kj::Timer& aTimer,
         const PeerSettings& aSettings,
         CounterTable& aCounters);

  // Starts a call; its mFinish is called when the call has ended.
  void Start(OutgoingCall aCall);

private:
  class ActiveCall;

  void Run(std::shared_ptr<ActiveCall> aActive, kj::Promise<void> aReady);
  void Finish(const OutgoingCall& aCall, std::optional<base::Error> aError);
  void taskFailed(kj::Exception&& aException) override;

  kj::Timer& mTimer;
  const PeerSettings& mSettings;
  CounterTable& mCounters;
  PeerConnectionTable mConnections;
  std::size_t mCalls = 0;
  // Declared after the connections, so that the calls, which refer to them, are
  // destroyed first.
  kj::TaskSet mTasks;
};

} // namespace flamingoloom::peer::internal
