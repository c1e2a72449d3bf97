// Small answers without problems, for tests to change.
#pragma once

#include "flamingoloom/config/answers.h"

namespace flamingoloom::config {

// Two data centres, the accounts "large" and "small", a guarantee each, and
// the kinds "quote", "render" and "invoice".
Answers ExampleAnswers();

} // namespace flamingoloom::config
