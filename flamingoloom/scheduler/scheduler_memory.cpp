// What is kept of jobs that have ended, and for how long.
#include "flamingoloom/scheduler/scheduler.h"

#include <algorithm>
#include <utility>

namespace flamingoloom::scheduler {

namespace {

// Limits the work of garbage collection in one call, so that scheduling goes on
// beside it.
constexpr std::size_t kMaxExpiredJobsPerCall = 40;

} // namespace

bool Scheduler::HasEndedBefore(const Job& aJob, std::int64_t aStoreMs)
{
  if (aJob.mStateDirty || !aJob.IsFinal() || aJob.mEndedAtStoreMs >= aStoreMs) {
    return false;
  }
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (const auto& step : occurrence.mSteps) {
      if (step->mDirty || std::any_of(step->mTasks.begin(),
                                      step->mTasks.end(),
                                      [](const Task& aTask) {
                                        return IsPlaced(aTask.mPhase);
                                      })) {
        return false;
      }
    }
  }
  return true;
}

void Scheduler::AddEndedJob(const std::string& aJob, EndedJob aEnded)
{
  const auto memory = admission::EndedJobMemory(aEnded.mStepRows.size());
  const auto [entry, added] = mEndedJobs.try_emplace(aJob, std::move(aEnded));
  if (added) {
    mMemory.Add(entry->second.mMemoryClass, memory);
  }
}

void Scheduler::CompactEndedJobs(std::int64_t aStoreMs)
{
  for (auto entry = mJobs.begin(); entry != mJobs.end();) {
    const Job& job = *entry->second;
    if (!HasEndedBefore(job, aStoreMs)) {
      ++entry;
      continue;
    }
    EndedJob ended{ MemoryClassOf(job),
                    job.mSpec.mAcceptedMs,
                    job.mEndedAtStoreMs,
                    job.mCancelled,
                    {} };
    for (const auto& [number, occurrence] : job.mOccurrences) {
      for (const auto& step : occurrence.mSteps) {
        if (step->mHasRow) {
          ended.mStepRows.emplace_back(number, step->mStep);
        }
      }
    }
    mMemory.Add(ended.mMemoryClass, -job.mMemory);
    AddEndedJob(entry->first, std::move(ended));
    entry = mJobs.erase(entry);
  }
}

std::vector<ExpiredJob> Scheduler::TakeExpiredJobs(std::int64_t aStoreMs)
{
  CompactEndedJobs(aStoreMs);
  std::vector<ExpiredJob> expired;
  for (auto entry = mEndedJobs.begin();
       entry != mEndedJobs.end() && expired.size() < kMaxExpiredJobsPerCall;) {
    const EndedJob& job = entry->second;
    if (job.mEndedAtStoreMs >= aStoreMs) {
      ++entry;
      continue;
    }
    ExpiredJob row{ entry->first, job.mCancelled, {} };
    row.mStepKeys.reserve(job.mStepRows.size());
    for (const auto& [occurrence, step] : job.mStepRows) {
      row.mStepKeys.push_back(jobs::StepKey(entry->first, occurrence, step));
    }
    expired.push_back(std::move(row));
    mMemory.Add(job.mMemoryClass,
                -admission::EndedJobMemory(job.mStepRows.size()));
    entry = mEndedJobs.erase(entry);
  }
  return expired;
}

} // namespace flamingoloom::scheduler
