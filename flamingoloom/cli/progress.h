// Tells a waiting person that something is still going on.
//
//   Progress progress(console.mErr, "waiting for 127.0.0.1:8080");
//   client.Send(...);   // after a second, prints "... 1 s" and so on
//
// The stream must not be used by others while a Progress lives.
#pragma once

#include <condition_variable>
#include <mutex>
#include <ostream>
#include <string>
#include <thread>

namespace flamingoloom::cli {

class Progress
{
public:
  Progress(std::ostream& aOut, std::string aActivity);
  // Returns at once, also in the middle of a pause between two messages.
  ~Progress();
  Progress(const Progress&) = delete;
  Progress& operator=(const Progress&) = delete;

private:
  void Run();

  std::ostream& mOut;
  const std::string mActivity;
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mIsDone = false;
  std::thread mThread;
};

} // namespace flamingoloom::cli
