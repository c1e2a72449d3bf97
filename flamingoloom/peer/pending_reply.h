// The replies of handlers to served calls.
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

// The served calls that wait for a reply of their handler. Must be used on the
// event loop's thread only, except for the mailbox.
//
// Replies pass through the mailbox, which discards a reply that arrives after
// the event loop has ended. The documentation of kj's own cross-thread
// fulfillers does not define this case.
class PendingReplyTable
{
public:
  explicit PendingReplyTable(std::shared_ptr<Mailbox> aMailbox)
    : mMailbox(std::move(aMailbox))
  {
  }

  struct Entry
  {
    std::uint64_t mId = 0;
    kj::Promise<void> mReplied;
  };

  // Adds a call. The promise of the entry resolves after Resolve.
  Entry Add()
  {
    auto pair = kj::newPromiseAndFulfiller<void>();
    std::uint64_t id = ++mLastId;
    mPending.emplace(id, kj::mv(pair.fulfiller));
    return { id, kj::mv(pair.promise) };
  }

  // Resolves the promise of the entry with this id. Has no effect when the
  // caller has cancelled the call.
  void Resolve(std::uint64_t aId)
  {
    auto found = mPending.find(aId);
    if (found != mPending.end()) {
      found->second->fulfill();
      mPending.erase(found);
    }
  }

  const std::shared_ptr<Mailbox>& Inbox() const { return mMailbox; }

private:
  std::shared_ptr<Mailbox> mMailbox;
  std::uint64_t mLastId = 0;
  std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<void>>> mPending;
};

// Thread-safe. Passes the first result of a handler to the event loop's thread.
// When it is destroyed without a result, the result is eOutcomeUnknown. Has no
// effect after the event loop has ended.
template <class T>
class PendingReply
{
public:
  // Contains the result once the entry of the table is resolved.
  using ResultPtr = std::shared_ptr<std::optional<base::Expected<T>>>;

  PendingReply(PendingReplyTable& aTable, std::uint64_t aId, ResultPtr aResult)
    : mTable(aTable)
    , mMailbox(aTable.Inbox())
    , mId(aId)
    , mResult(std::move(aResult))
  {
  }
  ~PendingReply()
  {
    SetResult(base::MakeError(base::ErrorCode::eOutcomeUnknown,
                              "serve peer call",
                              "",
                              "the handler did not respond"));
  }
  PendingReply(const PendingReply&) = delete;
  PendingReply& operator=(const PendingReply&) = delete;

  void SetResult(base::Expected<T> aValue)
  {
    if (!mResolved.exchange(true)) {
      *mResult = std::move(aValue);
      Action resolve = [table = &mTable, id = mId]() { table->Resolve(id); };
      mMailbox->Post(resolve);
    }
  }

private:
  // Accessed only by actions of the mailbox, which run while the table exists.
  PendingReplyTable& mTable;
  const std::shared_ptr<Mailbox> mMailbox;
  const std::uint64_t mId;
  const ResultPtr mResult;
  std::atomic<bool> mResolved = false;
};

// Returns a callback that passes its result to the entry aId of aTable.
template <class T>
platform::Done<T> MakeDone(PendingReplyTable& aTable,
                           std::uint64_t aId,
                           typename PendingReply<T>::ResultPtr aResult)
{
  auto reply =
    std::make_shared<PendingReply<T>>(aTable, aId, std::move(aResult));
  return
    [reply](base::Expected<T> aValue) { reply->SetResult(std::move(aValue)); };
}

} // namespace flamingoloom::peer::internal
