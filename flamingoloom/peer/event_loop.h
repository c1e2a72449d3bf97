// The thread of a PeerNode with its event loop.
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

// Runs a thread from Start to destruction.
class EventLoop
{
public:
  EventLoop(PeerSettings aSettings, PeerHandler aHandler, Executor aExecutor);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Binds and starts the thread. Called once; returns the bound address.
  base::Expected<std::string> Start();

  // Has aCall made on the loop's thread. Thread-safe; returns at once.
  void Call(OutgoingCall aCall);

  const PeerSettings& Settings() const { return mSettings; }
  NodeCounters Counters() const { return mCounters.Snapshot(); }

private:
  class Session;

  // What the thread does. Gives the bound address or the reason for not
  // starting to aStarted, which lives until then only.
  void Run(const SocketAddress& aListen,
           std::promise<base::Expected<std::string>>& aStarted);
  void Serve(const SocketAddress& aListen,
             std::promise<base::Expected<std::string>>& aStarted,
             bool& aIsStarted);

  const PeerSettings mSettings;
  const std::shared_ptr<const PeerHandler> mHandler;
  const Executor mExecutor;
  CounterTable mCounters;
  // Shared with the callbacks of served calls, which may outlive this.
  const std::shared_ptr<Mailbox> mMailbox;
  // Set and used on the loop's thread only.
  Session* mSession = nullptr;
  std::thread mThread;
};

} // namespace flamingoloom::peer::internal
