// Prints messages at intervals while an operation is in progress.
//
//   Progress progress(console.mErr, "waiting for 127.0.0.1:8080");
//   client.Send(...);   // prints "waiting for 127.0.0.1:8080, 1 s ..."
//
// A thread of the Progress writes to the stream, which must not be used by
// others until the Progress is destroyed.
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
  // Stops the messages without waiting for the end of the interval.
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
