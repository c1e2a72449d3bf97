// Command line of a program that runs scenarios on one system under test:
//
//   scenario_dummy --file take_out.scn --seed 7
//   scenario_dummy --random 1000 --seed 1 --jobs 4
//   scenario_dummy --print --seed 17      # prints the random script of a seed
#pragma once

#include "testing/fakes/system_under_test.h"

namespace flamingoloom::testing::scenario {

// Returns the exit code: 0 if no run had a violation, otherwise 1 or an error
// code of CLI11.
int RunProgram(int aCount, char** aArguments, fakes::InstanceFactory aFactory);

} // namespace flamingoloom::testing::scenario
