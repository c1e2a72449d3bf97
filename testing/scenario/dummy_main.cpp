#include "testing/fakes/dummy_instance.h"
#include "testing/fakes/fake_ports.h"
#include "testing/scenario/program.h"

using namespace flamingoloom::testing;

int main(int argc, char** argv)
{
  return scenario::RunProgram(
    argc, argv, fakes::FactoryOf<fakes::DummyInstance<fakes::FakePorts>>());
}
