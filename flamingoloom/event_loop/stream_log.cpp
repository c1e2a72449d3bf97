#include "flamingoloom/event_loop/stream_log.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

#include <fmt/format.h>

namespace flamingoloom::event_loop {
namespace {

// Delay before buffered lines are written, so that one write carries several.
constexpr auto kFlushDelay = std::chrono::milliseconds(100);
// PIPE_BUF on Linux: the largest write to a pipe that is atomic.
constexpr std::size_t kMaxAtomicWriteBytes = 4096;

void AppendValue(std::string& aLine, const std::string& aValue)
{
  if (!aValue.empty() &&
      aValue.find_first_of(" \"=\\\n\r\t") == std::string::npos) {
    aLine += aValue;
    return;
  }
  aLine += '"';
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      aLine += '\\';
    }
    aLine += c == '\n' || c == '\r' ? ' ' : c;
  }
  aLine += '"';
}

} // namespace

StreamLog::StreamLog(node::Loop& aLoop, Metrics& aMetrics, int aDescriptor)
  : mLoop(aLoop)
  , mMetrics(aMetrics)
  , mDescriptor(aDescriptor)
{
  const int flags = fcntl(mDescriptor, F_GETFL);
  fcntl(mDescriptor, F_SETFL, flags | O_NONBLOCK);
}

bool StreamLog::AdmitLine(const char* aEvent)
{
  const auto now = mLoop.Now();
  if (now - mSecondStart >= std::chrono::seconds(1)) {
    mSecondStart = now;
    mLinesThisSecond = 0;
    mEventsThisSecond.clear();
  }
  const bool reserved = ++mEventsThisSecond[aEvent] <= kReservedLinesPerEvent;
  return (++mLinesThisSecond <= kLogLinesPerSecond || reserved) &&
         mBuffer.size() < kLogBufferBytes;
}

void StreamLog::Write(const char* aEvent, const Fields& aFields)
{
  mMetrics.CountEvent(aEvent);
  if (!AdmitLine(aEvent)) {
    ++mDroppedLines;
    return;
  }
  const auto unixMs = mLoop.UnixMs();
  if (mDroppedLines != mReportedDroppedLines) {
    mBuffer += fmt::format("time={}.{:03} event=log_lines_dropped count={}\n",
                           unixMs / 1000,
                           unixMs % 1000,
                           mDroppedLines - mReportedDroppedLines);
    mReportedDroppedLines = mDroppedLines;
  }
  fmt::format_to(std::back_inserter(mBuffer),
                 "time={}.{:03} event={}",
                 unixMs / 1000,
                 unixMs % 1000,
                 aEvent);
  for (const auto& [name, value] : aFields) {
    mBuffer += ' ';
    mBuffer += name;
    mBuffer += '=';
    AppendValue(mBuffer, value);
  }
  mBuffer += '\n';
  ScheduleFlush();
}

void StreamLog::Flush()
{
  while (!mBuffer.empty()) {
    // Each write consists of whole lines and is small enough to be atomic on a
    // pipe, so lines of several processes that share a pipe are not mixed.
    auto size = std::min(mBuffer.size(), kMaxAtomicWriteBytes);
    const auto lineEnd = mBuffer.rfind('\n', size - 1);
    if (lineEnd != std::string::npos) {
      size = lineEnd + 1;
    }
    const auto written = write(mDescriptor, mBuffer.data(), size);
    if (written <= 0) {
      if (written < 0 && errno == EINTR) {
        continue;
      }
      break;
    }
    mBuffer.erase(0, static_cast<std::size_t>(written));
  }
  if (!mBuffer.empty()) {
    ScheduleFlush();
  }
}

void StreamLog::ScheduleFlush()
{
  if (mFlushPending) {
    return;
  }
  mFlushPending = true;
  mLoop.After(kFlushDelay, [this] {
    mFlushPending = false;
    Flush();
  });
}

} // namespace flamingoloom::event_loop
