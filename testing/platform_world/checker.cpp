#include "testing/platform_world/checker.h"

namespace flamingoloom::testing::platform_world {
namespace {

// A cancel has to reach the scheduling instance, also when it changes.
constexpr auto kCancelBound = std::chrono::seconds(14);

std::string Text(const jobs::TaskAttempt& aAttempt)
{
  return aAttempt.mTask.mJob + "." +
         std::to_string(aAttempt.mTask.mOccurrence) + "." +
         std::to_string(aAttempt.mTask.mStep) + "." +
         std::to_string(aAttempt.mTask.mIndex) + "#" +
         std::to_string(aAttempt.mAttemptNumber);
}

} // namespace

void Checker::OnCancelled(base::Time aNow, const std::string& aJob)
{
  mCancelled.emplace(aJob, aNow);
}

void Checker::OnStart(base::Time aNow,
                      const std::string& aServer,
                      const jobs::TaskAttempt& aAttempt)
{
  ++mStarts;
  const auto& name = aAttempt.mTask;
  auto& servers = mRunning[name];
  if (!servers.empty()) {
    Violation(Text(aAttempt) + " runs on " + *servers.begin() + " and " +
              aServer);
  }
  servers.insert(aServer);
  if (mAcknowledgedDone.count(name) > 0) {
    Violation(Text(aAttempt) + " starts after its end was acknowledged");
  }
  const auto accepted = mAccepted.find(name.mJob);
  const auto maybe = mMaybe.find(name.mJob);
  if (accepted == mAccepted.end() && maybe == mMaybe.end()) {
    Violation(Text(aAttempt) + " starts but nobody handed it in");
    return;
  }
  const auto& job =
    accepted != mAccepted.end() ? accepted->second : maybe->second;
  const auto& step = job.mSteps.at(static_cast<std::size_t>(name.mStep));
  for (const int before : step.mDependsOn) {
    const auto& earlier = job.mSteps.at(static_cast<std::size_t>(before));
    for (int i = 0; i < earlier.mTaskCount; ++i) {
      if (mDone.count({ name.mJob, name.mOccurrence, before, i }) == 0) {
        Violation(Text(aAttempt) + " starts before step " +
                  std::to_string(before));
        return;
      }
    }
  }
  const auto cancelled = mCancelled.find(name.mJob);
  if (cancelled != mCancelled.end() &&
      aNow > cancelled->second + kCancelBound) {
    Violation(Text(aAttempt) + " starts long after its job was cancelled");
  }
}

void Checker::OnOver(const std::string& aServer,
                     const jobs::TaskAttempt& aAttempt)
{
  mRunning[aAttempt.mTask].erase(aServer);
}

void Checker::OnDoneAcknowledged(const jobs::TaskAttempt& aAttempt)
{
  mAcknowledgedDone.insert(aAttempt.mTask);
}

void Checker::OnDone(const jobs::TaskAttempt& aAttempt)
{
  mDone.insert(aAttempt.mTask);
}

void Checker::OnShown(const std::string& aJob, jobs::JobState aState)
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
          Violation(aJob + " is shown as completed before all tasks are done");
          return;
        }
      }
    }
  }
  if (aState == jobs::JobState::eFailed) {
    Violation(aJob + " is shown as failed without a failed run");
  }
  if (aState == jobs::JobState::eCancelled && mCancelAsked.count(aJob) == 0) {
    Violation(aJob + " is shown as cancelled but nobody cancelled it");
  }
}

std::vector<std::string> Checker::Unfinished() const
{
  std::vector<std::string> jobs;
  for (const auto& [id, spec] : mAccepted) {
    if (mCancelAsked.count(id) == 0 && mCompleted.count(id) == 0) {
      jobs.push_back(id);
    }
  }
  return jobs;
}

} // namespace flamingoloom::testing::platform_world
