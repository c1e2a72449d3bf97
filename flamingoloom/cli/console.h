// The streams of one run of the program, so that tests can run commands
// in-process.
#pragma once

#include <istream>
#include <ostream>

namespace flamingoloom::cli {

struct Console
{
  std::istream& mIn;
  // Results only; everything else goes to mErr.
  std::ostream& mOut;
  std::ostream& mErr;
  // Whether a person answers on mIn.
  bool mIsInteractive = false;
};

} // namespace flamingoloom::cli
