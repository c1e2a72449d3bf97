// Counts the memory of the commands that are being sent to servers, so that a
// leader sends no more at once than fit into it.
//
//   CommandsInFlight commands(budget, [] { ... });
//   auto counted = commands.Count(bytes);  // kept until the command ends
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "flamingoloom/scheduler/scheduler.h"

namespace flamingoloom::node {

class CommandsInFlight
{
public:
  // Counts for one command until the last copy is destroyed.
  using Counted = std::shared_ptr<const void>;

  // aOnEnded is called when a command has ended. It may be called after this
  // object was destroyed.
  CommandsInFlight(scheduler::CommandBudget aBudget,
                   std::function<void()> aOnEnded);

  // What is left of the budget.
  scheduler::CommandBudget Left() const;
  Counted Count(std::int64_t aBytes);

private:
  struct State
  {
    std::int64_t mBytes = 0;
    std::function<void()> mOnEnded;
  };

  const scheduler::CommandBudget mBudget;
  const std::shared_ptr<State> mState;
};

} // namespace flamingoloom::node
