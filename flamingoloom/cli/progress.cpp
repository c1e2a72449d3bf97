#include "flamingoloom/cli/progress.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

namespace flamingoloom::cli {
namespace {

using std::chrono::seconds;

constexpr seconds kFirstMessageDelay{ 1 };
constexpr seconds kMaxMessageInterval{ 10 };

} // namespace

Progress::Progress(std::ostream& aOut, std::string aActivity)
  : mOut(aOut)
  , mActivity(std::move(aActivity))
  , mThread([this] { Run(); })
{
}

Progress::~Progress()
{
  {
    std::lock_guard lock(mMutex);
    mIsDone = true;
  }
  mChanged.notify_all();
  mThread.join();
}

// The interval doubles up to kMaxMessageInterval, so that a long wait does not
// flood the terminal.
void Progress::Run()
{
  std::unique_lock lock(mMutex);
  seconds elapsed{ 0 };
  seconds interval = kFirstMessageDelay;
  while (!mChanged.wait_for(lock, interval, [this] { return mIsDone; })) {
    elapsed += interval;
    mOut << fmt::format("{}, {} s ...\n", mActivity, elapsed.count())
         << std::flush;
    interval = std::min(2 * interval, kMaxMessageInterval);
  }
}

} // namespace flamingoloom::cli
