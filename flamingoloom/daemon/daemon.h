// One flamingoloomd process: an instance with its servers and clients.
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
  // Binds both servers and begins to follow the platform. Errors name the
  // address that could not be bound.
  static base::Expected<std::unique_ptr<Daemon>> Start(
    const config::Settings& aSettings);

  // Stops without a hand-over; call Shutdown before for a planned stop.
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Planned stop: says that the instance is leaving, takes no new requests,
  // hands over what it owns and waits until requests in progress have ended.
  // False when they did not end within aTimeout.
  bool Shutdown(base::Duration aTimeout);

  // Bound addresses, "ip:port".
  const std::string& HttpAddress() const;
  const std::string& PeerAddress() const;

private:
  class Impl;
  explicit Daemon(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace flamingoloom::daemon
