// The standard streams of the program. Tests replace them to run commands
// in-process.
#pragma once

#include <istream>
#include <ostream>

namespace flamingoloom::cli {

struct Console
{
  std::istream& mIn;
  // Receives results only; messages and prompts go to mErr.
  std::ostream& mOut;
  std::ostream& mErr;
  // Whether mIn is a terminal, so that prompts can be answered.
  bool mIsInteractive = false;
};

} // namespace flamingoloom::cli
