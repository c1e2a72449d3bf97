// Numeric "ip:port" addresses.
#pragma once

#include <string>
#include <string_view>

#include <netinet/in.h>
#include <sys/socket.h>

#include "flamingoloom/base/error.h"

namespace flamingoloom::peer::internal {

struct SocketAddress
{
  sockaddr_storage mStorage{};
  socklen_t mLength = 0;
};

// Accepts "127.0.0.1:7000" and "[::1]:7000". Host names are refused, so that
// no call ever waits for a name service.
base::Expected<SocketAddress> ParseSocketAddress(std::string_view aText);

// aText with its port replaced. Precondition: ParseSocketAddress accepts it.
std::string WithPort(std::string_view aText, unsigned aPort);

} // namespace flamingoloom::peer::internal
