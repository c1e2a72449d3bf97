#include "flamingoloom/peer/instance_server.h"

#include <optional>
#include <string>
#include <utility>

#include "flamingoloom/peer/codec.h"

namespace flamingoloom::peer::internal {
namespace {

using base::Error;
using base::ErrorCode;
using base::Expected;

// Decodes parameters; returns eInvalid for a malformed message.
template <class Params>
auto DecodeOrError(Params aParams) -> decltype(Decode(aParams))
{
  decltype(Decode(aParams)) result = tl::unexpected<Error>(Error{});
  auto exception =
    kj::runCatchingExceptions([&]() { result = Decode(aParams); });
  KJ_IF_MAYBE (fault, exception) {
    return base::MakeError(ErrorCode::eInvalid,
                           "decode peer message",
                           "",
                           fault->getDescription().cStr());
  }
  return result;
}

// Calls aFunction, or passes eUnavailable to aDone when this instance does not
// serve the message.
template <class Function, class Done, class... Values>
void CallHandler(const Function& aFunction, Done aDone, Values... aValues)
{
  if (aFunction) {
    aFunction(std::move(aValues)..., std::move(aDone));
  } else {
    aDone(base::MakeError(ErrorCode::eUnavailable,
                          "serve peer call",
                          "",
                          "this instance does not serve the message"));
  }
}

} // namespace

InstanceServer::InstanceServer(std::shared_ptr<const PeerHandler> aHandler,
                               Executor aExecutor,
                               PendingReplyTable& aPendingReplies,
                               CounterTable& aCounters)
  : mHandler(std::move(aHandler))
  , mExecutor(std::move(aExecutor))
  , mPendingReplies(aPendingReplies)
  , mCounters(aCounters)
{
}

template <class T, class Context, class Invoke>
kj::Promise<void> InstanceServer::Serve(Context aContext, Invoke aInvoke)
{
  // A caller cancels its call after the timeout. The entry for its reply must
  // then be dropped, not kept until the handler responds.
  aContext.allowCancellation();
  mCounters.Update([](NodeCounters& aAll) { aAll.mServed.mCalls += 1; });
  auto request = DecodeOrError(aContext.getParams());
  if (!request) {
    CountUndecodable();
    Encode(request.error(), aContext.getResults().initFailure());
    return kj::READY_NOW;
  }
  PendingReplyTable::Entry entry = mPendingReplies.Add();
  auto handlerResult = std::make_shared<std::optional<Expected<T>>>();
  mExecutor([handler = mHandler,
             invoke = std::move(aInvoke),
             request = std::move(*request),
             done = MakeDone<T>(mPendingReplies, entry.mId, handlerResult)]() {
    invoke(*handler, request, done);
  });
  return entry.mReplied.then([this, aContext, handlerResult]() mutable {
    if (!**handlerResult) {
      CountFailure();
    }
    EncodeResponse(**handlerResult, aContext.getResults());
  });
}

template <class T, class Context, class Function>
kj::Promise<void> InstanceServer::ServeSimple(Context aContext,
                                              Function PeerHandler::*aFunction)
{
  return Serve<T>(aContext,
                  [aFunction](const PeerHandler& aHandler,
                              const auto& aRequest,
                              const platform::Done<T>& aDone) {
                    CallHandler(aHandler.*aFunction, aDone, aRequest);
                  });
}

kj::Promise<void> InstanceServer::grantCredits(GrantCreditsContext aContext)
{
  return ServeSimple<platform::CreditGrant>(aContext,
                                            &PeerHandler::mRequestCredits);
}

kj::Promise<void> InstanceServer::submit(SubmitContext aContext)
{
  return ServeSimple<platform::Nothing>(aContext, &PeerHandler::mNotifyRequest);
}

kj::Promise<void> InstanceServer::awaitRequest(AwaitRequestContext aContext)
{
  using platform::RequestProgress;
  return Serve<RequestProgress>(
    aContext,
    [](const PeerHandler& aHandler,
       const AwaitQuery& aQuery,
       const platform::Done<RequestProgress>& aDone) {
      CallHandler(aHandler.mAwaitRequest, aDone, aQuery.mNotice, aQuery.mWait);
    });
}

kj::Promise<void> InstanceServer::takeOut(TakeOutContext aContext)
{
  return ServeSimple<platform::DataCentreStatus>(
    aContext, &PeerHandler::mNotifyDataCentre);
}

kj::Promise<void> InstanceServer::promise(PromiseContext aContext)
{
  return ServeSimple<platform::Nothing>(aContext,
                                        &PeerHandler::mRequestPromise);
}

kj::Promise<void> InstanceServer::announceConfig(AnnounceConfigContext aContext)
{
  return ServeSimple<platform::Nothing>(aContext,
                                        &PeerHandler::mAnnounceConfig);
}

kj::Promise<void> InstanceServer::announceLeaving(
  AnnounceLeavingContext aContext)
{
  return ServeSimple<platform::Nothing>(aContext,
                                        &PeerHandler::mAnnounceLeaving);
}

kj::Promise<void> InstanceServer::status(StatusContext aContext)
{
  return Serve<StatusText>(
    aContext,
    [](const PeerHandler& aHandler,
       const StatusQuery& aQuery,
       const platform::Done<StatusText>& aDone) {
      platform::Done<std::string> done = [aDone](Expected<std::string> aJson) {
        aDone(std::move(aJson).map(
          [](std::string&& aText) { return StatusText{ std::move(aText) }; }));
      };
      CallHandler(aHandler.mQueryStatus, done, aQuery.mTopic);
    });
}

void InstanceServer::CountFailure()
{
  mCounters.Update([](NodeCounters& aAll) { aAll.mServed.mFailures += 1; });
}

void InstanceServer::CountUndecodable()
{
  mCounters.Update([](NodeCounters& aAll) { aAll.mUndecodable += 1; });
}

} // namespace flamingoloom::peer::internal
