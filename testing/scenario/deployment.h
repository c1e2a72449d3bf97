// Deployment in which scenarios run: data centres "a" and "b" in region "north"
// and "c" in region "south". Each of them has two instances and four backend
// servers with eight slots and eight accelerators.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "flamingoloom/config/configuration.h"
#include "testing/fakes/fake_server.h"

namespace flamingoloom::testing::scenario {

// Returns a configuration with the accounts "paper" and "lustre" and with job
// kinds that cover combinations of idempotent, durable, gang and preemptible.
config::Configuration StandardConfiguration();

// Returns run times by request and seed. One in three requests takes 0.1 or 5
// times the declared run time of its kind. All tasks of a request take the same
// time.
fakes::RunTime StandardRunTime(std::uint64_t aSeed);

std::vector<std::string> StandardInstances();
std::vector<std::string> StandardServers();

} // namespace flamingoloom::testing::scenario
