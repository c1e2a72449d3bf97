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

// Parses addresses such as "127.0.0.1:7000" and "[::1]:7000"; returns eInvalid
// for others. Host names are rejected, so that no call waits for a name server.
base::Expected<SocketAddress> ParseSocketAddress(std::string_view aText);

// Returns aText with its port replaced by aPort. Precondition:
// ParseSocketAddress accepts aText.
std::string WithPort(std::string_view aText, unsigned aPort);

} // namespace flamingoloom::peer::internal
