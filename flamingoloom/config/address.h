// Parses addresses of the form "ip:port", as used in settings and member lists.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "flamingoloom/base/error.h"

namespace flamingoloom::config {

struct Address
{
  // The brackets of an IPv6 address are removed.
  std::string mIp;
  std::uint16_t mPort = 0;

  friend bool operator==(const Address&, const Address&) = default;
};

// Parses "192.0.2.1:8080" or "[2001:db8::1]:8080". Returns eInvalid for any
// other text, also for host names, because processes are addressed by IP
// address only. Port 0 is accepted; a listener then binds to any free port.
// Thread-safe.
base::Expected<Address> ParseAddress(std::string_view aText);

} // namespace flamingoloom::config
