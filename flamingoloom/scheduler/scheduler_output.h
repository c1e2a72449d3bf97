// What the scheduler returns: rows to store, commands to send, jobs whose rows
// are to be removed, and decisions for the log. Plain values.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/scheduler/server.h"

namespace flamingoloom::scheduler {

// A row to write, or to remove if mValue is empty.
struct RowChange
{
  std::string mTable;
  std::string mKey;
  std::optional<std::string> mValue;
  // The version that the row must have for the change to be applied; 0 if the
  // row must not exist. Without a value the version is not checked.
  std::optional<std::int64_t> mExpectedVersion;

  friend bool operator==(const RowChange&, const RowChange&) = default;
};

// Rows to store in one transaction, the most urgent ones of those that wait.
// They carry no conditions of their own: the leader must ensure that a batch
// takes effect only once, and directly after the one before it.
struct Batch
{
  std::vector<RowChange> mRows;
  // Number of the last change that is stored, with all changes before it, once
  // this batch is stored.
  std::uint64_t mLastChangeNumber = 0;
};

struct TaskCommands
{
  std::vector<StartCommand> mStarts;
  std::vector<StopCommand> mStops;
};

// The memory that commands may take until they are answered, in bytes.
struct CommandBudget
{
  std::int64_t mBytes = std::numeric_limits<std::int64_t>::max();
  // The part of it that only starts of priority 0 may use, and stops half of.
  std::int64_t mReservedBytes = 0;

  friend bool operator==(const CommandBudget&, const CommandBudget&) = default;
};

// Upper estimates of the memory of a command that is being sent.
std::int64_t CommandMemory(const StartCommand& aStart);
inline constexpr std::int64_t kStopCommandMemory = 4096;

// A final job that is no longer kept, with the keys of its rows to delete.
struct ExpiredJob
{
  std::string mJob;
  // The job has a cancellation marker in the store.
  bool mCancelled = false;
  std::vector<std::string> mStepKeys;
};

// A decision of the scheduler, for the log.
struct Decision
{
  const char* mEvent;
  std::string mJob;
  std::vector<std::pair<const char*, std::string>> mFields;
};

} // namespace flamingoloom::scheduler
