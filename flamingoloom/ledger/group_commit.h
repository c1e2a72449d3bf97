// Puts small transactions that arrive while another one is in flight into one
// transaction of the table service, which carries only several hundred writes
// a second.
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

  // All or nothing for aTransaction itself. The outcome is that of the table
  // service; eOutcomeUnknown applies to all transactions that went together.
  void Commit(platform::Transaction aTransaction,
              platform::Done<platform::TransactionResult> aDone)
  {
    mWaiting.push_back({ std::move(aTransaction), std::move(aDone) });
    Flush();
  }

  // Transactions sent to the table service so far.
  std::uint64_t Sent() const { return mSent; }

private:
  struct Entry
  {
    platform::Transaction mTransaction;
    platform::Done<platform::TransactionResult> mDone;
  };
  using Group = std::vector<Entry>;

  static constexpr std::size_t kMaxRowsPerGroup = 128;

  // Takes waiting entries whose rows do not overlap, in order.
  Group TakeGroup()
  {
    Group group;
    std::set<std::string> rows;
    while (!mWaiting.empty() && rows.size() < kMaxRowsPerGroup) {
      const platform::Transaction& next = mWaiting.front().mTransaction;
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
      group.push_back(std::move(mWaiting.front()));
      mWaiting.pop_front();
    }
    return group;
  }

  void Flush()
  {
    if (mInFlight || mWaiting.empty()) {
      return;
    }
    mInFlight = true;
    ++mSent;
    auto group = std::make_shared<Group>(TakeGroup());
    platform::Transaction together;
    for (const Entry& entry : *group) {
      const auto& writes = entry.mTransaction.mWrites;
      const auto& checks = entry.mTransaction.mChecks;
      together.mWrites.insert(
        together.mWrites.end(), writes.begin(), writes.end());
      together.mChecks.insert(
        together.mChecks.end(), checks.begin(), checks.end());
    }
    mPorts.Commit(std::move(together), [this, group](const auto& aOutcome) {
      mInFlight = false;
      Distribute(*group, aOutcome);
      Flush();
    });
  }

  void Distribute(Group& aGroup,
                  const base::Expected<platform::TransactionResult>& aOutcome)
  {
    Group again;
    for (Entry& entry : aGroup) {
      if (!aOutcome) {
        entry.mDone(aOutcome);
        continue;
      }
      platform::TransactionResult own = Own(entry.mTransaction, *aOutcome);
      if (!aOutcome->Committed() && own.Committed()) {
        again.push_back(std::move(entry));
        continue;
      }
      entry.mDone(std::move(own));
    }
    mWaiting.insert(mWaiting.begin(),
                    std::make_move_iterator(again.begin()),
                    std::make_move_iterator(again.end()));
  }

  // The part of a group's result that speaks of aTransaction's rows.
  static platform::TransactionResult Own(
    const platform::Transaction& aTransaction,
    const platform::TransactionResult& aTogether)
  {
    auto isOwn = [&](const platform::RowVersion& aRow) {
      auto names = [&](const auto& aEntry) { return aEntry.mKey == aRow.mKey; };
      return std::any_of(aTransaction.mWrites.begin(),
                         aTransaction.mWrites.end(),
                         names) ||
             std::any_of(
               aTransaction.mChecks.begin(), aTransaction.mChecks.end(), names);
    };
    platform::TransactionResult own;
    std::copy_if(aTogether.mVersions.begin(),
                 aTogether.mVersions.end(),
                 std::back_inserter(own.mVersions),
                 isOwn);
    std::copy_if(aTogether.mConflicts.begin(),
                 aTogether.mConflicts.end(),
                 std::back_inserter(own.mConflicts),
                 isOwn);
    return own;
  }

  P& mPorts;
  std::deque<Entry> mWaiting;
  bool mInFlight = false;
  std::uint64_t mSent = 0;
};

} // namespace flamingoloom::ledger
