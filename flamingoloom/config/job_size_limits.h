// Upper bounds on the size of a job, computed from the data centres and client
// accounts in answers to the questionnaire.
//
// All functions require answers that conform to AnswersSchema(). Thread-safe.
#pragma once

#include "flamingoloom/config/answers.h"

namespace flamingoloom::config::internal {

// The number of accelerators of the largest backend server.
int MaxAcceleratorsPerServer(const Answers& aAnswers);

// The number of accelerators in the largest aligned block of any data centre.
int MaxBlockSize(const Answers& aAnswers);

// The maximum number of tasks with aPerTask accelerators each that one data
// centre can run at the same time. All accelerators of a task are on one
// backend server. Requires aPerTask >= 1.
int MaxConcurrentTasks(const Answers& aAnswers, int aPerTask);

// The maximum number of accelerators that any one client account may hold at
// the same time, including its guarantees. INT_MAX if an account has no limit.
int MaxAcceleratorsPerAccount(const Answers& aAnswers);

} // namespace flamingoloom::config::internal
