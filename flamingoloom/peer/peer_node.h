// Calls between the instances of a deployment, over Cap'n Proto RPC.
//
// A PeerNode serves the calls of other instances and makes calls to them:
//
//   auto node = PeerNode::Start(settings, handler, executor);
//   (*node)->RequestCredits(peer, request, [](Expected<CreditGrant> aGrant) {
//     ...
//   });
//
// A node has one thread of its own. Callbacks and handler functions do not run
// on it, but through the executor.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "flamingoloom/base/error.h"
#include "flamingoloom/peer/counters.h"
#include "flamingoloom/peer/settings.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::peer {

// Schedules an action to run later, not within the call of the executor itself.
// Must be callable from any thread and must not block.
using Executor = std::function<void(std::function<void()>)>;

// The functions that serve calls of other instances, one for each message. A
// function responds by calling its callback, from any thread, and possibly
// after the node has been destroyed. The first call of a callback counts; later
// ones are ignored. When all copies of a callback are destroyed without a call,
// the peer gets eOutcomeUnknown. For a message without a function it gets
// eUnavailable. The functions must not throw.
struct PeerHandler
{
  template <class Request, class Response>
  using Function = std::function<void(Request, platform::Done<Response>)>;

  Function<platform::CreditRequest, platform::CreditGrant> mRequestCredits;
  Function<platform::RequestNotice, platform::Nothing> mNotifyRequest;
  // Responds when the record is terminal or after the duration.
  std::function<void(platform::RequestNotice,
                     base::Duration,
                     platform::Done<platform::RequestProgress>)>
    mAwaitRequest;
  Function<platform::DataCentreNotice, platform::DataCentreStatus>
    mNotifyDataCentre;
  Function<platform::PromiseRequest, platform::Nothing> mRequestPromise;
  Function<platform::ConfigNotice, platform::Nothing> mAnnounceConfig;
  Function<platform::LeavingNotice, platform::Nothing> mAnnounceLeaving;
  // Responds with a JSON document about a topic.
  Function<std::string, std::string> mQueryStatus;
};

// Thread-safe. All calls return at once, and each callback is called exactly
// once. Errors of calls:
// - eUnavailable: the peer was not reached; the call had no effect.
// - eOutcomeUnknown: the call was sent, but no valid response arrived in time.
// - Any other code: the peer's handler returned this error.
// The destructor ends the calls in progress with one of the first two.
class PeerNode
{
public:
  // Returns eInvalid when aSettings.mListen is not a numeric address, and
  // eUnavailable when it cannot be bound.
  static base::Expected<std::unique_ptr<PeerNode>> Start(
    const PeerSettings& aSettings,
    PeerHandler aHandler,
    Executor aExecutor);

  ~PeerNode();
  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;

  // Returns the "ip:port" that the node listens on, with the actual port.
  const std::string& Address() const;

  NodeCounters Counters() const;

  void RequestCredits(const platform::PeerAddress& aPeer,
                      const platform::CreditRequest& aRequest,
                      platform::Done<platform::CreditGrant> aDone);
  void NotifyRequest(const platform::PeerAddress& aPeer,
                     const platform::RequestNotice& aNotice,
                     platform::Done<platform::Nothing> aDone);
  // Completes when the peer's record of the request is terminal or after aWait,
  // which is limited to kMaxDuration of codec.h (one day).
  void AwaitRequest(const platform::PeerAddress& aPeer,
                    const platform::RequestNotice& aNotice,
                    base::Duration aWait,
                    platform::Done<platform::RequestProgress> aDone);
  void NotifyDataCentre(const platform::PeerAddress& aPeer,
                        const platform::DataCentreNotice& aNotice,
                        platform::Done<platform::DataCentreStatus> aDone);
  void RequestPromise(const platform::PeerAddress& aPeer,
                      const platform::PromiseRequest& aRequest,
                      platform::Done<platform::Nothing> aDone);
  void AnnounceConfig(const platform::PeerAddress& aPeer,
                      const platform::ConfigNotice& aNotice,
                      platform::Done<platform::Nothing> aDone);
  void AnnounceLeaving(const platform::PeerAddress& aPeer,
                       const platform::LeavingNotice& aNotice,
                       platform::Done<platform::Nothing> aDone);
  // Completes with the peer's JSON document about aTopic.
  void QueryStatus(const platform::PeerAddress& aPeer,
                   const std::string& aTopic,
                   platform::Done<std::string> aDone);

private:
  class Impl;

  explicit PeerNode(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> mImpl;
};

} // namespace flamingoloom::peer
