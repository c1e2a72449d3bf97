// Structured log lines ("time=... event=... key=value") on a descriptor.
//
// Lines are buffered and written without blocking. When lines come faster
// than kLinesPerSecond, or the reader does not keep up, lines are dropped and
// their number is logged. Not thread-safe.
#pragma once

#include <cstdint>
#include <string>

#include "flamingoloom/event_loop/metrics.h"
#include "flamingoloom/node/ports.h"

namespace flamingoloom::event_loop {

// Over the busiest second of the platform's days, and under 1% of an
// instance's processor time.
inline constexpr int kLogLinesPerSecond = 250;
inline constexpr std::size_t kLogBufferBytes = std::size_t{ 256 } * 1024;

class StreamLog : public node::EventLog
{
public:
  // The descriptor is made non-blocking. aLoop gives the time. Each line,
  // dropped or not, is counted in aMetrics.
  StreamLog(node::Loop& aLoop, Metrics& aMetrics, int aDescriptor);

  void Write(const char* aEvent, const Fields& aFields) override;
  // Writes what the descriptor takes.
  void Flush();

  std::uint64_t Dropped() const { return mDropped; }

private:
  bool MayWrite();
  void FlushLater();

  node::Loop& mLoop;
  Metrics& mMetrics;
  const int mDescriptor;
  std::string mBuffer;
  bool mFlushPending = false;
  std::uint64_t mDropped = 0;
  std::uint64_t mReportedDropped = 0;
  base::Time mSecondStart;
  int mLinesThisSecond = 0;
};

} // namespace flamingoloom::event_loop
