#include "flamingoloom/event_loop/asio_loop.h"

#include <ctime>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace flamingoloom::event_loop {
namespace {

std::int64_t ReadClock(clockid_t aClock)
{
  timespec time{};
  clock_gettime(aClock, &time);
  return static_cast<std::int64_t>(time.tv_sec) * 1'000'000 +
         time.tv_nsec / 1000;
}

} // namespace

base::Time AsioLoop::Now() const
{
  return base::Time(base::Duration(ReadClock(CLOCK_BOOTTIME)));
}

std::int64_t AsioLoop::UnixMs() const
{
  return ReadClock(CLOCK_REALTIME) / 1000;
}

void AsioLoop::After(base::Duration aDelay, std::function<void()> aThen)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(mContext, aDelay);
  timer->async_wait([timer, then = std::move(aThen)](const auto& aError) {
    if (!aError) {
      then();
    }
  });
}

} // namespace flamingoloom::event_loop
