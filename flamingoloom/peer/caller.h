// Calls from this instance to the others.
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
#include "flamingoloom/peer/link_table.h"
#include "flamingoloom/peer/settings.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::peer::internal {

// One call without the types of its message.
struct OutgoingCall
{
  struct Outcome
  {
    // The error that ended the call; none when there is a value.
    std::optional<base::Error> mError;
    // The answer did not decode.
    bool mUndecodable = false;
  };

  platform::PeerAddress mPeer;
  std::string mStep;
  base::Duration mTimeout{};
  // Sends the message and keeps the value of the answer for mFinish.
  std::function<kj::Promise<Outcome>(wire::Instance::Client&)> mSend;
  // Called exactly once. Delivers the kept value when there is no error.
  std::function<void(std::optional<base::Error>)> mFinish;
};

// Reads the value or the failure of an answer.
template <class T, class Response>
OutgoingCall::Outcome ReadAnswer(Response& aResponse, std::optional<T>& aValue)
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

// Builds the call whose request message is made by aMethod, a member function
// of the generated client, and that gives its answer to aDone on any thread.
template <class T, class Method, class Value>
OutgoingCall MakeCall(Method aMethod, Value aValue, platform::Done<T> aDone)
{
  OutgoingCall call;
  auto value = std::make_shared<std::optional<T>>();
  call.mSend = [aMethod, aValue, value](wire::Instance::Client& aRemote) {
    auto request = (aRemote.*aMethod)(nullptr);
    Encode(aValue, request);
    return request.send().then(
      [value](auto&& aResponse) { return ReadAnswer(aResponse, *value); });
  };
  call.mFinish = [value, aDone](std::optional<base::Error> aError) {
    aDone(aError ? base::Expected<T>(tl::unexpected(*aError))
                 : base::Expected<T>(std::move(**value)));
  };
  return call;
}

// Used on the event loop's thread only. The destructor ends the calls in
// progress.
class Caller : private kj::TaskSet::ErrorHandler
{
public:
  Caller(kj::Network& aNetwork,
         kj::Timer& aTimer,
         const PeerSettings& aSettings,
         CounterTable& aCounters);

  void Start(OutgoingCall aCall);

private:
  class Progress;

  void Run(std::shared_ptr<Progress> aProgress, kj::Promise<void> aReady);
  void Finish(const OutgoingCall& aCall, std::optional<base::Error> aError);
  void taskFailed(kj::Exception&& aException) override;

  kj::Timer& mTimer;
  const PeerSettings& mSettings;
  CounterTable& mCounters;
  LinkTable mLinks;
  std::size_t mCalls = 0;
  // Ends before the links, which the calls refer to.
  kj::TaskSet mTasks;
};

} // namespace flamingoloom::peer::internal
