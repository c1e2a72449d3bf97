// A small set of valid answers to the questionnaire, as a basis for tests.
#pragma once

#include "flamingoloom/config/answers.h"

namespace flamingoloom::config {

// Returns answers with two data centres, the client accounts "large" and
// "small" with one guarantee each, and the kinds of job "quote", "render" and
// "invoice".
Answers ExampleAnswers();

} // namespace flamingoloom::config
