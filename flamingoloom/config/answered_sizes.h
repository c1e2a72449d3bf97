// The largest jobs that the data centres and client accounts of answers allow.
//
// All functions require answers that conform to AnswersSchema(). Thread-safe.
#pragma once

#include "flamingoloom/config/answers.h"

namespace flamingoloom::config::internal {

// Accelerators of the largest backend server.
int LargestServer(const Answers& aAnswers);

// Accelerators of the largest aligned block in any data centre.
int LargestBlock(const Answers& aAnswers);

// The most tasks of aPerTask accelerators that one data centre can run at
// once; a task runs on one backend server. Requires aPerTask >= 1.
int MostTasks(const Answers& aAnswers, int aPerTask);

// The most accelerators that any client account may hold at once.
int LargestHolding(const Answers& aAnswers);

} // namespace flamingoloom::config::internal
