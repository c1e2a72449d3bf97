// Stub of a backend server over HTTP (docs/design.md, section 9.3) for tests.
// The program backend_stand_in runs it as a process. Thread-safe after Listen.
//
// In addition to the documented API it serves GET /history, which returns the
// starts and ends of tasks, and POST /fault with {"failTasks":bool}, which
// makes tasks fail.
#pragma once

#include <condition_variable>
#include <deque>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "flamingoloom/base/time.h"
#include "testing/standins/http_server.h"
#include "testing/standins/task_table.h"

namespace flamingoloom::standins {

struct BackendOptions
{
  // What the server announces to the platform. The server sets the address and
  // the state itself.
  platform::Member mMember;
  // Where the server announces itself; empty for no announcements.
  std::string mPlatformAddress;
  // Run time of tasks whose payload gives none.
  base::Duration mRunTime{};
  // Age of the usage that GET /usage reports.
  base::Duration mUsageLag = std::chrono::seconds(1);
  // Every task fails as soon as it starts.
  bool mFailTasks = false;
  // File to which each history event is appended as one line of JSON, so that
  // the history survives when the process is killed; empty for no file.
  std::string mHistoryFile;
};

class BackendServer
{
public:
  explicit BackendServer(const BackendOptions& aOptions);
  ~BackendServer();
  BackendServer(const BackendServer&) = delete;
  BackendServer& operator=(const BackendServer&) = delete;

  // Starts to serve on aAddress ("ip:port", port 0 for any free one) and
  // returns the address with the actual port. Called at most once.
  base::Expected<std::string> Listen(const std::string& aAddress);

  // Drains the server: rejects new tasks and announces the state "leaving".
  // Returns when all tasks have ended and all responses have been sent.
  void Drain();

private:
  void AddTaskRoutes();
  void AddOtherRoutes();
  // Waits until the attempt is neither prepared nor running, or until aUntil,
  // and returns its status. aLock holds mMutex.
  platform::TaskStatus AwaitTask(std::unique_lock<std::mutex>& aLock,
                                 const base::AttemptId& aAttempt,
                                 std::optional<base::Time> aUntil);
  // Appends new history events to the file, updates the usage history and wakes
  // waiting requests. Called after each change of the task table and before the
  // usage is reported. Requires mMutex.
  void PublishChanges();
  // Announces the server to the platform at a fixed interval until the server
  // is destroyed.
  void RunAnnouncer();

  BackendOptions mOptions;
  std::mutex mMutex;
  std::condition_variable mChanged;
  TaskTable mTasks;
  // Each usage within the last mUsageLag with the time at which it began,
  // oldest first. The first entry is reported.
  std::deque<std::pair<base::Time, Usage>> mUsageHistory;
  // Number of history events that PublishChanges has processed.
  std::size_t mPublishedEvents = 0;
  std::ofstream mHistoryFile;
  bool mIsStopping = false;
  std::thread mAnnouncer;
  HttpServer mServer;
};

} // namespace flamingoloom::standins
