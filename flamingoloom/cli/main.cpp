#include <unistd.h>

#include <iostream>

#include "flamingoloom/cli/command_line.h"

int main(int aArgc, char** aArgv)
{
  flamingoloom::cli::Console console{
    std::cin, std::cout, std::cerr, isatty(STDIN_FILENO) != 0
  };
  std::vector<std::string> arguments(aArgv + 1, aArgv + aArgc);
  return flamingoloom::cli::ToInt(flamingoloom::cli::Run(
    arguments, console, flamingoloom::config::ProcessEnvironment()));
}
