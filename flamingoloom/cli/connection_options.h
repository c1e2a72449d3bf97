// Where the instances are and who is asking, from the command line and the
// environment.
#pragma once

#include <string>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/config/address.h"
#include "flamingoloom/config/settings.h"

namespace flamingoloom::cli {

// Environment variables; addresses are separated by commas.
constexpr char kServerVariable[] = "FLAMINGOLOOM_SERVER";
constexpr char kKeyVariable[] = "FLAMINGOLOOM_KEY";

// The addresses in aGiven or, when there are none, in the environment; at
// least one.
base::Expected<std::vector<config::Address>> InstanceAddresses(
  const std::vector<std::string>& aGiven,
  const config::Environment& aEnvironment);

// The key in the file or, when aKeyFile is empty, in the environment; empty
// when there is none. A key is never on the command line, because other users
// can see the command lines of processes.
base::Expected<std::string> ApiKey(const std::string& aKeyFile,
                                   const config::Environment& aEnvironment);

} // namespace flamingoloom::cli
