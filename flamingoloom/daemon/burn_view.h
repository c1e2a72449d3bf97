// The view "burn": the burn report over all listed instances.
#pragma once

#include <string>

#include "flamingoloom/daemon/views.h"
#include "flamingoloom/report/burn_collector.h"

namespace flamingoloom::daemon {

// Answers the JSON document within report::kCollectTimeout; fails with
// eUnavailable without a configuration. To be called on the runtime.
void ShowBurn(DaemonInstance& aInstance, platform::Done<std::string> aDone);

} // namespace flamingoloom::daemon
