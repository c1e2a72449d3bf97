#include "review/standins/runtime.h"

#include <memory>

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

namespace review {

Runtime::Runtime(const std::string& aRecordPath)
  : mStart(std::chrono::steady_clock::now())
  , mRecord(aRecordPath)
{
}

double Runtime::NowMs() const
{
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - mStart)
    .count();
}

std::int64_t Runtime::UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

void Runtime::After(double aMs, std::function<void()> aThen)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(
    mLoop, std::chrono::microseconds(static_cast<std::int64_t>(aMs * 1000)));
  timer->async_wait([timer, then = std::move(aThen)](auto aError) {
    if (!aError) {
      then();
    }
  });
}

void Runtime::Record(const std::string& aLine)
{
  mRecord << fmt::format("{:9.3f} {}\n", NowMs() / 1000.0, aLine);
  mRecord.flush();
}

} // namespace review
