// Documents that show operators the state of an instance, and its metrics.
#pragma once

#include <string>

#include "flamingoloom/control/instance.h"
#include "flamingoloom/daemon/daemon_ports.h"

namespace flamingoloom::daemon {

using DaemonInstance = control::Instance<DaemonPorts>;

// Returns the JSON document for aTopic, which is "instances", "servers", "jobs"
// or "capacity". Returns eNotFound for any other topic. Must be called on the
// runtime.
base::Expected<std::string> RenderView(DaemonInstance& aInstance,
                                       const std::string& aTopic);

inline constexpr std::string_view kHistoryTopic = "config/history";

// Returns the JSON document that lists the accepted configuration versions.
std::string RenderConfigHistory(
  const std::vector<control::ConfigRow>& aVersions);

// Returns the counters and gauges of the instance in the Prometheus text
// format. Must be called on the runtime.
std::string RenderMetrics(DaemonInstance& aInstance);

} // namespace flamingoloom::daemon
