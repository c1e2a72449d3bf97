// Implementation of node::Loop on a Boost.Asio io_context. Callbacks run on the
// thread that runs the io_context. Not thread-safe.
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

  // Reads CLOCK_BOOTTIME, which keeps running while the machine is suspended.
  // With CLOCK_MONOTONIC a lease that expired during the suspension would still
  // appear valid.
  base::Time Now() const override;
  std::int64_t UnixMs() const override;
  void After(base::Duration aDelay, std::function<void()> aThen) override;

private:
  boost::asio::io_context& mContext;
};

} // namespace flamingoloom::event_loop
