// Writes structured log lines ("time=... event=... key=value") to a file
// descriptor.
//
// Lines are buffered and written without blocking. The log drops lines beyond
// kLogLinesPerSecond, except the first kReservedLinesPerEvent of each event,
// and lines that would exceed the buffer because the reader is too slow. It
// later logs how many it dropped. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "flamingoloom/event_loop/metrics.h"
#include "flamingoloom/node/ports.h"

namespace flamingoloom::event_loop {

// Above the rate of the busiest second on the platform, and cheap enough to
// take less than 1% of an instance's CPU time.
inline constexpr int kLogLinesPerSecond = 250;
// Per second and event, so that the lines of each task do not crowd out rare
// ones, such as the failure of a job.
inline constexpr int kReservedLinesPerEvent = 10;
inline constexpr std::size_t kLogBufferBytes = std::size_t{ 256 } * 1024;

class StreamLog : public node::EventLog
{
public:
  // Makes aDescriptor non-blocking and does not take ownership of it. Uses
  // aLoop for the time and for delayed writes. Counts each event in aMetrics,
  // also if its line is dropped. aLoop and aMetrics must outlive the log.
  StreamLog(node::Loop& aLoop, Metrics& aMetrics, int aDescriptor);

  void Write(const char* aEvent, const Fields& aFields) override;
  // Writes as many buffered lines as the descriptor accepts without blocking.
  void Flush();

  // Returns the number of lines dropped since the start.
  std::uint64_t Dropped() const { return mDroppedLines; }

private:
  // Counts a line against the rate limits; returns false if it must be dropped.
  bool AdmitLine(const char* aEvent);
  void ScheduleFlush();

  node::Loop& mLoop;
  Metrics& mMetrics;
  const int mDescriptor;
  std::string mBuffer;
  bool mFlushPending = false;
  std::uint64_t mDroppedLines = 0;
  std::uint64_t mReportedDroppedLines = 0;
  base::Time mSecondStart;
  int mLinesThisSecond = 0;
  std::map<std::string, int, std::less<>> mEventsThisSecond;
};

} // namespace flamingoloom::event_loop
