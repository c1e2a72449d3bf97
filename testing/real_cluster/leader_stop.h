// Ends the leader of a cluster of real processes in a planned way, by what the
// store tells about it. Not thread-safe.
#pragma once

#include <string>

#include "flamingoloom/http/client.h"
#include "review/standins/runtime.h"
#include "testing/real_cluster/instance_processes.h"

namespace flamingoloom::testing::real_cluster {

class LeaderStop
{
public:
  LeaderStop(review::Runtime& aRuntime, std::string aStoreAddress);

  // Sends SIGTERM to the leader and starts it again aDownMs after its end.
  // Precondition: aInstances outlives the runtime's loop.
  void Stop(InstanceProcesses& aInstances, double aDownMs);

private:
  review::Runtime& mRuntime;
  const std::string mStoreAddress;
  http::Client mClient;
};

} // namespace flamingoloom::testing::real_cluster
