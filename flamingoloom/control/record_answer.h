// Converts a terminal record to the caller's answer. Thread-safe.
#pragma once

#include "flamingoloom/control/api.h"
#include "flamingoloom/ledger/record.h"

namespace flamingoloom::control {

// Requires a terminal record that contains its whole answer, also if the answer
// is in the object store.
CallerAnswer AnswerFromRecord(const ledger::Record& aRecord);

} // namespace flamingoloom::control
