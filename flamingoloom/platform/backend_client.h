// HTTP client of the backend servers. Thread-safe.
//
// Control calls (fences and actions), task starts, and waits for tasks each use
// their own threads and connections, so that long tasks cannot delay a fence.
#pragma once

#include "flamingoloom/platform/http_caller.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::platform {

class BackendClient
{
public:
  // The callers for control calls, task starts, and waits.
  struct Callers
  {
    HttpCaller& mControl;
    HttpCaller& mStart;
    HttpCaller& mAwait;
  };

  // The callers must outlive the client. aTimeout is the timeout of Fence and
  // ActOnTask; AwaitTask times out when no response has arrived within its wait
  // plus aTimeout.
  BackendClient(Callers aCallers, base::Duration aTimeout);

  // Has the server reject task starts of the data centre with an epoch below
  // aEpoch; completes with the epoch that the server acknowledges.
  void Fence(const ServerAddress& aServer,
             const base::DataCentreId& aDataCentre,
             base::Epoch aEpoch,
             Done<base::Epoch> aDone);
  // Completes when the server responds, or with eOutcomeUnknown when no
  // response arrives within aWait.
  void StartTask(const ServerAddress& aServer,
                 const TaskStart& aStart,
                 base::Duration aWait,
                 Done<TaskStatus> aDone);
  // aLease is the new lease duration for TaskAction::eRenew; other actions
  // ignore it.
  void ActOnTask(const ServerAddress& aServer,
                 const base::AttemptId& aAttempt,
                 TaskAction aAction,
                 base::Duration aLease,
                 Done<TaskStatus> aDone);
  // Completes with the state of the task when it has ended, or after aWait.
  void AwaitTask(const ServerAddress& aServer,
                 const base::AttemptId& aAttempt,
                 base::Duration aWait,
                 Done<TaskStatus> aDone);

private:
  const Callers mCallers;
  const base::Duration mTimeout;
};

} // namespace flamingoloom::platform
