#include "flamingoloom/peer/event_loop.h"

#include <cstdint>
#include <optional>
#include <utility>

#include <kj/async-io.h>

#include "flamingoloom/peer/acceptor.h"
#include "flamingoloom/peer/instance_server.h"

namespace flamingoloom::peer::internal {

using base::ErrorCode;
using base::Expected;

// All objects that are created, used and destroyed on the loop's thread.
class EventLoop::Session
{
public:
  Session(EventLoop& aLoop, const SocketAddress& aListen)
    : mLoop(aLoop)
    , mIo(kj::setupAsyncIo())
    , mStopped(kj::newPromiseAndFulfiller<void>())
    , mPendingReplies(aLoop.mMailbox)
    , mCaller(mIo.provider->getNetwork(),
              mIo.provider->getTimer(),
              aLoop.mSettings,
              aLoop.mCounters)
  {
    auto receiver = mIo.provider->getNetwork()
                      .getSockaddr(&aListen.mStorage, aListen.mLength)
                      ->listen();
    mPort = receiver->getPort();
    mAcceptor.emplace(
      kj::mv(receiver),
      mIo.provider->getTimer(),
      kj::heap<InstanceServer>(
        aLoop.mHandler, aLoop.mExecutor, mPendingReplies, aLoop.mCounters),
      aLoop.mSettings,
      aLoop.mCounters);
    mWake = mIo.lowLevelProvider->wrapInputFd(
      aLoop.mMailbox->Descriptor(),
      kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
        kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
  }

  unsigned Port() const { return mPort; }
  Caller& Calls() { return mCaller; }
  void Stop() { mStopped.fulfiller->fulfill(); }

  // Runs the event loop; returns after Stop.
  void Run()
  {
    auto work = ReadMailbox().eagerlyEvaluate(nullptr);
    mStopped.promise.wait(mIo.waitScope);
    // Starts the calls that were posted before the mailbox was closed, so that
    // they end together with the calls in progress.
    mLoop.mMailbox->Close();
    RunActions();
  }

private:
  kj::Promise<void> ReadMailbox()
  {
    return mWake->tryRead(&mWakeCount, sizeof(mWakeCount), sizeof(mWakeCount))
      .then([this](std::size_t) {
        RunActions();
        return ReadMailbox();
      });
  }

  // An exception of one action must not stop the reading of the mailbox.
  void RunActions()
  {
    for (const Action& action : mLoop.mMailbox->Take()) {
      kj::runCatchingExceptions(action);
    }
  }

  EventLoop& mLoop;
  kj::AsyncIoContext mIo;
  kj::PromiseFulfillerPair<void> mStopped;
  std::uint64_t mWakeCount = 0;
  unsigned mPort = 0;
  PendingReplyTable mPendingReplies;
  Caller mCaller;
  std::optional<Acceptor> mAcceptor;
  kj::Own<kj::AsyncInputStream> mWake;
};

EventLoop::EventLoop(PeerSettings aSettings,
                     PeerHandler aHandler,
                     Executor aExecutor)
  : mSettings(std::move(aSettings))
  , mHandler(std::make_shared<const PeerHandler>(std::move(aHandler)))
  , mExecutor(std::move(aExecutor))
  , mCounters(mSettings.mMaxPeers)
  , mMailbox(std::make_shared<Mailbox>())
{
}

EventLoop::~EventLoop()
{
  if (mThread.joinable()) {
    Action stop = [this]() { mSession->Stop(); };
    mMailbox->Post(stop);
    mThread.join();
  }
}

Expected<std::string> EventLoop::Start()
{
  Expected<SocketAddress> listen = ParseSocketAddress(mSettings.mListen);
  if (!listen) {
    return tl::unexpected(listen.error());
  }
  if (mMailbox->Descriptor() < 0) {
    return base::MakeError(ErrorCode::eUnavailable,
                           "start peer server",
                           "",
                           "no file descriptor is available");
  }
  std::promise<Expected<std::string>> started;
  std::future<Expected<std::string>> result = started.get_future();
  mThread =
    std::thread([this, listen = *listen, &started]() { Run(listen, started); });
  return result.get();
}

void EventLoop::Call(OutgoingCall aCall)
{
  auto call = std::make_shared<OutgoingCall>(std::move(aCall));
  Action start = [this, call]() { mSession->Calls().Start(std::move(*call)); };
  if (!mMailbox->Post(start)) {
    call->mFinish(base::Error{ ErrorCode::eUnavailable,
                               call->mStep,
                               call->mPeer.mId.Value(),
                               "this instance is shutting down",
                               "" });
  }
}

void EventLoop::Run(const SocketAddress& aListen,
                    std::promise<Expected<std::string>>& aStarted)
{
  bool isStarted = false;
  auto exception =
    kj::runCatchingExceptions([&]() { Serve(aListen, aStarted, isStarted); });
  KJ_IF_MAYBE (fault, exception) {
    if (!isStarted) {
      aStarted.set_value(base::MakeError(ErrorCode::eUnavailable,
                                         "start peer server",
                                         mSettings.mListen,
                                         fault->getDescription().cStr()));
    }
  }
}

void EventLoop::Serve(const SocketAddress& aListen,
                      std::promise<Expected<std::string>>& aStarted,
                      bool& aIsStarted)
{
  Session session(*this, aListen);
  mSession = &session;
  aIsStarted = true;
  aStarted.set_value(WithPort(mSettings.mListen, session.Port()));
  session.Run();
}

} // namespace flamingoloom::peer::internal
