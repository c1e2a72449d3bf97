#include "flamingoloom/daemon/runtime.h"

#include <utility>

#include <caf/all.hpp>

namespace flamingoloom::daemon {

// A message to the actor. It is never serialized.
struct PostedFunction
{
  std::function<void()> mFunction;
};

} // namespace flamingoloom::daemon

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingoloom::daemon::PostedFunction)

namespace flamingoloom::daemon {
namespace {

caf::behavior RunPostedFunctions(caf::event_based_actor*)
{
  return { [](const PostedFunction& aPosted) { aPosted.mFunction(); } };
}

} // namespace

class Runtime::Impl
{
public:
  explicit Impl(caf::actor_system& aSystem)
    : mSystem(aSystem)
    , mActor(aSystem.spawn(RunPostedFunctions))
    , mStart(aSystem.clock().now())
  {
  }

  caf::actor_system& mSystem;
  caf::actor mActor;
  caf::actor_clock::time_point mStart;
};

Runtime::Runtime(caf::actor_system& aSystem)
  : mImpl(std::make_unique<Impl>(aSystem))
{
}

Runtime::~Runtime()
{
  caf::anon_send_exit(mImpl->mActor, caf::exit_reason::user_shutdown);
}

void Runtime::Post(std::function<void()> aAction)
{
  caf::anon_send(mImpl->mActor, PostedFunction{ std::move(aAction) });
}

void Runtime::After(base::Duration aDelay, std::function<void()> aAction)
{
  auto& clock = mImpl->mSystem.clock();
  clock.schedule_message(
    clock.now() + aDelay,
    caf::actor_cast<caf::strong_actor_ptr>(mImpl->mActor),
    caf::make_mailbox_element(nullptr,
                              caf::make_message_id(),
                              {},
                              PostedFunction{ std::move(aAction) }));
}

base::Time Runtime::Now() const
{
  return base::Time(std::chrono::duration_cast<base::Duration>(
    mImpl->mSystem.clock().now() - mImpl->mStart));
}

void Runtime::Stop()
{
  caf::scoped_actor self(mImpl->mSystem);
  self->send_exit(mImpl->mActor, caf::exit_reason::user_shutdown);
  self->wait_for(mImpl->mActor);
}

} // namespace flamingoloom::daemon
