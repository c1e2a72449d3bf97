// The deployment in which scenarios run: data centres "a" and "b" in region
// "north", "c" in region "south", in each two instances and four backend
// servers with eight slots and eight accelerators.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "flamingoloom/config/configuration.h"
#include "testing/fakes/fake_server.h"

namespace flamingoloom::testing::scenario {

// Accounts "paper" and "lustre", and kinds that cover the combinations of
// idempotent, durable, gang and preemptible.
config::Configuration StandardConfiguration();

// Run times by kind and seed; one in three requests is far from its declared
// time. All tasks of a request take the same time.
fakes::RunTime StandardRunTime(std::uint64_t aSeed);

std::vector<std::string> StandardInstances();
std::vector<std::string> StandardServers();

} // namespace flamingoloom::testing::scenario
