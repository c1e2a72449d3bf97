// The burn report as one HTML page with plots, without scripts and external
// resources.
#pragma once

#include <string>

#include "flamingoloom/report/burn_report.h"

namespace flamingoloom::report {

// aWhen is the time of the report as text.
std::string BurnHtml(const BurnReport& aReport, const std::string& aWhen);

} // namespace flamingoloom::report
