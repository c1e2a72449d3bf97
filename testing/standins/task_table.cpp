#include "testing/standins/task_table.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "flamingoloom/base/digest.h"
#include "flamingoloom/platform/json_codec.h"

namespace flamingoloom::standins {
namespace {

using base::ErrorCode;
using platform::TaskAction;
using platform::TaskState;
using platform::TaskStatus;

tl::unexpected<base::Error> MakeRejection(ErrorCode aCode,
                                          std::string aStep,
                                          std::string aMessage)
{
  return base::MakeError(
    aCode, std::move(aStep), "backend server", std::move(aMessage));
}

// Parses the payload as a JSON object. Returns an empty object for any other
// payload.
nlohmann::json PayloadObject(const std::string& aPayload)
{
  auto json = nlohmann::json::parse(aPayload, nullptr, false);
  return json.is_object() ? json : nlohmann::json::object();
}

// Returns the member aName of the payload, or aDefault if it is missing or has
// another type.
template <class T>
T PayloadValue(const nlohmann::json& aPayload, const char* aName, T aDefault)
{
  auto found = aPayload.find(aName);
  if (found == aPayload.end()) {
    return aDefault;
  }
  if constexpr (std::is_same_v<T, bool>) {
    return found->is_boolean() ? found->get<T>() : aDefault;
  } else {
    return found->is_number() ? found->get<T>() : aDefault;
  }
}

} // namespace

TaskTable::TaskTable(TaskTableOptions aOptions)
  : mOptions(std::move(aOptions))
{
}

base::Expected<base::Epoch> TaskTable::Fence(
  const base::DataCentreId& aDataCentre,
  base::Epoch aEpoch)
{
  base::Epoch& epoch = mEpochs[aDataCentre];
  if (aEpoch < epoch) {
    return MakeRejection(ErrorCode::eStaleEpoch,
                         "fence",
                         "the epoch is lower than " +
                           std::to_string(epoch.Value()) +
                           ", the highest one seen");
  }
  epoch = aEpoch;
  return epoch;
}

base::Expected<TaskStatus> TaskTable::Start(base::Time aNow,
                                            const platform::TaskStart& aStart)
{
  Advance(aNow);
  const std::string step = "start task";
  if (aStart.mAttempt.IsEmpty()) {
    return MakeRejection(ErrorCode::eInvalid, step, "the attempt id is empty");
  }
  if (mTasks.contains(aStart.mAttempt)) {
    return MakeRejection(
      ErrorCode::eDuplicate, step, "the attempt id was already used");
  }
  Task task{ aStart };
  if (task.mStart.mDataCentre.IsEmpty()) {
    task.mStart.mDataCentre = mOptions.mDataCentre;
  }
  const base::Epoch highestEpoch = mEpochs[task.mStart.mDataCentre];
  if (aStart.mEpoch < highestEpoch) {
    return MakeRejection(ErrorCode::eStaleEpoch,
                         step,
                         "the epoch is lower than " +
                           std::to_string(highestEpoch.Value()) +
                           ", the highest one seen");
  }
  if (mIsDraining) {
    return MakeRejection(
      ErrorCode::eShuttingDown, step, "the server is draining");
  }
  for (int index : aStart.mAccelerators) {
    if (index < 0 || index >= mOptions.mAccelerators) {
      return MakeRejection(ErrorCode::eInvalid, step, "no such accelerator");
    }
  }
  const Usage usage = CurrentUsage();
  if (usage.mSlots + aStart.mSlots > mOptions.mSlots ||
      std::any_of(
        aStart.mAccelerators.begin(),
        aStart.mAccelerators.end(),
        [&](int aIndex) { return usage.mAccelerators.contains(aIndex); })) {
    return MakeRejection(
      ErrorCode::eBusy, step, "too few free slots or accelerators");
  }
  mEpochs[task.mStart.mDataCentre] = aStart.mEpoch;
  Task& stored = mTasks[aStart.mAttempt] = std::move(task);
  mActiveAttempts.insert(aStart.mAttempt);
  if (aStart.mGang.empty()) {
    RunTask(aNow, stored);
  } else {
    stored.mState = TaskState::ePrepared;
    stored.mDeadline = aNow + aStart.mLease;
  }
  return Status(aStart.mAttempt);
}

base::Expected<TaskStatus> TaskTable::ApplyAction(
  base::Time aNow,
  const base::AttemptId& aAttempt,
  TaskAction aAction,
  base::Duration aLease)
{
  Advance(aNow);
  const std::string step(platform::TaskActionName(aAction));
  auto found = mTasks.find(aAttempt);
  if (found == mTasks.end()) {
    return MakeRejection(ErrorCode::eNotFound, step, "unknown attempt");
  }
  Task& task = found->second;
  const bool isPrepared = task.mState == TaskState::ePrepared;
  const bool isRunning = task.mState == TaskState::eRunning;
  switch (aAction) {
    case TaskAction::eCommit:
      if (isPrepared) {
        if (task.mStart.mEpoch < mEpochs[task.mStart.mDataCentre]) {
          return MakeRejection(
            ErrorCode::eStaleEpoch, step, "a higher epoch has fenced the task");
        }
        RunTask(aNow, task);
      } else if (task.mState == TaskState::eStopped) {
        return MakeRejection(
          ErrorCode::eConflict, step, "the reservation was released");
      }
      break;
    case TaskAction::eRenew:
      if (isPrepared) {
        task.mDeadline = aNow + aLease;
      }
      break;
    case TaskAction::eRelease:
      if (isPrepared) {
        EndTask(aNow, task, TaskState::eStopped);
      }
      break;
    case TaskAction::eStop:
      if (isPrepared || isRunning) {
        EndTask(aNow, task, TaskState::eStopped);
      }
      break;
    case TaskAction::eCheckpoint:
      if (isRunning) {
        EndTask(aNow, task, TaskState::eCheckpointed);
      }
      break;
    case TaskAction::eThrottle:
      // Runs at half speed: doubles the remaining run time.
      if (isRunning) {
        task.mDeadline += task.mDeadline - aNow;
      }
      break;
  }
  return Status(aAttempt);
}

TaskStatus TaskTable::Status(const base::AttemptId& aAttempt) const
{
  auto found = mTasks.find(aAttempt);
  if (found == mTasks.end()) {
    return { .mAttempt = aAttempt };
  }
  const Task& task = found->second;
  return { .mAttempt = aAttempt,
           .mRequest = task.mStart.mRequest,
           .mState = task.mState,
           .mAnswer = task.mAnswer,
           .mAnswerBytes = task.mAnswer.size(),
           .mAnswerSha256 = base::Sha256Hex(task.mAnswer) };
}

void TaskTable::Advance(base::Time aNow)
{
  const std::set<base::AttemptId> active = mActiveAttempts;
  for (const base::AttemptId& attempt : active) {
    Task& task = mTasks.at(attempt);
    if (task.mDeadline > aNow) {
      continue;
    }
    if (task.mState == TaskState::ePrepared) {
      EndTask(task.mDeadline, task, TaskState::eStopped);
    } else {
      const auto payload = PayloadObject(task.mStart.mPayload);
      if (PayloadValue(payload, "fail", false)) {
        EndTask(task.mDeadline, task, TaskState::eFailed);
        continue;
      }
      const base::RequestId& request = task.mStart.mRequest;
      const auto bytes = PayloadValue<std::size_t>(payload, "answerBytes", 0);
      task.mAnswer = request.mAccount.Value() + "/" + request.mKey;
      task.mAnswer.resize(std::max(task.mAnswer.size(), bytes), '.');
      EndTask(task.mDeadline, task, TaskState::eFinished);
    }
  }
}

std::optional<base::Time> TaskTable::NextDeadline() const
{
  std::optional<base::Time> next;
  for (const base::AttemptId& attempt : mActiveAttempts) {
    const base::Time deadline = mTasks.at(attempt).mDeadline;
    next = next ? std::min(*next, deadline) : deadline;
  }
  return next;
}

Usage TaskTable::CurrentUsage() const
{
  Usage usage;
  for (const base::AttemptId& attempt : mActiveAttempts) {
    const platform::TaskStart& start = mTasks.at(attempt).mStart;
    usage.mSlots += start.mSlots;
    usage.mAccelerators.insert(start.mAccelerators.begin(),
                               start.mAccelerators.end());
  }
  return usage;
}

void TaskTable::RunTask(base::Time aNow, Task& aTask)
{
  aTask.mState = TaskState::eRunning;
  RecordEvent(aNow, aTask, true);
  if (mFailTasks) {
    EndTask(aNow, aTask, TaskState::eFailed);
    return;
  }
  const auto runTime =
    PayloadValue(PayloadObject(aTask.mStart.mPayload),
                 "runMs",
                 static_cast<double>(mOptions.mRunTime.count()) / 1000);
  aTask.mDeadline =
    aNow + std::chrono::duration_cast<base::Duration>(
             std::chrono::duration<double, std::milli>(runTime));
  Advance(aNow);
}

void TaskTable::EndTask(base::Time aNow, Task& aTask, TaskState aState)
{
  if (aTask.mState == TaskState::eRunning) {
    RecordEvent(aNow, aTask, false);
  }
  aTask.mState = aState;
  mActiveAttempts.erase(aTask.mStart.mAttempt);
}

void TaskTable::RecordEvent(base::Time aNow, const Task& aTask, bool aIsStart)
{
  mHistory.push_back({ aIsStart,
                       aTask.mStart.mAttempt,
                       aTask.mStart.mRequest,
                       aTask.mStart.mKind,
                       aTask.mStart.mEpoch,
                       aNow });
}

} // namespace flamingoloom::standins
