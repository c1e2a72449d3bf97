// Requests within the limits of one request, and what they leave behind once
// they are answered: in the instance that leads, in its store, and in the
// instance that leads next. None checks a time or a share of requests.
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "testing/hostile_callers/instance_process.h"
#include "testing/hostile_callers/raw_peers.h"

namespace flamingoloom::testing::hostile_callers {
namespace {

constexpr MachineLimits kLimits{ .mMemoryMb = 40, .mDescriptors = 300 };
constexpr int kCallers = 8;
// Far from those that InstanceProcess hands in.
constexpr int kFirstJob = 1'000'000;
constexpr int kJobsOfCaller = 10'000;
constexpr std::size_t kLongestSpecification = 4000;

std::string LongJob()
{
  return R"({"specification":")" + std::string(kLongestSpecification, 's') +
         R"(","steps":[{"count":1,"cpu":1000}]})";
}

// Calls aSend(caller, path) aCount times from each of kCallers, with the path
// of another job each time. aFirstCaller tells these jobs from those of other
// calls.
template <class SendRequests>
void PlayCallers(InstanceProcess& aInstance,
                 int aCount,
                 const char* aPrefix,
                 const SendRequests& aSend,
                 int aFirstCaller = 0)
{
  std::vector<std::thread> threads;
  threads.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    threads.emplace_back([&, i] {
      KeepAliveCaller caller(aInstance.CallerPort());
      for (int job = 0; job < aCount; ++job) {
        aSend(caller,
              aPrefix +
                JobId(kFirstJob + (aFirstCaller + i) * kJobsOfCaller + job));
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

void CheckSound(InstanceProcess& aInstance)
{
  REQUIRE(aInstance.IsAlive());
  CHECK(aInstance.AnswersOrdinaryRequest(kGuestKey, kBatchPrefix));
  CHECK(aInstance.TellsQueueLength(kBatchPrefix));
  REQUIRE(aInstance.IsAlive());
  CHECK(aInstance.PeakMemoryMb() <= kLimits.mMemoryMb);
  CHECK(aInstance.OpenDescriptors() <= kLimits.mDescriptors);
}

// No server runs the jobs, so that each one that is accepted is kept. The other
// account and the urgent work of the same account must not suffer from it.
TEST_CASE("accepted_jobs: one account hands in jobs without end")
{
  constexpr int kJobs = 1250;
  InstanceProcess instance(kLimits);
  PlayCallers(instance,
              kJobs,
              kBatchPrefix,
              [](KeepAliveCaller& aCaller, const std::string& aPath) {
                aCaller.Call("POST", aPath, kShopKey, LongJob());
              });
  CheckSound(instance);
  CHECK(instance.AnswersOrdinaryRequest(kShopKey, kUrgentPrefix));
  // The instance that leads next reads all of it at once.
  instance.Restart();
  CheckSound(instance);
  CHECK(instance.AnswersOrdinaryRequest(kShopKey, kUrgentPrefix));
}

// Followers accept jobs as well, and do not know of each other.
TEST_CASE("accepted_by_two: jobs are handed in at the leader and a follower")
{
  constexpr int kJobs = 1250;
  InstanceProcess first(kLimits);
  first.AwaitLead();
  InstanceProcess second(kLimits, first);
  const auto flood = [](KeepAliveCaller& aCaller, const std::string& aPath) {
    aCaller.Call("POST", aPath, kShopKey, LongJob());
  };
  std::thread other(
    [&] { PlayCallers(second, kJobs, kBatchPrefix, flood, kCallers); });
  PlayCallers(first, kJobs, kBatchPrefix, flood);
  other.join();
  CheckSound(first);
  CheckSound(second);
  CHECK(second.AnswersOrdinaryRequest(kShopKey, kUrgentPrefix));
  // The follower takes the lead, with all that was accepted.
  CHECK(first.Stop());
  second.AwaitLead();
  CheckSound(second);
}

// Each question costs up to two reads of the store, which all instances share.
// The leader must not lose its lease for them.
TEST_CASE("many_questions: an account asks for jobs without end")
{
  constexpr int kQuestions = 3000;
  auto limits = kLimits;
  limits.mReadsPerSecond = 400;
  InstanceProcess instance(limits);
  instance.AwaitLead();
  PlayCallers(instance,
              kQuestions,
              kBatchPrefix,
              [](KeepAliveCaller& aCaller, const std::string& aPath) {
                aCaller.Call("GET", aPath, kShopKey, "");
              });
  CheckSound(instance);
  CHECK(!instance.Logged("store_lost"));
  CHECK(!instance.Logged("lead_lost"));
  CHECK(!instance.Logged("lead_superseded"));
}

// Jobs that have ended are kept for their callers.
TEST_CASE("cancelled_jobs: jobs are handed in and cancelled without end")
{
  constexpr int kJobs = 900;
  InstanceProcess instance(kLimits);
  PlayCallers(instance,
              kJobs,
              kBatchPrefix,
              [](KeepAliveCaller& aCaller, const std::string& aPath) {
                aCaller.Call("POST", aPath, kShopKey, LongJob());
                aCaller.Call("DELETE", aPath, kShopKey, "");
              });
  CheckSound(instance);
  instance.Restart();
  CheckSound(instance);
}

// A task takes more memory in the leader than in the request.
TEST_CASE("many_tasks: small requests with many tasks")
{
  constexpr int kJobs = 4;
  InstanceProcess instance(kLimits);
  std::string body = R"({"steps":[)";
  for (int i = 0; i < 150; ++i) {
    body += i == 0 ? "" : ",";
    body += R"({"count":500})";
  }
  body += "]}";
  PlayCallers(instance,
              kJobs,
              kBatchPrefix,
              [&body](KeepAliveCaller& aCaller, const std::string& aPath) {
                aCaller.Call("POST", aPath, kShopKey, body);
              });
  CheckSound(instance);
  instance.Restart();
  CheckSound(instance);
}

// Tasks that ask for nothing fit onto one server without end, so that all of
// them are started at once. Each start carries the specification. The callers
// come back while they are refused.
TEST_CASE("started_tasks: many tasks that need nothing are started at once")
{
  constexpr int kJobs = 3;
  constexpr int kTries = 20;
  constexpr auto kRetryDelay = std::chrono::milliseconds(250);
  UnresponsiveServer server;
  InstanceProcess instance(kLimits, server.Port());
  const auto body = R"({"specification":")" +
                    std::string(kLongestSpecification, 's') +
                    R"(","steps":[{"count":500}]})";
  PlayCallers(instance,
              kJobs,
              kBatchPrefix,
              [&](KeepAliveCaller& aCaller, const std::string& aPath) {
                for (int i = 0; i < kTries; ++i) {
                  if (aCaller.Call("POST", aPath, kShopKey, body) == 200) {
                    return;
                  }
                  std::this_thread::sleep_for(kRetryDelay);
                }
              });
  CheckSound(instance);
  CHECK(server.Starts() > 0);
}

// All occurrences are due at once.
TEST_CASE("many_occurrences: a small request with many occurrences")
{
  InstanceProcess instance(kLimits);
  instance.Call(
    "POST",
    kBatchPrefix + JobId(kFirstJob),
    R"({"steps":[{"count":1}],"times":100000,"start-at-ms":1,"interval-ms":0})");
  CheckSound(instance);
  instance.Restart();
  CheckSound(instance);
}

// Two accounts hand in urgent and other jobs, and come back while they are
// refused, for long enough that all of the memory for jobs is used.
void FillMemoryOfJobs(InstanceProcess& aInstance, const std::string& aBody)
{
  constexpr int kRounds = 100;
  constexpr auto kRetryDelay = std::chrono::milliseconds(250);
  // Far more than fit.
  constexpr int kMaxAccepted = 2500;
  const char* const keys[] = { kShopKey, kGuestKey };
  const char* const prefixes[] = { kUrgentPrefix, kBatchPrefix };
  std::vector<std::thread> threads;
  threads.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    threads.emplace_back([&, i] {
      KeepAliveCaller caller(aInstance.CallerPort());
      const std::string key = keys[i % 2];
      const std::string prefix = prefixes[i / 2 % 2];
      int accepted = 0;
      for (int round = 0; round < kRounds;) {
        const auto job = JobId(kFirstJob + i * kJobsOfCaller + accepted);
        if (accepted < kMaxAccepted &&
            caller.Call("POST", prefix + job, key, aBody) == 200) {
          ++accepted;
          continue;
        }
        ++round;
        std::this_thread::sleep_for(kRetryDelay);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

void CheckFilled(InstanceProcess& aInstance)
{
  REQUIRE(aInstance.IsAlive());
  CHECK(aInstance.AnswersOrdinaryRequest(kClerkKey, kBatchPrefix));
  CHECK(aInstance.AnswersOrdinaryRequest(kClerkKey, kUrgentPrefix));
  CHECK(aInstance.TellsQueueLength(kBatchPrefix));
  REQUIRE(aInstance.IsAlive());
  CHECK(aInstance.PeakMemoryMb() <= kLimits.mMemoryMb);
  CHECK(aInstance.OpenDescriptors() <= kLimits.mDescriptors);
  MESSAGE("peak " << aInstance.PeakMemoryMb() << " MB");
}

// The texts of the rows are beside the decoded jobs while an instance takes the
// lead.
TEST_CASE("filled_by_texts: all of the memory for jobs is used, by texts")
{
  InstanceProcess instance(kLimits);
  FillMemoryOfJobs(instance, LongJob());
  CheckFilled(instance);
  instance.Restart();
  CheckFilled(instance);
}

TEST_CASE("filled_by_steps: all of the memory for jobs is used, by steps")
{
  InstanceProcess instance(kLimits);
  std::string body = R"({"steps":[{"count":1})";
  for (int i = 1; i < 100; ++i) {
    body += R"(,{"count":1})";
  }
  FillMemoryOfJobs(instance, body + "]}");
  CheckFilled(instance);
  instance.Restart();
  CheckFilled(instance);
}

// Each task is assigned to the server, and its start is sent or waits.
TEST_CASE("filled_by_starts: all of the memory for jobs is used, by starts")
{
  UnresponsiveServer server;
  InstanceProcess instance(kLimits, server.Port());
  FillMemoryOfJobs(instance,
                   R"({"specification":")" +
                     std::string(kLongestSpecification, 's') +
                     R"(","steps":[{"count":500}]})");
  CheckFilled(instance);
  CHECK(server.Starts() > 0);
  instance.Restart();
  CheckFilled(instance);
}

// Its row is larger than a row of the store may be, although the request is
// within the limits: its caller was asked to come back each time.
TEST_CASE("large_row: a job of 180 steps, each after all before it")
{
  InstanceProcess instance(kLimits);
  std::string body = R"({"steps":[)";
  std::string after;
  for (int i = 0; i < 180; ++i) {
    body += i == 0 ? "{" : R"(,{"after":[)" + after + "],";
    body += R"("count":1,"cpu":1000})";
    after += (i == 0 ? "" : ",") + std::to_string(i);
  }
  const auto path = kBatchPrefix + JobId(kFirstJob);
  CHECK(instance.Call("POST", path, body + "]}") == 200);
  CHECK(instance.Call("GET", path) == 200);
  CheckSound(instance);
  instance.Restart();
  CHECK(instance.Call("GET", path) == 200);
  CheckSound(instance);
}

// No compression makes this job fit into a row, so it can never be accepted: a
// response that asks its caller to come back would be repeated for ever.
TEST_CASE("unstorable_job: a job that does not fit into a row of the store")
{
  InstanceProcess instance(kLimits);
  std::string body = R"({"steps":[)";
  unsigned random = 1;
  for (int i = 0; i < 400; ++i) {
    body += i == 0 ? "" : ",";
    body += R"({"requirements":")";
    for (int k = 0; k < 500; ++k) {
      random = random * 1664525U + 1013904223U;
      body += static_cast<char>('0' + (random >> 26));
      if (body.back() == '\\') {
        body.back() = 'z';
      }
    }
    body += R"("})";
  }
  const int status =
    instance.Call("POST", kBatchPrefix + JobId(kFirstJob), body + "]}");
  CHECK(status >= 400);
  CHECK(status < 429);
  CheckSound(instance);
}

// The length of each queue with a job is in one row, which the leader writes
// with each renewal of its lease.
TEST_CASE("many_queues: one job in each of many queues")
{
  constexpr int kQueuesOfCaller = 300;
  auto limits = kLimits;
  limits.mMoreQueues = kCallers * kQueuesOfCaller;
  InstanceProcess instance(limits);
  std::vector<std::thread> threads;
  threads.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    threads.emplace_back([&, i] {
      KeepAliveCaller caller(instance.CallerPort());
      for (int k = 0; k < kQueuesOfCaller; ++k) {
        const int queue = i * kQueuesOfCaller + k;
        caller.Call("POST",
                    kMoreQueuesPrefix + std::to_string(queue) + "/" +
                      JobId(kFirstJob + queue),
                    kShopKey,
                    R"({"steps":[{"count":1}]})");
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  CheckSound(instance);
}

} // namespace
} // namespace flamingoloom::testing::hostile_callers
