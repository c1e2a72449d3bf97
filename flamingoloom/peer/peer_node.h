// Calls between the instances of a deployment, over Cap'n Proto RPC.
//
// A PeerNode serves this instance's side and makes calls to the others:
//
//   auto node = PeerNode::Start(settings, handler, executor);
//   (*node)->RequestCredits(peer, request, [](Expected<CreditGrant> aGrant) {
//     ...
//   });
//
// A node runs one thread of its own. Callbacks and handler calls never run on
// that thread: they are handed to the executor.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "flamingoloom/base/error.h"
#include "flamingoloom/peer/counters.h"
#include "flamingoloom/peer/settings.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::peer {

// Runs an action later, outside of the call to the executor itself. Must be
// callable from any thread and must not block.
using Executor = std::function<void(std::function<void()>)>;

// What this instance answers to calls of the others, one function per message.
// Each call gets one answer through the callback, which may be called from any
// thread, and also after the node has been destroyed. When all copies of a
// callback are destroyed without an answer, the caller gets eOutcomeUnknown.
// A message without a function is answered with eUnavailable. The functions
// must not throw.
struct PeerHandler
{
  template <class Request, class Answer>
  using Function = std::function<void(Request, platform::Done<Answer>)>;

  Function<platform::CreditRequest, platform::CreditGrant> mRequestCredits;
  Function<platform::RequestNotice, platform::Nothing> mNotifyRequest;
  // Answers when the record is terminal or after the duration.
  std::function<void(platform::RequestNotice,
                     base::Duration,
                     platform::Done<platform::RequestProgress>)>
    mAwaitRequest;
  Function<platform::DataCentreNotice, platform::DataCentreStatus>
    mNotifyDataCentre;
  Function<platform::PromiseRequest, platform::Nothing> mRequestPromise;
  Function<platform::ConfigNotice, platform::Nothing> mAnnounceConfig;
  Function<platform::LeavingNotice, platform::Nothing> mAnnounceLeaving;
  // Answers one JSON document about a topic.
  Function<std::string, std::string> mQueryStatus;
};

// Thread-safe. All calls return at once, and each callback is called exactly
// once. Errors of calls:
// - eUnavailable: the peer was not reached, the call had no effect;
// - eOutcomeUnknown: the call was sent, but no valid answer arrived in time;
// - any other code: the peer's handler answered with this error.
// The destructor ends the calls in progress with one of the first two.
class PeerNode
{
public:
  // Fails when aSettings.mListen is no numeric address or cannot be bound.
  static base::Expected<std::unique_ptr<PeerNode>> Start(
    const PeerSettings& aSettings,
    PeerHandler aHandler,
    Executor aExecutor);

  ~PeerNode();
  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;

  // "ip:port" that is served, with the port that was bound.
  const std::string& Address() const;

  NodeCounters Counters() const;

  void RequestCredits(const platform::PeerAddress& aPeer,
                      const platform::CreditRequest& aRequest,
                      platform::Done<platform::CreditGrant> aDone);
  void NotifyRequest(const platform::PeerAddress& aPeer,
                     const platform::RequestNotice& aNotice,
                     platform::Done<platform::Nothing> aDone);
  // aWait is limited to kMaxDuration of codec.h, which is one day.
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
  // Answers the peer's JSON document about aTopic.
  void QueryStatus(const platform::PeerAddress& aPeer,
                   const std::string& aTopic,
                   platform::Done<std::string> aDone);

private:
  class Impl;

  explicit PeerNode(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> mImpl;
};

} // namespace flamingoloom::peer
