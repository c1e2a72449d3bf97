// Client of the backend servers. Thread-safe.
//
// Fences and actions, starts, and waits each have their own threads and
// connections, so that long tasks cannot hold up a fence.
#pragma once

#include "flamingoloom/platform/http_caller.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::platform {

class BackendClient
{
public:
  struct Callers
  {
    HttpCaller& mControl;
    HttpCaller& mStart;
    HttpCaller& mAwait;
  };

  // The callers must outlive the client. aTimeout is that of a fence, and the
  // time beyond its wait that AwaitTask gives an answer to arrive.
  BackendClient(Callers aCallers, base::Duration aTimeout);

  void Fence(const ServerAddress& aServer,
             const base::DataCentreId& aDataCentre,
             base::Epoch aEpoch,
             Done<base::Epoch> aDone);
  // eOutcomeUnknown when no answer arrives within aWait.
  void StartTask(const ServerAddress& aServer,
                 const TaskStart& aStart,
                 base::Duration aWait,
                 Done<TaskStatus> aDone);
  // aLease is the new lease of a renewal; other actions ignore it.
  void ActOnTask(const ServerAddress& aServer,
                 const base::AttemptId& aAttempt,
                 TaskAction aAction,
                 base::Duration aLease,
                 Done<TaskStatus> aDone);
  // Answers the state of the task when it has ended, or after aWait.
  void AwaitTask(const ServerAddress& aServer,
                 const base::AttemptId& aAttempt,
                 base::Duration aWait,
                 Done<TaskStatus> aDone);

private:
  const Callers mCallers;
  const base::Duration mTimeout;
};

} // namespace flamingoloom::platform
