#include "flamingoloom/peer/peer_node.h"

#include <algorithm>
#include <utility>

#include "flamingoloom/peer/codec.h"
#include "flamingoloom/peer/event_loop.h"

namespace flamingoloom::peer {
namespace {

using base::Duration;
using base::Expected;
using internal::MakeCall;
using platform::Done;
using platform::Nothing;
using platform::PeerAddress;
using wire::Instance;

} // namespace

class PeerNode::Impl
{
public:
  Impl(const PeerSettings& aSettings, PeerHandler aHandler, Executor aExecutor)
    : mExecutor(aExecutor)
    , mLoop(aSettings, std::move(aHandler), std::move(aExecutor))
  {
  }

  Expected<std::string> Start() { return mLoop.Start(); }
  NodeCounters Counters() const { return mLoop.Counters(); }

  // Returns a callback that runs aDone through the executor.
  template <class T>
  Done<T> ViaExecutor(Done<T> aDone) const
  {
    return [executor = mExecutor, done = std::move(aDone)](Expected<T> aValue) {
      executor([done, value = std::move(aValue)]() { done(value); });
    };
  }

  template <class T, class Method, class Value>
  void Call(const PeerAddress& aPeer,
            const char* aStep,
            Method aMethod,
            Value aValue,
            Done<T> aDone,
            Duration aWait = {})
  {
    internal::OutgoingCall call =
      MakeCall<T>(aMethod, std::move(aValue), ViaExecutor(std::move(aDone)));
    call.mPeer = aPeer;
    call.mStep = aStep;
    call.mTimeout = mLoop.Settings().mCallTimeout + aWait;
    mLoop.Call(std::move(call));
  }

  std::string mAddress;

private:
  const Executor mExecutor;
  internal::EventLoop mLoop;
};

PeerNode::PeerNode(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

PeerNode::~PeerNode() = default;

Expected<std::unique_ptr<PeerNode>> PeerNode::Start(
  const PeerSettings& aSettings,
  PeerHandler aHandler,
  Executor aExecutor)
{
  auto impl = std::make_unique<Impl>(
    aSettings, std::move(aHandler), std::move(aExecutor));
  Expected<std::string> address = impl->Start();
  if (!address) {
    return tl::unexpected(address.error());
  }
  impl->mAddress = *address;
  return std::unique_ptr<PeerNode>(new PeerNode(std::move(impl)));
}

const std::string& PeerNode::Address() const
{
  return mImpl->mAddress;
}

NodeCounters PeerNode::Counters() const
{
  return mImpl->Counters();
}

void PeerNode::RequestCredits(const PeerAddress& aPeer,
                              const platform::CreditRequest& aRequest,
                              Done<platform::CreditGrant> aDone)
{
  // The response does not contain the data centre, so it is copied from the
  // request.
  Done<platform::CreditGrant> done =
    [dataCentre = aRequest.mDataCentre,
     done = std::move(aDone)](Expected<platform::CreditGrant> aGrant) {
      if (aGrant) {
        aGrant->mDataCentre = dataCentre;
      }
      done(std::move(aGrant));
    };
  mImpl->Call(aPeer,
              "request credits",
              &Instance::Client::grantCreditsRequest,
              aRequest,
              std::move(done));
}

void PeerNode::NotifyRequest(const PeerAddress& aPeer,
                             const platform::RequestNotice& aNotice,
                             Done<Nothing> aDone)
{
  mImpl->Call(aPeer,
              "notify request",
              &Instance::Client::submitRequest,
              aNotice,
              std::move(aDone));
}

void PeerNode::AwaitRequest(const PeerAddress& aPeer,
                            const platform::RequestNotice& aNotice,
                            Duration aWait,
                            Done<platform::RequestProgress> aDone)
{
  Duration wait = std::clamp(aWait, Duration::zero(), internal::kMaxDuration);
  mImpl->Call(aPeer,
              "await request",
              &Instance::Client::awaitRequestRequest,
              internal::AwaitQuery{ aNotice, wait },
              std::move(aDone),
              wait);
}

void PeerNode::NotifyDataCentre(const PeerAddress& aPeer,
                                const platform::DataCentreNotice& aNotice,
                                Done<platform::DataCentreStatus> aDone)
{
  mImpl->Call(aPeer,
              "notify data centre",
              &Instance::Client::takeOutRequest,
              aNotice,
              std::move(aDone));
}

void PeerNode::RequestPromise(const PeerAddress& aPeer,
                              const platform::PromiseRequest& aRequest,
                              Done<Nothing> aDone)
{
  mImpl->Call(aPeer,
              "request promise",
              &Instance::Client::promiseRequest,
              aRequest,
              std::move(aDone));
}

void PeerNode::AnnounceConfig(const PeerAddress& aPeer,
                              const platform::ConfigNotice& aNotice,
                              Done<Nothing> aDone)
{
  mImpl->Call(aPeer,
              "announce configuration",
              &Instance::Client::announceConfigRequest,
              aNotice,
              std::move(aDone));
}

void PeerNode::AnnounceLeaving(const PeerAddress& aPeer,
                               const platform::LeavingNotice& aNotice,
                               Done<Nothing> aDone)
{
  mImpl->Call(aPeer,
              "announce leaving",
              &Instance::Client::announceLeavingRequest,
              aNotice,
              std::move(aDone));
}

void PeerNode::QueryStatus(const PeerAddress& aPeer,
                           const std::string& aTopic,
                           Done<std::string> aDone)
{
  Done<internal::StatusText> done =
    [done = std::move(aDone)](Expected<internal::StatusText> aText) {
      done(std::move(aText).map(
        [](internal::StatusText&& aJson) { return std::move(aJson.mJson); }));
    };
  mImpl->Call(aPeer,
              "query status",
              &Instance::Client::statusRequest,
              internal::StatusQuery{ aTopic },
              std::move(done));
}

} // namespace flamingoloom::peer
