// The event loop of a PeerNode and its thread.
#pragma once

#include <future>
#include <memory>
#include <string>
#include <thread>

#include "flamingoloom/base/error.h"
#include "flamingoloom/peer/caller.h"
#include "flamingoloom/peer/counter_table.h"
#include "flamingoloom/peer/mailbox.h"
#include "flamingoloom/peer/peer_node.h"
#include "flamingoloom/peer/socket_address.h"

namespace flamingoloom::peer::internal {

// Runs an event loop on its own thread from Start until destruction. The
// destructor ends all calls in progress.
class EventLoop
{
public:
  EventLoop(PeerSettings aSettings, PeerHandler aHandler, Executor aExecutor);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Binds PeerSettings::mListen and starts the thread; returns the bound
  // address. Must be called at most once.
  base::Expected<std::string> Start();

  // Starts aCall on the loop's thread. Thread-safe; returns at once.
  void Call(OutgoingCall aCall);

  const PeerSettings& Settings() const { return mSettings; }
  NodeCounters Counters() const { return mCounters.Snapshot(); }

private:
  class Session;

  // Body of the thread. Sets aStarted to the bound address, or to the error
  // that prevented the start; aStarted must not be accessed after that.
  void Run(const SocketAddress& aListen,
           std::promise<base::Expected<std::string>>& aStarted);
  void Serve(const SocketAddress& aListen,
             std::promise<base::Expected<std::string>>& aStarted,
             bool& aIsStarted);

  const PeerSettings mSettings;
  const std::shared_ptr<const PeerHandler> mHandler;
  const Executor mExecutor;
  CounterTable mCounters;
  // Shared with the callbacks of served calls, which may outlive the event
  // loop.
  const std::shared_ptr<Mailbox> mMailbox;
  // Accessed on the loop's thread only.
  Session* mSession = nullptr;
  std::thread mThread;
};

} // namespace flamingoloom::peer::internal
