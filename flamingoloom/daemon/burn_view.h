// The view "burn": the error-budget burn report over all listed instances.
#pragma once

#include <string>

#include "flamingoloom/daemon/views.h"
#include "flamingoloom/report/burn_collector.h"

namespace flamingoloom::daemon {

// Passes the JSON document of the report to aDone, at the latest after
// report::kCollectTimeout. Fails with eUnavailable when there is no
// configuration. Must be called on the runtime.
void CollectBurnReport(DaemonInstance& aInstance,
                       platform::Done<std::string> aDone);

} // namespace flamingoloom::daemon
