// One flamingoloomd process: an instance with its HTTP and peer RPC servers and
// its clients for the platform, the backend servers and the peers.
//
//   auto daemon = Daemon::Start(settings);
//   ... until SIGTERM:
//   (*daemon)->Shutdown();
#pragma once

#include <memory>
#include <string>

#include "flamingoloom/base/error.h"
#include "flamingoloom/config/settings.h"

namespace flamingoloom::daemon {

class Daemon
{
public:
  // Binds the HTTP and the peer address and starts the instance. Returns
  // eInvalid for a store-down policy that is not available. An error in binding
  // names the address.
  static base::Expected<std::unique_ptr<Daemon>> Start(
    const config::Settings& aSettings);

  // Stops without handing over owned data centres. Call Shutdown() first for a
  // graceful shutdown.
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Shuts down gracefully: announces the shutdown, rejects new requests, hands
  // over the owned data centres and waits for the requests in progress. Each
  // of the two waits lasts at most aTimeout. Returns false when one of them
  // timed out.
  bool Shutdown(base::Duration aTimeout);

  // The bound addresses, as "ip:port".
  const std::string& HttpAddress() const;
  const std::string& PeerAddress() const;

private:
  class Impl;
  explicit Daemon(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace flamingoloom::daemon
