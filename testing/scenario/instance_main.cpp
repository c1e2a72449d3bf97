// Runs scenarios and random schedules against control::Instance.
#include "flamingoloom/control/instance.h"
#include "testing/fakes/fake_ports.h"
#include "testing/scenario/program.h"

int main(int aCount, char** aArguments)
{
  using namespace flamingoloom;
  using Instance = control::Instance<testing::fakes::FakePorts>;
  return testing::scenario::RunProgram(
    aCount,
    aArguments,
    testing::fakes::FactoryOf<Instance>(control::InstanceOptions{}));
}
