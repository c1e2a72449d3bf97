// Implements the interface Instance of instance.capnp with a PeerHandler.
#pragma once

#include <memory>

#include "flamingoloom/peer/counter_table.h"
#include "flamingoloom/peer/instance.capnp.h"
#include "flamingoloom/peer/peer_node.h"
#include "flamingoloom/peer/pending_reply.h"

namespace flamingoloom::peer::internal {

// Must be used on the event loop's thread only. The executor runs the functions
// of the handler.
class InstanceServer final : public wire::Instance::Server
{
public:
  InstanceServer(std::shared_ptr<const PeerHandler> aHandler,
                 Executor aExecutor,
                 PendingReplyTable& aPendingReplies,
                 CounterTable& aCounters);

protected:
  kj::Promise<void> grantCredits(GrantCreditsContext aContext) override;
  kj::Promise<void> submit(SubmitContext aContext) override;
  kj::Promise<void> awaitRequest(AwaitRequestContext aContext) override;
  kj::Promise<void> takeOut(TakeOutContext aContext) override;
  kj::Promise<void> promise(PromiseContext aContext) override;
  kj::Promise<void> announceConfig(AnnounceConfigContext aContext) override;
  kj::Promise<void> announceLeaving(AnnounceLeavingContext aContext) override;
  kj::Promise<void> status(StatusContext aContext) override;

private:
  // Decodes the request, lets the executor run aInvoke(handler, request, done),
  // and sends the result that is passed to done.
  template <class T, class Context, class Invoke>
  kj::Promise<void> Serve(Context aContext, Invoke aInvoke);

  // Serves a message whose handler function takes just the request and done.
  template <class T, class Context, class Function>
  kj::Promise<void> ServeSimple(Context aContext,
                                Function PeerHandler::*aFunction);

  void CountFailure();
  void CountUndecodable();

  std::shared_ptr<const PeerHandler> mHandler;
  Executor mExecutor;
  PendingReplyTable& mPendingReplies;
  CounterTable& mCounters;
};

} // namespace flamingoloom::peer::internal
