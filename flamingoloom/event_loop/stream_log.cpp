#include "flamingoloom/event_loop/stream_log.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

#include <fmt/format.h>

namespace flamingoloom::event_loop {
namespace {

// Lines wait this long for others, so that one write carries several.
constexpr auto kFlushDelay = std::chrono::milliseconds(100);
// PIPE_BUF on Linux.
constexpr std::size_t kPipeBytes = 4096;

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

bool StreamLog::MayWrite()
{
  const auto now = mLoop.Now();
  if (now - mSecondStart >= std::chrono::seconds(1)) {
    mSecondStart = now;
    mLinesThisSecond = 0;
  }
  return ++mLinesThisSecond <= kLogLinesPerSecond &&
         mBuffer.size() < kLogBufferBytes;
}

void StreamLog::Write(const char* aEvent, const Fields& aFields)
{
  mMetrics.CountEvent(aEvent);
  if (!MayWrite()) {
    ++mDropped;
    return;
  }
  const auto unixMs = mLoop.UnixMs();
  if (mDropped != mReportedDropped) {
    mBuffer += fmt::format("time={}.{:03} event=log_lines_dropped count={}\n",
                           unixMs / 1000,
                           unixMs % 1000,
                           mDropped - mReportedDropped);
    mReportedDropped = mDropped;
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
  FlushLater();
}

void StreamLog::Flush()
{
  while (!mBuffer.empty()) {
    // Whole lines, and few enough bytes that a pipe takes them in one piece:
    // lines of several processes on one pipe stay apart.
    auto size = std::min(mBuffer.size(), kPipeBytes);
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
    FlushLater();
  }
}

void StreamLog::FlushLater()
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
