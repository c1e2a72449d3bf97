#include "flamingoloom/node/commands_in_flight.h"

#include <utility>

namespace flamingoloom::node {

CommandsInFlight::CommandsInFlight(scheduler::CommandBudget aBudget,
                                   std::function<void()> aOnEnded)
  : mBudget(aBudget)
  , mState(std::make_shared<State>(State{ 0, std::move(aOnEnded) }))
{
}

scheduler::CommandBudget CommandsInFlight::Left() const
{
  auto left = mBudget;
  left.mBytes -= mState->mBytes;
  return left;
}

CommandsInFlight::Counted CommandsInFlight::Count(std::int64_t aBytes)
{
  mState->mBytes += aBytes;
  return { nullptr, [state = mState, aBytes](const void*) {
            state->mBytes -= aBytes;
            state->mOnEnded();
          } };
}

} // namespace flamingoloom::node
