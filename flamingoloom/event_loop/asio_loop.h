// node::Loop on Boost.Asio: one thread, timers set for the next due moment.
#pragma once

#include <functional>

#include "flamingoloom/node/ports.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace flamingoloom::event_loop {

class AsioLoop : public node::Loop
{
public:
  explicit AsioLoop(boost::asio::io_context& aContext)
    : mContext(aContext)
  {
  }

  // The boot-time clock: it goes on while the machine is suspended, so a
  // lease cannot seem valid after a sleep.
  base::Time Now() const override;
  std::int64_t UnixMs() const override;
  void After(base::Duration aDelay, std::function<void()> aThen) override;

private:
  boost::asio::io_context& mContext;
};

} // namespace flamingoloom::event_loop
