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

tl::unexpected<base::Error> Refuse(ErrorCode aCode,
                                   std::string aStep,
                                   std::string aMessage)
{
  return base::MakeError(
    aCode, std::move(aStep), "backend server", std::move(aMessage));
}

// The payload as an object; empty when it is none.
nlohmann::json PayloadObject(const std::string& aPayload)
{
  auto json = nlohmann::json::parse(aPayload, nullptr, false);
  return json.is_object() ? json : nlohmann::json::object();
}

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
    return Refuse(ErrorCode::eStaleEpoch,
                  "fence",
                  "epoch " + std::to_string(epoch.Value()) + " was seen");
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
    return Refuse(ErrorCode::eInvalid, step, "the attempt id is empty");
  }
  if (mTasks.contains(aStart.mAttempt)) {
    return Refuse(ErrorCode::eDuplicate, step, "the attempt id was used");
  }
  Task task{ aStart };
  if (task.mStart.mDataCentre.IsEmpty()) {
    task.mStart.mDataCentre = mOptions.mDataCentre;
  }
  const base::Epoch seen = mEpochs[task.mStart.mDataCentre];
  if (aStart.mEpoch < seen) {
    return Refuse(ErrorCode::eStaleEpoch,
                  step,
                  "epoch " + std::to_string(seen.Value()) + " was seen");
  }
  if (mLeaving) {
    return Refuse(ErrorCode::eShuttingDown, step, "the server is leaving");
  }
  for (int index : aStart.mAccelerators) {
    if (index < 0 || index >= mOptions.mAccelerators) {
      return Refuse(ErrorCode::eInvalid, step, "no such accelerator");
    }
  }
  const Usage usage = CurrentUsage();
  if (usage.mSlots + aStart.mSlots > mOptions.mSlots ||
      std::any_of(
        aStart.mAccelerators.begin(),
        aStart.mAccelerators.end(),
        [&](int aIndex) { return usage.mAccelerators.contains(aIndex); })) {
    return Refuse(ErrorCode::eBusy, step, "no free place");
  }
  mEpochs[task.mStart.mDataCentre] = aStart.mEpoch;
  Task& stored = mTasks[aStart.mAttempt] = std::move(task);
  mActive.insert(aStart.mAttempt);
  if (aStart.mGang.empty()) {
    Run(aNow, stored);
  } else {
    stored.mState = TaskState::ePrepared;
    stored.mUntil = aNow + aStart.mLease;
  }
  return Status(aStart.mAttempt);
}

base::Expected<TaskStatus> TaskTable::Act(base::Time aNow,
                                          const base::AttemptId& aAttempt,
                                          TaskAction aAction,
                                          base::Duration aLease)
{
  Advance(aNow);
  const std::string step(platform::TaskActionName(aAction));
  auto found = mTasks.find(aAttempt);
  if (found == mTasks.end()) {
    return Refuse(ErrorCode::eNotFound, step, "unknown attempt");
  }
  Task& task = found->second;
  const bool isPrepared = task.mState == TaskState::ePrepared;
  const bool isRunning = task.mState == TaskState::eRunning;
  switch (aAction) {
    case TaskAction::eCommit:
      if (isPrepared) {
        if (task.mStart.mEpoch < mEpochs[task.mStart.mDataCentre]) {
          return Refuse(ErrorCode::eStaleEpoch, step, "fenced since");
        }
        Run(aNow, task);
      } else if (task.mState == TaskState::eStopped) {
        return Refuse(ErrorCode::eConflict, step, "the place was freed");
      }
      break;
    case TaskAction::eRenew:
      if (isPrepared) {
        task.mUntil = aNow + aLease;
      }
      break;
    case TaskAction::eRelease:
      if (isPrepared) {
        End(aNow, task, TaskState::eStopped);
      }
      break;
    case TaskAction::eStop:
      if (isPrepared || isRunning) {
        End(aNow, task, TaskState::eStopped);
      }
      break;
    case TaskAction::eCheckpoint:
      if (isRunning) {
        End(aNow, task, TaskState::eCheckpointed);
      }
      break;
    case TaskAction::eThrottle:
      // Halves the speed of the remaining work.
      if (isRunning) {
        task.mUntil += task.mUntil - aNow;
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
  const std::set<base::AttemptId> active = mActive;
  for (const base::AttemptId& attempt : active) {
    Task& task = mTasks.at(attempt);
    if (task.mUntil > aNow) {
      continue;
    }
    if (task.mState == TaskState::ePrepared) {
      End(task.mUntil, task, TaskState::eStopped);
    } else {
      const auto payload = PayloadObject(task.mStart.mPayload);
      if (PayloadValue(payload, "fail", false)) {
        End(task.mUntil, task, TaskState::eFailed);
        continue;
      }
      const base::RequestId& request = task.mStart.mRequest;
      const auto bytes = PayloadValue<std::size_t>(payload, "answerBytes", 0);
      task.mAnswer = request.mAccount.Value() + "/" + request.mKey;
      task.mAnswer.resize(std::max(task.mAnswer.size(), bytes), '.');
      End(task.mUntil, task, TaskState::eFinished);
    }
  }
}

std::optional<base::Time> TaskTable::NextEvent() const
{
  std::optional<base::Time> next;
  for (const base::AttemptId& attempt : mActive) {
    const base::Time until = mTasks.at(attempt).mUntil;
    next = next ? std::min(*next, until) : until;
  }
  return next;
}

Usage TaskTable::CurrentUsage() const
{
  Usage usage;
  for (const base::AttemptId& attempt : mActive) {
    const platform::TaskStart& start = mTasks.at(attempt).mStart;
    usage.mSlots += start.mSlots;
    usage.mAccelerators.insert(start.mAccelerators.begin(),
                               start.mAccelerators.end());
  }
  return usage;
}

void TaskTable::Run(base::Time aNow, Task& aTask)
{
  aTask.mState = TaskState::eRunning;
  Record(aNow, aTask, true);
  if (mFailTasks) {
    End(aNow, aTask, TaskState::eFailed);
    return;
  }
  const auto runTime =
    PayloadValue(PayloadObject(aTask.mStart.mPayload),
                 "runMs",
                 static_cast<double>(mOptions.mRunTime.count()) / 1000);
  aTask.mUntil = aNow + std::chrono::duration_cast<base::Duration>(
                          std::chrono::duration<double, std::milli>(runTime));
  Advance(aNow);
}

void TaskTable::End(base::Time aNow, Task& aTask, TaskState aState)
{
  if (aTask.mState == TaskState::eRunning) {
    Record(aNow, aTask, false);
  }
  aTask.mState = aState;
  mActive.erase(aTask.mStart.mAttempt);
}

void TaskTable::Record(base::Time aNow, const Task& aTask, bool aIsStart)
{
  mHistory.push_back({ aIsStart,
                       aTask.mStart.mAttempt,
                       aTask.mStart.mRequest,
                       aTask.mStart.mKind,
                       aTask.mStart.mEpoch,
                       aNow });
}

} // namespace flamingoloom::standins
