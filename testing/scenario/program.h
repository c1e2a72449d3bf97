// Command line of a scenario program for one system under test:
//
//   scenario_dummy --file take_out.scn --seed 7
//   scenario_dummy --random 1000 --seed 1 --jobs 4
//   scenario_dummy --print --seed 17      # the random script of a seed
#pragma once

#include "testing/fakes/system_under_test.h"

namespace flamingoloom::testing::scenario {

// Returns 0 when no run had a violation.
int RunProgram(int aCount, char** aArguments, fakes::InstanceFactory aFactory);

} // namespace flamingoloom::testing::scenario
