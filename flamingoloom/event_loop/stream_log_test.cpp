#include <doctest/doctest.h>

#include <string>
#include <unistd.h>
#include <vector>

#include "flamingoloom/event_loop/stream_log.h"

namespace flamingoloom::event_loop {
namespace {

struct FakeLoop : node::Loop
{
  base::Time Now() const override { return mNow; }
  std::int64_t UnixMs() const override { return 1500; }
  void After(base::Duration, std::function<void()>) override {}

  base::Time mNow{ std::chrono::seconds(10) };
};

std::string ReadAll(int aDescriptor)
{
  std::string text(1 << 20, ' ');
  const auto size = read(aDescriptor, text.data(), text.size());
  text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  return text;
}

// Guards against a value with spaces, quotes or newlines that a log parser
// would read as several fields or several lines.
TEST_CASE("A value with spaces or newlines is quoted and stays on one line")
{
  FakeLoop loop;
  int pipeEnds[2];
  REQUIRE(pipe(pipeEnds) == 0);
  Metrics metrics;
  StreamLog log(loop, metrics, pipeEnds[1]);
  log.Write("event", { { "a", "x" }, { "b", "two\nlines \"q\"" } });
  log.Flush();
  CHECK(ReadAll(pipeEnds[0]) ==
        "time=1.500 event=event a=x b=\"two lines \\\"q\\\"\"\n");
}

// Guards against a log whose volume and CPU cost grow with the load, and
// against lines that are dropped without a trace.
TEST_CASE("Lines over the rate limit are dropped and counted")
{
  FakeLoop loop;
  int pipeEnds[2];
  REQUIRE(pipe(pipeEnds) == 0);
  Metrics metrics;
  StreamLog log(loop, metrics, pipeEnds[1]);
  for (int i = 0; i < kLogLinesPerSecond + 7; ++i) {
    log.Write("e", {});
  }
  CHECK(log.Dropped() == 7);
  loop.mNow += std::chrono::seconds(1);
  log.Write("later", {});
  log.Flush();
  CHECK(ReadAll(pipeEnds[0]).find("event=log_lines_dropped count=7") !=
        std::string::npos);
}

// Guards against the failure of a job that leaves no line, as the lines of many
// tasks have used up the second.
TEST_CASE("A rare event is logged beside more lines than the rate limit")
{
  FakeLoop loop;
  int pipeEnds[2];
  REQUIRE(pipe(pipeEnds) == 0);
  Metrics metrics;
  StreamLog log(loop, metrics, pipeEnds[1]);
  for (int i = 0; i < kLogLinesPerSecond * 2; ++i) {
    log.Write("frequent", {});
  }
  log.Write("rare", {});
  log.Flush();
  CHECK(log.Dropped() == kLogLinesPerSecond);
  CHECK(ReadAll(pipeEnds[0]).find("event=rare") != std::string::npos);
}

} // namespace
} // namespace flamingoloom::event_loop
