#include "testing/real_cluster/still_judge.h"

#include <algorithm>

#include <fmt/format.h>

namespace flamingoloom::testing::real_cluster {

bool StillJudge::Step::IsDone() const
{
  // One end "done" of a gang stands for all.
  const auto done = [](const Task& aTask) { return aTask.mDone; };
  return mShape.mGang ? std::any_of(mTasks.begin(), mTasks.end(), done)
                      : std::all_of(mTasks.begin(), mTasks.end(), done);
}

void StillJudge::Submit(const std::string& aJob, JobSteps aSteps)
{
  auto& job = mJobs[aJob];
  for (auto& shape : aSteps) {
    const auto count = static_cast<std::size_t>(shape.mCount);
    job.mSteps.push_back({ std::move(shape), std::vector<Task>(count), {} });
  }
}

void StillJudge::Accept(const std::string& aJob, double aNowMs)
{
  auto& accepted = mJobs.at(aJob).mAcceptedMs;
  accepted = accepted.value_or(aNowMs);
}

void StillJudge::Forget(const std::string& aJob)
{
  auto& job = mJobs.at(aJob);
  job.mOver = true;
  CloseSpans(job, mNowMs);
}

StillJudge::Task* StillJudge::Find(const TaskName& aName)
{
  const auto job = mJobs.find(aName.mJob);
  return job == mJobs.end()
           ? nullptr
           : &job->second.mSteps.at(aName.mStep)
                .mTasks.at(static_cast<std::size_t>(aName.mIndex));
}

void StillJudge::Start(const std::string& aTask, int aRun, double aNowMs)
{
  const auto name = ParseTaskName(aTask);
  if (auto* task = Find(name)) {
    task->mRunning.insert(aRun);
    ++task->mRuns;
    task->mLastRunMs = aNowMs;
    Follow(task->mSpan, std::nullopt, aNowMs);
    Follow(mJobs.at(name.mJob).mSpan, std::nullopt, aNowMs);
    for (auto& still : mStills) {
      const auto& step = mJobs.at(still.mJob).mSteps[still.mStep].mShape;
      const TaskName stood{ still.mJob, still.mStep, still.mIndex };
      still.mMoved = still.mMoved || stood == name ||
                     (still.mJob == name.mJob && !step.mLasts);
    }
  }
}

void StillJudge::End(const std::string& aTask,
                     int aRun,
                     const std::string& aHow,
                     double aNowMs)
{
  const auto name = ParseTaskName(aTask);
  auto* task = Find(name);
  if (task == nullptr) {
    return;
  }
  task->mRunning.erase(aRun);
  task->mLastRunMs = aNowMs;
  auto& job = mJobs.at(name.mJob);
  auto& step = job.mSteps[name.mStep];
  if (step.mShape.mLasts) {
    return;
  }
  task->mDone = task->mDone || aHow == "done";
  if (aHow == "failed") {
    step.mFailedRuns.insert(aRun);
    ++task->mFailures;
    const int attempts = step.mShape.mGang
                           ? static_cast<int>(step.mFailedRuns.size())
                           : task->mFailures;
    if (attempts >= mMaxAttempts) {
      Forget(name.mJob);
    }
  }
}

void StillJudge::Undo(const std::string& aTask)
{
  if (auto* task = Find(ParseTaskName(aTask))) {
    task->mDone = false;
  }
}

void StillJudge::Disrupt(double aUntilMs)
{
  mDisruptedUntilMs = std::max(mDisruptedUntilMs, aUntilMs);
}

bool StillJudge::HasTurn(const Job& aJob, const Step& aStep) const
{
  return std::all_of(
    aStep.mShape.mAfter.begin(), aStep.mShape.mAfter.end(), [&](int aBefore) {
      return aJob.mSteps.at(static_cast<std::size_t>(aBefore)).IsDone();
    });
}

bool StillJudge::HasRoom(const Capacity& aNeed, long aTasks) const
{
  for (const auto& room : mRooms) {
    if (aTasks <= 0) {
      break;
    }
    aTasks -= room.Fits(aNeed);
  }
  return aTasks <= 0;
}

std::optional<int> StillJudge::CouldRun(const Step& aStep) const
{
  for (std::size_t i = 0; i < aStep.mTasks.size(); ++i) {
    if (!aStep.mTasks[i].mDone) {
      const long members = aStep.mShape.mGang ? aStep.mShape.mCount : 1;
      return HasRoom(aStep.mShape.mNeed, 2 * members)
               ? std::optional(static_cast<int>(i))
               : std::nullopt;
    }
  }
  return std::nullopt;
}

void StillJudge::Look(double aNowMs,
                      const std::vector<Capacity>& aRooms,
                      const Capacity& aUsed,
                      const Capacity& aTotal)
{
  constexpr double kHalf = 0.5;
  mNowMs = aNowMs;
  mRooms = aRooms;
  mUnderHalf = aUsed.ShareOf(aTotal) < kHalf;
  for (auto& [id, job] : mJobs) {
    if (job.mAcceptedMs && !job.mOver) {
      LookAt(id, job, aNowMs);
    }
  }
}

void StillJudge::LookAt(const std::string& aId, Job& aJob, double aNowMs)
{
  bool running = false;
  std::optional<Still> stands;
  for (std::size_t s = 0; s < aJob.mSteps.size(); ++s) {
    auto& step = aJob.mSteps[s];
    const bool ready = mUnderHalf && !step.IsDone() && HasTurn(aJob, step);
    int runs = 0;
    for (std::size_t i = 0; i < step.mTasks.size(); ++i) {
      auto& task = step.mTasks[i];
      runs += task.mRuns;
      running = running || !task.mRunning.empty();
      if (step.mShape.mLasts) {
        const double graceMs =
          std::max(task.mLastRunMs, *aJob.mAcceptedMs) + kLastingGraceMs;
        std::optional<Still> alone;
        if (ready && task.mRunning.empty() && aNowMs >= graceMs &&
            HasRoom(step.mShape.mNeed, 2)) {
          alone =
            Still{ aId, s, static_cast<int>(i), aNowMs, aNowMs, task.mRuns };
        }
        Follow(task.mSpan, alone, aNowMs);
      }
    }
    if (ready && !stands && !running && !step.mShape.mLasts) {
      if (const auto index = CouldRun(step)) {
        stands = Still{ aId, s, *index, aNowMs, aNowMs, runs };
      }
    }
  }
  Follow(aJob.mSpan, running ? std::nullopt : stands, aNowMs);
}

void StillJudge::Follow(std::optional<Still>& aSpan,
                        const std::optional<Still>& aStands,
                        double aNowMs)
{
  if (!aStands) {
    if (aSpan) {
      if (aSpan->mToMs - aSpan->mFromMs >= kMaxStillMs) {
        mStills.push_back(*aSpan);
      }
      aSpan.reset();
    }
    return;
  }
  if (!aSpan) {
    aSpan = aStands;
  }
  aSpan->mToMs = aNowMs;
  if (aNowMs - aSpan->mFromMs < kMaxStillMs) {
    return;
  }
  aSpan->mCalm =
    aSpan->mCalm || aNowMs - mDisruptedUntilMs >= kMaxStillMs + kCalmBeforeMs;
  aSpan->mAtEnd =
    aSpan->mAtEnd || (mTrafficEndMs && aNowMs >= *mTrafficEndMs + kEndMs);
}

void StillJudge::CloseSpans(Job& aJob, double aNowMs)
{
  Follow(aJob.mSpan, std::nullopt, aNowMs);
  for (auto& step : aJob.mSteps) {
    for (auto& task : step.mTasks) {
      Follow(task.mSpan, std::nullopt, aNowMs);
    }
  }
}

void StillJudge::Finish(double aNowMs)
{
  for (auto& [id, job] : mJobs) {
    CloseSpans(job, aNowMs);
  }
}

bool StillJudge::HasRunSince(const std::string& aJob, double aSinceMs) const
{
  const auto& steps = mJobs.at(aJob).mSteps;
  const auto ran = [aSinceMs](const Task& aTask) {
    return !aTask.mRunning.empty() ||
           (aTask.mRuns > 0 && aTask.mLastRunMs >= aSinceMs);
  };
  return std::any_of(steps.begin(), steps.end(), [&ran](const Step& aStep) {
    return std::any_of(aStep.mTasks.begin(), aStep.mTasks.end(), ran);
  });
}

int StillJudge::Broken() const
{
  return static_cast<int>(
    std::count_if(mStills.begin(), mStills.end(), [](const Still& aStill) {
      return aStill.mCalm || aStill.mAtEnd;
    }));
}

std::vector<std::string> StillJudge::Lines() const
{
  std::vector<std::string> lines;
  for (const auto& still : mStills) {
    int more = 0;
    int moved = 0;
    for (const auto& other : mStills) {
      if (&other != &still && other.mFromMs < still.mToMs &&
          other.mToMs > still.mFromMs) {
        ++more;
        moved += other.mMoved;
      }
    }
    lines.push_back(fmt::format(
      "{}: job {} has nothing running from {:.1f} to {:.1f} s, task {}.{} "
      "could run ({} runs so far; {} more stand so, {} move later){}{}{}",
      still.mCalm || still.mAtEnd ? "still" : "still beside trouble",
      still.mJob,
      still.mFromMs / 1000,
      still.mToMs / 1000,
      still.mStep,
      still.mIndex,
      still.mRuns,
      more,
      moved,
      still.mCalm ? " calm" : "",
      still.mAtEnd ? " at the end" : "",
      still.mMoved ? "" : " never moves"));
  }
  return lines;
}

} // namespace flamingoloom::testing::real_cluster
