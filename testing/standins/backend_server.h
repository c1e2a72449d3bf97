// A backend server over HTTP (docs/design.md, section 9.3). Used by
// backend_stand_in and within tests. Thread-safe after Listen.
//
// Beyond the design page it serves GET /history, and POST /fault with
// {"failTasks":bool}.
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
  // Announced to the platform; address and state are filled in.
  platform::Member mMember;
  // Nothing is announced when it is empty.
  std::string mPlatformAddress;
  base::Duration mRunTime{};
  base::Duration mUsageLag = std::chrono::seconds(1);
  bool mFailTasks = false;
  // Each history event is appended as one line of JSON, so that the record
  // outlives a killed process; empty for no file.
  std::string mHistoryFile;
};

class BackendServer
{
public:
  explicit BackendServer(const BackendOptions& aOptions);
  ~BackendServer();
  BackendServer(const BackendServer&) = delete;
  BackendServer& operator=(const BackendServer&) = delete;

  base::Expected<std::string> Listen(const std::string& aAddress);

  // Refuses new work, announces the state "leaving", and returns when the
  // running work has ended and its answers have been sent.
  void Drain();

private:
  void AddTaskRoutes();
  void AddOtherRoutes();
  platform::TaskStatus Await(std::unique_lock<std::mutex>& aLock,
                             const base::AttemptId& aAttempt,
                             std::optional<base::Time> aUntil);
  // To be called after each change of the task table, and before its lagging
  // usage is read.
  void NoteChange();
  void AnnounceMember();

  BackendOptions mOptions;
  std::mutex mMutex;
  std::condition_variable mChanged;
  TaskTable mTasks;
  // Use of places over the time of the lag; the first one is reported.
  std::deque<std::pair<base::Time, Usage>> mUsage;
  std::size_t mHistoryNoted = 0;
  std::ofstream mHistoryFile;
  bool mIsStopping = false;
  std::thread mAnnouncer;
  HttpServer mServer;
};

} // namespace flamingoloom::standins
