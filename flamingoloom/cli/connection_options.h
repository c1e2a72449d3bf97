// Resolves the addresses of the instances and the API key from the command line
// and the environment.
#pragma once

#include <string>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/config/address.h"
#include "flamingoloom/config/settings.h"

namespace flamingoloom::cli {

// Environment variables. Addresses in kServerVariable are separated by commas.
constexpr char kServerVariable[] = "FLAMINGOLOOM_SERVER";
constexpr char kKeyVariable[] = "FLAMINGOLOOM_KEY";

// Returns the addresses in aGiven or, when it is empty, in the environment.
// Fails with eInvalid when an address is malformed or there is none.
base::Expected<std::vector<config::Address>> InstanceAddresses(
  const std::vector<std::string>& aGiven,
  const config::Environment& aEnvironment);

// Returns the key in the file or, when aKeyFile is empty, in the environment,
// without trailing white space; empty when there is none. Fails with eInvalid
// when the file cannot be read. No option takes the key itself, because other
// users of the machine can read the command lines of processes.
base::Expected<std::string> ApiKey(const std::string& aKeyFile,
                                   const config::Environment& aEnvironment);

} // namespace flamingoloom::cli
