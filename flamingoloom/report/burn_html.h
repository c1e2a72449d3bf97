// Renders the burn report as one self-contained HTML page with plots. The page
// has no scripts and no external resources.
#pragma once

#include <string>

#include "flamingoloom/report/burn_report.h"

namespace flamingoloom::report {

// aReportTime is the time of the report as text.
std::string BurnHtml(const BurnReport& aReport, const std::string& aReportTime);

} // namespace flamingoloom::report
