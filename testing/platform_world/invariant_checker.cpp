#include "testing/platform_world/invariant_checker.h"

namespace flamingoloom::testing::platform_world {
namespace {

// A cancellation has to reach the leader, also across a change of leader.
constexpr auto kMaxCancelDelay = std::chrono::seconds(14);

std::string ToText(const jobs::TaskAttempt& aAttempt)
{
  return aAttempt.mTask.mJob + "." +
         std::to_string(aAttempt.mTask.mOccurrence) + "." +
         std::to_string(aAttempt.mTask.mStep) + "." +
         std::to_string(aAttempt.mTask.mIndex) + "#" +
         std::to_string(aAttempt.mAttemptNumber);
}

} // namespace

void InvariantChecker::OnCancelled(base::Time aNow, const std::string& aJob)
{
  mCancelled.emplace(aJob, aNow);
}

void InvariantChecker::OnStart(base::Time aNow,
                               const std::string& aServer,
                               const jobs::TaskAttempt& aAttempt)
{
  ++mStarts;
  mLastStarts[aAttempt.mTask.mJob] = aNow;
  const auto& name = aAttempt.mTask;
  auto& servers = mRunning[name];
  if (!servers.empty()) {
    AddViolation(ToText(aAttempt) + " runs on " + *servers.begin() + " and " +
                 aServer);
  }
  servers.insert(aServer);
  if (mAcknowledgedDone.count(name) > 0) {
    AddViolation(ToText(aAttempt) +
                 " starts after its completion was acknowledged");
  }
  const auto accepted = mAccepted.find(name.mJob);
  const auto maybeAccepted = mMaybeAccepted.find(name.mJob);
  if (accepted == mAccepted.end() && maybeAccepted == mMaybeAccepted.end()) {
    AddViolation(ToText(aAttempt) + " starts but its job was not submitted");
    return;
  }
  const auto& job =
    accepted != mAccepted.end() ? accepted->second : maybeAccepted->second;
  const auto& step = job.mSteps.at(static_cast<std::size_t>(name.mStep));
  for (const int dependency : step.mDependsOn) {
    const auto& dependencyStep =
      job.mSteps.at(static_cast<std::size_t>(dependency));
    for (int i = 0; i < dependencyStep.mTaskCount; ++i) {
      if (mDone.count({ name.mJob, name.mOccurrence, dependency, i }) == 0) {
        AddViolation(ToText(aAttempt) + " starts before step " +
                     std::to_string(dependency));
        return;
      }
    }
  }
  const auto cancelled = mCancelled.find(name.mJob);
  if (cancelled != mCancelled.end() &&
      aNow > cancelled->second + kMaxCancelDelay) {
    AddViolation(ToText(aAttempt) + " starts long after its job was cancelled");
  }
}

void InvariantChecker::OnAttemptOver(const std::string& aServer,
                                     const jobs::TaskAttempt& aAttempt)
{
  mRunning[aAttempt.mTask].erase(aServer);
}

void InvariantChecker::OnDoneAcknowledged(const jobs::TaskAttempt& aAttempt)
{
  mAcknowledgedDone.insert(aAttempt.mTask);
}

void InvariantChecker::OnDone(const jobs::TaskAttempt& aAttempt)
{
  mDone.insert(aAttempt.mTask);
}

void InvariantChecker::OnStateReported(const std::string& aJob,
                                       jobs::JobState aState)
{
  const auto job = mAccepted.find(aJob);
  if (job == mAccepted.end()) {
    return;
  }
  if (aState == jobs::JobState::eCompleted && mCompleted.insert(aJob).second) {
    const auto& steps = job->second.mSteps;
    for (std::size_t step = 0; step < steps.size(); ++step) {
      for (int i = 0; i < steps[step].mTaskCount; ++i) {
        if (mDone.count({ aJob, 0, static_cast<int>(step), i }) == 0) {
          AddViolation(aJob +
                       " is reported as completed before all tasks are done");
          return;
        }
      }
    }
  }
  if (aState == jobs::JobState::eFailed) {
    AddViolation(aJob + " is reported as failed without a failed attempt");
  }
  if (aState == jobs::JobState::eCancelled &&
      mCancelRequested.count(aJob) == 0) {
    AddViolation(aJob +
                 " is reported as cancelled but no cancellation was requested");
  }
}

std::set<std::string> InvariantChecker::ServersOf(const std::string& aJob) const
{
  std::set<std::string> all;
  for (const auto& [task, servers] : mRunning) {
    if (task.mJob == aJob) {
      all.insert(servers.begin(), servers.end());
    }
  }
  return all;
}

std::optional<base::Time> InvariantChecker::LastStart(
  const std::string& aJob) const
{
  const auto start = mLastStarts.find(aJob);
  return start == mLastStarts.end() ? std::nullopt
                                    : std::optional(start->second);
}

std::vector<std::string> InvariantChecker::Unfinished() const
{
  std::vector<std::string> jobs;
  for (const auto& [id, spec] : mAccepted) {
    if (mCancelRequested.count(id) == 0 && mCompleted.count(id) == 0) {
      jobs.push_back(id);
    }
  }
  return jobs;
}

} // namespace flamingoloom::testing::platform_world
