// Documents about the state of an instance that operators look at.
#pragma once

#include <string>

#include "flamingoloom/control/instance.h"
#include "flamingoloom/daemon/daemon_ports.h"

namespace flamingoloom::daemon {

using DaemonInstance = control::Instance<DaemonPorts>;

// The JSON document about aTopic: "instances", "servers", "jobs" or
// "capacity"; eNotFound for another topic. To be called on the runtime.
base::Expected<std::string> ViewOf(DaemonInstance& aInstance,
                                   const std::string& aTopic);

inline constexpr std::string_view kHistoryTopic = "config/history";

// The JSON document about the accepted versions of the configuration.
std::string HistoryView(const std::vector<control::ConfigRow>& aVersions);

// All counters in Prometheus' text format. To be called on the runtime.
std::string MetricsOf(DaemonInstance& aInstance);

} // namespace flamingoloom::daemon
