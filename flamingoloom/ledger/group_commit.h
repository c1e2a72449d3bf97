// Combines small transactions that arrive while another one is in flight into
// one transaction of the table service, because the service executes only
// several hundred writes per second.
//
//   GroupCommit<Ports> group(ports);
//   group.Commit(transaction, done);
//
// Each caller gets the outcome of its own transaction: a conflict in one does
// not fail the others, which are sent again without it. Not thread-safe.
#pragma once

#include <algorithm>
#include <deque>
#include <iterator>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/platform/ports.h"

namespace flamingoloom::ledger {

template <platform::Ports P>
class GroupCommit
{
public:
  explicit GroupCommit(P& aPorts)
    : mPorts(aPorts)
  {
  }

  // Commits aTransaction atomically. The outcome is that of the table service;
  // eOutcomeUnknown applies to all transactions of the same group.
  void Commit(platform::Transaction aTransaction,
              platform::Done<platform::TransactionResult> aDone)
  {
    mQueue.push_back({ std::move(aTransaction), std::move(aDone) });
    Flush();
  }

  // Returns the number of transactions sent to the table service so far.
  std::uint64_t Sent() const { return mSent; }

private:
  struct Entry
  {
    platform::Transaction mTransaction;
    platform::Done<platform::TransactionResult> mDone;
  };
  using Group = std::vector<Entry>;

  static constexpr std::size_t kMaxRowsPerGroup = 128;

  // Removes entries from the front of the queue, up to the first whose rows
  // overlap with those of an earlier entry.
  Group TakeGroup()
  {
    Group group;
    std::set<std::string> rows;
    while (!mQueue.empty() && rows.size() < kMaxRowsPerGroup) {
      const platform::Transaction& next = mQueue.front().mTransaction;
      bool overlaps = std::any_of(
        next.mWrites.begin(), next.mWrites.end(), [&](const auto& aWrite) {
          return rows.contains(aWrite.mKey);
        });
      if (overlaps) {
        break;
      }
      for (const platform::Write& write : next.mWrites) {
        rows.insert(write.mKey);
      }
      group.push_back(std::move(mQueue.front()));
      mQueue.pop_front();
    }
    return group;
  }

  void Flush()
  {
    if (mInFlight || mQueue.empty()) {
      return;
    }
    mInFlight = true;
    ++mSent;
    auto group = std::make_shared<Group>(TakeGroup());
    platform::Transaction combined;
    for (const Entry& entry : *group) {
      const auto& writes = entry.mTransaction.mWrites;
      const auto& checks = entry.mTransaction.mChecks;
      combined.mWrites.insert(
        combined.mWrites.end(), writes.begin(), writes.end());
      combined.mChecks.insert(
        combined.mChecks.end(), checks.begin(), checks.end());
    }
    mPorts.Commit(std::move(combined), [this, group](const auto& aOutcome) {
      mInFlight = false;
      Distribute(*group, aOutcome);
      Flush();
    });
  }

  void Distribute(Group& aGroup,
                  const base::Expected<platform::TransactionResult>& aOutcome)
  {
    Group retries;
    for (Entry& entry : aGroup) {
      if (!aOutcome) {
        entry.mDone(aOutcome);
        continue;
      }
      platform::TransactionResult result =
        ResultOf(entry.mTransaction, *aOutcome);
      if (!aOutcome->Committed() && result.Committed()) {
        retries.push_back(std::move(entry));
        continue;
      }
      entry.mDone(std::move(result));
    }
    mQueue.insert(mQueue.begin(),
                  std::make_move_iterator(retries.begin()),
                  std::make_move_iterator(retries.end()));
  }

  // Returns the part of a group's result that concerns the rows of
  // aTransaction.
  static platform::TransactionResult ResultOf(
    const platform::Transaction& aTransaction,
    const platform::TransactionResult& aCombined)
  {
    auto isOwn = [&](const platform::RowVersion& aRow) {
      auto names = [&](const auto& aEntry) { return aEntry.mKey == aRow.mKey; };
      return std::any_of(aTransaction.mWrites.begin(),
                         aTransaction.mWrites.end(),
                         names) ||
             std::any_of(
               aTransaction.mChecks.begin(), aTransaction.mChecks.end(), names);
    };
    platform::TransactionResult result;
    std::copy_if(aCombined.mVersions.begin(),
                 aCombined.mVersions.end(),
                 std::back_inserter(result.mVersions),
                 isOwn);
    std::copy_if(aCombined.mConflicts.begin(),
                 aCombined.mConflicts.end(),
                 std::back_inserter(result.mConflicts),
                 isOwn);
    return result;
  }

  P& mPorts;
  std::deque<Entry> mQueue;
  bool mInFlight = false;
  std::uint64_t mSent = 0;
};

} // namespace flamingoloom::ledger
