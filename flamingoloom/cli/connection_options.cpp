#include "flamingoloom/cli/connection_options.h"

#include <sstream>

#include <fmt/format.h>

#include "flamingoloom/cli/files.h"

namespace flamingoloom::cli {
namespace {

using base::ErrorCode;
using base::Expected;

std::vector<std::string> Split(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

} // namespace

Expected<std::vector<config::Address>> InstanceAddresses(
  const std::vector<std::string>& aGiven,
  const config::Environment& aEnvironment)
{
  auto texts = aGiven;
  if (texts.empty()) {
    texts = Split(aEnvironment(kServerVariable).value_or(""));
  }
  std::vector<config::Address> servers;
  for (const auto& text : texts) {
    auto address = config::ParseAddress(text);
    if (!address) {
      address.error().mPeer = text;
      address.error().mField = "--server";
      return tl::unexpected(address.error());
    }
    servers.push_back(*address);
  }
  if (servers.empty()) {
    return base::MakeError(ErrorCode::eInvalid,
                           "find instance",
                           "command line",
                           fmt::format("give the address of an instance with "
                                       "--server or in {}",
                                       kServerVariable),
                           "--server");
  }
  return servers;
}

Expected<std::string> ApiKey(const std::string& aKeyFile,
                             const config::Environment& aEnvironment)
{
  auto key = aKeyFile.empty()
               ? Expected<std::string>(aEnvironment(kKeyVariable).value_or(""))
               : ReadFile(aKeyFile);
  return key.map([](std::string aKey) {
    aKey.erase(aKey.find_last_not_of(" \t\r\n") + 1);
    return aKey;
  });
}

} // namespace flamingoloom::cli
