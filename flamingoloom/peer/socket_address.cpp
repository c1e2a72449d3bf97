#include "flamingoloom/peer/socket_address.h"

#include <charconv>
#include <cstdint>
#include <cstring>
#include <optional>

#include <arpa/inet.h>
#include <fmt/format.h>

namespace flamingoloom::peer::internal {
namespace {

std::optional<std::uint16_t> ParsePort(std::string_view aText)
{
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  auto [last, error] = std::from_chars(aText.data(), end, port);
  if (error != std::errc() || last != end) {
    return std::nullopt;
  }
  return port;
}

template <class Address>
SocketAddress ToSocketAddress(const Address& aAddress)
{
  SocketAddress result;
  std::memcpy(&result.mStorage, &aAddress, sizeof(aAddress));
  result.mLength = sizeof(aAddress);
  return result;
}

std::optional<SocketAddress> ParseV4(const std::string& aHost,
                                     std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  if (inet_pton(AF_INET, aHost.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return ToSocketAddress(address);
}

std::optional<SocketAddress> ParseV6(const std::string& aHost,
                                     std::uint16_t aPort)
{
  sockaddr_in6 address{};
  address.sin6_family = AF_INET6;
  address.sin6_port = htons(aPort);
  if (inet_pton(AF_INET6, aHost.c_str(), &address.sin6_addr) != 1) {
    return std::nullopt;
  }
  return ToSocketAddress(address);
}

std::optional<SocketAddress> Parse(std::string_view aText)
{
  std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::optional<std::uint16_t> port = ParsePort(aText.substr(colon + 1));
  std::string host(aText.substr(0, colon));
  if (!port) {
    return std::nullopt;
  }
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return ParseV6(host.substr(1, host.size() - 2), *port);
  }
  return ParseV4(host, *port);
}

} // namespace

base::Expected<SocketAddress> ParseSocketAddress(std::string_view aText)
{
  if (std::optional<SocketAddress> address = Parse(aText)) {
    return *address;
  }
  return base::MakeError(base::ErrorCode::eInvalid,
                         "parse address",
                         std::string(aText),
                         "not of the form ip:port");
}

std::string WithPort(std::string_view aText, unsigned aPort)
{
  return fmt::format("{}:{}", aText.substr(0, aText.rfind(':')), aPort);
}

} // namespace flamingoloom::peer::internal
