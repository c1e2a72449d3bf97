#include "flamingoloom/config/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace flamingoloom::config {
namespace {

bool IsIp(int aFamily, const std::string& aText)
{
  in6_addr parsed{};
  return inet_pton(aFamily, aText.c_str(), &parsed) == 1;
}

bool ReadIp(std::string_view aText, std::string& aIp)
{
  if (aText.size() > 2 && aText.front() == '[' && aText.back() == ']') {
    aIp = aText.substr(1, aText.size() - 2);
    return IsIp(AF_INET6, aIp);
  }
  aIp = aText;
  return IsIp(AF_INET, aIp);
}

bool ReadPort(std::string_view aText, std::uint16_t& aPort)
{
  const char* end = aText.data() + aText.size();
  auto [next, error] = std::from_chars(aText.data(), end, aPort);
  return error == std::errc() && next == end && !aText.empty();
}

} // namespace

base::Expected<Address> ParseAddress(std::string_view aText)
{
  Address address;
  auto colon = aText.rfind(':');
  if (colon != std::string_view::npos &&
      ReadIp(aText.substr(0, colon), address.mIp) &&
      ReadPort(aText.substr(colon + 1), address.mPort)) {
    return address;
  }
  return base::MakeError(base::ErrorCode::eInvalid,
                         "read address",
                         "settings",
                         "must be an IP address and a port, such as "
                         "\"192.0.2.1:8080\"");
}

} // namespace flamingoloom::config
