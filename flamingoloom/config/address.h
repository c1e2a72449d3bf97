// Addresses of the form "ip:port", as settings and member lists have them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "flamingoloom/base/error.h"

namespace flamingoloom::config {

struct Address
{
  // Without the brackets of an IPv6 address.
  std::string mIp;
  std::uint16_t mPort = 0;

  friend bool operator==(const Address&, const Address&) = default;
};

// Reads "192.0.2.1:8080" or "[2001:db8::1]:8080". Host names are refused:
// processes are addressed by IP address. Port 0 stands for a free port.
// Thread-safe.
base::Expected<Address> ParseAddress(std::string_view aText);

} // namespace flamingoloom::config
