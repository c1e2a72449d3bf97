// Judges what backend servers and callers have seen: the promises of a job.
//
// It keeps no opinion of the system's own state; see docs/proofs.md for the
// list of promises. Violations are collected as text.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "flamingoloom/base/time.h"
#include "flamingoloom/jobs/job.h"

namespace flamingoloom::testing::platform_world {

class InvariantChecker
{
public:
  void OnAccepted(const jobs::JobSpec& aJob) { mAccepted[aJob.mId] = aJob; }
  // No answer or a try without a known outcome: it may have been accepted.
  void OnMaybeAccepted(const jobs::JobSpec& aJob)
  {
    mMaybeAccepted[aJob.mId] = aJob;
  }
  // From now on the job may be cancelled, answered or not.
  void OnCancelRequested(const std::string& aJob)
  {
    mCancelRequested.insert(aJob);
  }
  void OnCancelled(base::Time aNow, const std::string& aJob);
  void OnStart(base::Time aNow,
               const std::string& aServer,
               const jobs::TaskAttempt& aAttempt);
  // The run is over on that server for any reason.
  void OnAttemptOver(const std::string& aServer,
                     const jobs::TaskAttempt& aAttempt);
  // The server was told that an end as done may be forgotten.
  void OnDoneAcknowledged(const jobs::TaskAttempt& aAttempt);
  void OnDone(const jobs::TaskAttempt& aAttempt);
  void OnStateReported(const std::string& aJob, jobs::JobState aState);

  // Accepted jobs that are neither cancelled nor shown as completed.
  std::vector<std::string> Unfinished() const;
  const std::vector<std::string>& Violations() const { return mViolations; }
  int Starts() const { return mStarts; }

private:
  void AddViolation(const std::string& aText) { mViolations.push_back(aText); }

  std::map<std::string, jobs::JobSpec> mAccepted;
  std::map<std::string, jobs::JobSpec> mMaybeAccepted;
  std::set<std::string> mCancelRequested;
  std::map<std::string, base::Time> mCancelled;
  // Where a task runs now.
  std::map<jobs::TaskName, std::set<std::string>> mRunning;
  std::set<jobs::TaskName> mAcknowledgedDone;
  std::set<jobs::TaskName> mDone;
  std::set<std::string> mCompleted;
  std::vector<std::string> mViolations;
  int mStarts = 0;
};

} // namespace flamingoloom::testing::platform_world
