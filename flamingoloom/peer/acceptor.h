// Accepts connections from other instances and serves calls on them.
#pragma once

#include <cstddef>

#include <capnp/capability.h>
#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/timer.h>

#include "flamingoloom/peer/counter_table.h"
#include "flamingoloom/peer/settings.h"
#include "flamingoloom/peer/traffic_stream.h"

namespace flamingoloom::peer::internal {

// Must be used on the event loop's thread only. The destructor closes all
// accepted connections.
class Acceptor : private kj::TaskSet::ErrorHandler
{
public:
  // Starts to accept connections. aServed serves the calls on all of them. The
  // references must outlive the acceptor.
  Acceptor(kj::Own<kj::ConnectionReceiver> aReceiver,
           kj::Timer& aTimer,
           capnp::Capability::Client aServed,
           const PeerSettings& aSettings,
           CounterTable& aCounters);

private:
  kj::Promise<void> AcceptNext();
  void Admit(kj::Own<kj::AsyncIoStream> aStream);
  void Serve(kj::Own<kj::AsyncIoStream> aStream);
  TrafficObserver MakeObserver();
  void taskFailed(kj::Exception&& aException) override;

  kj::Own<kj::ConnectionReceiver> mReceiver;
  kj::Timer& mTimer;
  capnp::Capability::Client mServed;
  const PeerSettings& mSettings;
  CounterTable& mCounters;
  std::size_t mOpenConnections = 0;
  kj::TaskSet mTasks;
};

} // namespace flamingoloom::peer::internal
