// Serves the interface Instance of instance.capnp through a PeerHandler.
#pragma once

#include <memory>

#include "flamingoloom/peer/counter_table.h"
#include "flamingoloom/peer/instance.capnp.h"
#include "flamingoloom/peer/peer_node.h"
#include "flamingoloom/peer/reply.h"

namespace flamingoloom::peer::internal {

// Used on the event loop's thread only; the handler's functions are run by
// the executor.
class InstanceServer final : public wire::Instance::Server
{
public:
  InstanceServer(std::shared_ptr<const PeerHandler> aHandler,
                 Executor aExecutor,
                 ReplyTable& aReplies,
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
  // Decodes the call, has aInvoke(handler, request, done) run by the executor
  // and sends what it answers.
  template <class T, class Context, class Invoke>
  kj::Promise<void> Serve(Context aContext, Invoke aInvoke);

  // Serves a message whose handler function takes the request alone.
  template <class T, class Context, class Function>
  kj::Promise<void> ServeSimple(Context aContext,
                                Function PeerHandler::*aFunction);

  void CountFailure();
  void CountUndecodable();

  std::shared_ptr<const PeerHandler> mHandler;
  Executor mExecutor;
  ReplyTable& mReplies;
  CounterTable& mCounters;
};

} // namespace flamingoloom::peer::internal
