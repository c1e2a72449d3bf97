// The answer that a handler gives to one served call.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include <kj/async.h>

#include "flamingoloom/base/error.h"
#include "flamingoloom/peer/mailbox.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::peer::internal {

// The served calls that wait for their handler. Used on the event loop's
// thread only, except for the mailbox.
//
// Answers take the way through the mailbox, which defines what happens to an
// answer that comes after the event loop has ended. The documentation of kj's
// own cross-thread fulfillers leaves that open.
class ReplyTable
{
public:
  explicit ReplyTable(std::shared_ptr<Mailbox> aMailbox)
    : mMailbox(std::move(aMailbox))
  {
  }

  struct Entry
  {
    std::uint64_t mId = 0;
    kj::Promise<void> mAnswered;
  };

  Entry Add()
  {
    auto pair = kj::newPromiseAndFulfiller<void>();
    std::uint64_t id = ++mLastId;
    mWaiting.emplace(id, kj::mv(pair.fulfiller));
    return { id, kj::mv(pair.promise) };
  }

  // Resolves the promise of the entry. Has no effect on a call that its
  // caller has cancelled.
  void Resolve(std::uint64_t aId)
  {
    auto found = mWaiting.find(aId);
    if (found != mWaiting.end()) {
      found->second->fulfill();
      mWaiting.erase(found);
    }
  }

  const std::shared_ptr<Mailbox>& Inbox() const { return mMailbox; }

private:
  std::shared_ptr<Mailbox> mMailbox;
  std::uint64_t mLastId = 0;
  std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<void>>> mWaiting;
};

// Thread-safe. Carries the first answer to the event loop's thread; when it
// is destroyed without one, the answer is that the outcome is unknown. Has no
// effect after the event loop has ended.
template <class T>
class Reply
{
public:
  // Holds the answer once the entry of the table is resolved.
  using Slot = std::shared_ptr<std::optional<base::Expected<T>>>;

  Reply(ReplyTable& aTable, std::uint64_t aId, Slot aSlot)
    : mTable(aTable)
    , mMailbox(aTable.Inbox())
    , mId(aId)
    , mSlot(std::move(aSlot))
  {
  }
  ~Reply()
  {
    Give(base::MakeError(base::ErrorCode::eOutcomeUnknown,
                         "serve peer call",
                         "",
                         "the handler gave no answer"));
  }
  Reply(const Reply&) = delete;
  Reply& operator=(const Reply&) = delete;

  void Give(base::Expected<T> aAnswer)
  {
    if (!mGiven.exchange(true)) {
      *mSlot = std::move(aAnswer);
      Action resolve = [table = &mTable, id = mId]() { table->Resolve(id); };
      mMailbox->Post(resolve);
    }
  }

private:
  // Accessed from within the mailbox only, that is, while it exists.
  ReplyTable& mTable;
  const std::shared_ptr<Mailbox> mMailbox;
  const std::uint64_t mId;
  const Slot mSlot;
  std::atomic<bool> mGiven = false;
};

// A callback that gives its answer to the entry aId of aTable.
template <class T>
platform::Done<T> MakeDone(ReplyTable& aTable,
                           std::uint64_t aId,
                           typename Reply<T>::Slot aSlot)
{
  auto reply = std::make_shared<Reply<T>>(aTable, aId, std::move(aSlot));
  return
    [reply](base::Expected<T> aAnswer) { reply->Give(std::move(aAnswer)); };
}

} // namespace flamingoloom::peer::internal
