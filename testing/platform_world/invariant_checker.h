// Checks the invariants of jobs against what backend servers and callers
// observe.
//
// It does not use the system's own state; docs/proofs.md lists the invariants.
// Violations are collected as text.
#pragma once

#include <map>
#include <optional>
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
  // The job was submitted: it may have been accepted even if there is no
  // response or the outcome is unknown.
  void OnMaybeAccepted(const jobs::JobSpec& aJob)
  {
    mMaybeAccepted[aJob.mId] = aJob;
  }
  // A cancellation was sent: the job may be cancelled from now on, with or
  // without a response.
  void OnCancelRequested(const std::string& aJob)
  {
    mCancelRequested.insert(aJob);
  }
  void OnCancelled(base::Time aNow, const std::string& aJob);
  void OnStart(base::Time aNow,
               const std::string& aServer,
               const jobs::TaskAttempt& aAttempt);
  // The attempt has ended on that server, for any reason.
  void OnAttemptOver(const std::string& aServer,
                     const jobs::TaskAttempt& aAttempt);
  // The server was told that it may discard a completion as done.
  void OnDoneAcknowledged(const jobs::TaskAttempt& aAttempt);
  void OnDone(const jobs::TaskAttempt& aAttempt);
  void OnStateReported(const std::string& aJob, jobs::JobState aState);

  // Accepted jobs that are neither reported as completed nor have a
  // cancellation requested.
  std::vector<std::string> Unfinished() const;
  const std::vector<std::string>& Violations() const { return mViolations; }
  int Starts() const { return mStarts; }
  // The servers on which tasks of the job run now.
  std::set<std::string> ServersOf(const std::string& aJob) const;
  // When the last attempt of the job has started.
  std::optional<base::Time> LastStart(const std::string& aJob) const;

private:
  void AddViolation(const std::string& aText) { mViolations.push_back(aText); }

  std::map<std::string, jobs::JobSpec> mAccepted;
  std::map<std::string, jobs::JobSpec> mMaybeAccepted;
  std::set<std::string> mCancelRequested;
  std::map<std::string, base::Time> mCancelled;
  // The servers on which each task runs now.
  std::map<jobs::TaskName, std::set<std::string>> mRunning;
  std::set<jobs::TaskName> mAcknowledgedDone;
  std::set<jobs::TaskName> mDone;
  std::set<std::string> mCompleted;
  std::vector<std::string> mViolations;
  std::map<std::string, base::Time> mLastStarts;
  int mStarts = 0;
};

} // namespace flamingoloom::testing::platform_world
