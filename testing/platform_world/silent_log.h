// An event log that discards all events.
#pragma once

#include "flamingoloom/node/ports.h"

namespace flamingoloom::testing::platform_world {

class SilentLog : public node::EventLog
{
public:
  void Write(const char*, const Fields&) override {}
};

} // namespace flamingoloom::testing::platform_world
