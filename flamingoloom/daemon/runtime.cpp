#include "flamingoloom/daemon/runtime.h"

#include <utility>

#include <caf/all.hpp>

namespace flamingoloom::daemon {

// A message of the actor. Never leaves the process.
struct Action
{
  std::function<void()> mRun;
};

} // namespace flamingoloom::daemon

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(flamingoloom::daemon::Action)

namespace flamingoloom::daemon {
namespace {

caf::behavior RunActions(caf::event_based_actor*)
{
  return { [](const Action& aAction) { aAction.mRun(); } };
}

} // namespace

class Runtime::Impl
{
public:
  explicit Impl(caf::actor_system& aSystem)
    : mSystem(aSystem)
    , mActor(aSystem.spawn(RunActions))
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
  caf::anon_send(mImpl->mActor, Action{ std::move(aAction) });
}

void Runtime::After(base::Duration aWait, std::function<void()> aAction)
{
  auto& clock = mImpl->mSystem.clock();
  clock.schedule_message(
    clock.now() + aWait,
    caf::actor_cast<caf::strong_actor_ptr>(mImpl->mActor),
    caf::make_mailbox_element(
      nullptr, caf::make_message_id(), {}, Action{ std::move(aAction) }));
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
