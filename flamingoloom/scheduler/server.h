// Messages between the scheduler and backend servers, and the entry of a server
// in the store.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/jobs/job.h"

namespace flamingoloom::scheduler {

// A backend server as described by its entry in the store.
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
  // While the server drains: the minimum time until it exits.
  std::optional<base::Duration> mTimeLeft;
  // How much longer the server is slow because it is warming up after its
  // start.
  base::Duration mWarmUpRemaining{ 0 };
  // Start time in Unix milliseconds; it identifies the incarnation of the
  // server.
  std::int64_t mStartedMs = 0;

  friend bool operator==(const ServerInfo&, const ServerInfo&) = default;
};

struct RunningTask
{
  jobs::TaskAttempt mAttempt;
  std::string mCheckpoint;
  int mPercent = 0;
  // The tail latency in milliseconds for a task with a tail latency target,
  // else the CPU in use in thousandths of a core; -1 if not reported.
  std::int64_t mUsage = -1;

  friend bool operator==(const RunningTask&, const RunningTask&) = default;
};

enum class TaskEndReason
{
  eDone,
  // The task failed, through a fault of its own or of the server.
  eFailed,
  eStopped,
  eLeaseExpired,
  // Another member of the gang ended.
  eGangAborted,
  // The other members of the gang did not start in time.
  eGangIncomplete,
};

struct TaskCompletion
{
  // Position in the server's list of completions, counted from 1 in each
  // incarnation.
  std::int64_t mNumber = 0;
  jobs::TaskAttempt mAttempt;
  TaskEndReason mEndReason = TaskEndReason::eDone;
  std::string mCheckpoint;

  friend bool operator==(const TaskCompletion&,
                         const TaskCompletion&) = default;
};

// The tasks that run on a server and the completions there, as the server lists
// them.
struct ServerReport
{
  std::int64_t mStartedMs = 0;
  std::vector<RunningTask> mRunning;
  std::vector<TaskCompletion> mCompletions;
  // How much later than expected the report arrived: it may show the state of
  // that long ago.
  base::Duration mDelay{ 0 };
  // Further completions may follow those that are listed, once these are
  // acknowledged. An attempt that is not listed may be among them.
  bool mMayHaveMoreCompletions = false;
};

struct StartCommand
{
  base::ServerId mServer;
  jobs::TaskAttempt mAttempt;
  // That of the job, which all of its commands share. Never null.
  std::shared_ptr<const std::string> mPayload =
    std::make_shared<const std::string>();
  std::string mCheckpoint;
  // Issued by the advisor; empty if the queue needs none.
  std::string mTicket;
  // 0 is the most urgent priority.
  int mPriority = 0;
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
  // This and the following results up to eInvalid are rejections: this command
  // does not start the task on the server.
  eNoCapacity,
  eTooLate,
  // The server has received this or a later attempt of the task before.
  eStaleAttempt,
  eBadTicket,
  // The server reports itself as unhealthy; it has not executed the command.
  eUnhealthy,
  // The address now belongs to another server.
  eWrongServer,
  // The server has received a command with a higher epoch.
  eFenced,
  // The server rejected the request as malformed.
  eInvalid,
  // The call timed out: the command may have taken effect, or may still do so.
  eUnknown,
};

const char* StartResultName(StartResult aResult);
const char* TaskEndReasonName(TaskEndReason aReason);

} // namespace flamingoloom::scheduler
