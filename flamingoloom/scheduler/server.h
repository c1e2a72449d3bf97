// What the scheduler is told about a backend server, and what it tells it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/jobs/job.h"

namespace flamingoloom::scheduler {

// A backend server as its entry in the store describes it.
struct ServerInfo
{
  base::ServerId mId;
  // "IP:PORT".
  std::string mAddress;
  std::string mService;
  base::DataCentreId mDataCentre;
  std::string mRack;
  std::vector<std::string> mLabels;
  jobs::Resources mCapacity;
  bool mDraining = false;
  // While draining: the least time that is left.
  std::optional<base::Duration> mTimeLeft;
  // How much longer the server is slow after its start.
  base::Duration mWarmUpRemaining{ 0 };
  // Unix milliseconds of its start; a new value is a new life.
  std::int64_t mStartedMs = 0;

  friend bool operator==(const ServerInfo&, const ServerInfo&) = default;
};

struct RunningTask
{
  jobs::TaskAttempt mAttempt;
  std::string mCheckpoint;
  int mPercent = 0;
  // For a task with a tail target its tail in milliseconds, else the
  // thousandths of a core in use; -1 when not reported.
  std::int64_t mUsage = -1;

  friend bool operator==(const RunningTask&, const RunningTask&) = default;
};

enum class TaskEndReason
{
  eDone,
  // By the task's own fault or the server's.
  eFailed,
  eStopped,
  eLeaseExpired,
  // Another member of the gang ended.
  eGangAborted,
  // The other members of the gang did not come in time.
  eGangIncomplete,
};

struct TaskCompletion
{
  // Position in the server's list of ends; rises from 1 in each life.
  std::int64_t mNumber = 0;
  jobs::TaskAttempt mAttempt;
  TaskEndReason mEndReason = TaskEndReason::eDone;
  std::string mCheckpoint;

  friend bool operator==(const TaskCompletion&,
                         const TaskCompletion&) = default;
};

// A server's own list of what runs there and what has ended.
struct ServerReport
{
  std::int64_t mStartedMs = 0;
  std::vector<RunningTask> mRunning;
  std::vector<TaskCompletion> mCompletions;
};

struct StartCommand
{
  base::ServerId mServer;
  jobs::TaskAttempt mAttempt;
  std::string mPayload;
  std::string mCheckpoint;
  // From the advisor; empty where the queue needs none.
  std::string mTicket;
};

struct StopCommand
{
  base::ServerId mServer;
  jobs::TaskAttempt mAttempt;

  friend auto operator<=>(const StopCommand&, const StopCommand&) = default;
};

enum class StartResult
{
  eStarted,
  // Refused; the task does not run there by this order.
  eNoCapacity,
  eTooLate,
  eStaleAttempt,
  eBadTicket,
  // The server says it is unhealthy; it has done nothing.
  eUnhealthy,
  // The address belongs to another server now.
  eWrongServer,
  // A scheduler with a higher epoch has been there.
  eFenced,
  // The request was refused as malformed.
  eInvalid,
  // No answer: the order may have been carried out, or may be later.
  eUnknown,
};

const char* StartResultName(StartResult aResult);
const char* TaskEndReasonName(TaskEndReason aReason);

} // namespace flamingoloom::scheduler
