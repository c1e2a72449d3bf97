#include "flamingoloom/cli/trace_command.h"

#include <algorithm>
#include <filesystem>
#include <set>
#include <sstream>
#include <string_view>
#include <tuple>

#include <fmt/format.h>

#include "flamingoloom/cli/files.h"

namespace flamingoloom::cli {
namespace {

// A line "time=T event=E key=value ..." in the log of an instance.
struct LogLine
{
  std::string mTime;
  std::string mInstance;
  std::string mEvent;
  std::string mText;

  friend bool operator<(const LogLine& aLeft, const LogLine& aRight)
  {
    return std::tie(aLeft.mTime, aLeft.mInstance) <
           std::tie(aRight.mTime, aRight.mInstance);
  }
};

// Events that affect all jobs, whichever instance logged them.
constexpr std::string_view kClusterEvents[] = {
  "lead_taken", "lead_lost", "lead_superseded", "lead_released", "jobs_loaded",
};
// Events that affect how the instance that logged them handles its jobs.
constexpr std::string_view kInstanceEvents[] = {
  "started",         "leaving",     "store_lost",        "store_regained",
  "config_in_force", "data_centre", "log_lines_dropped",
};

template <std::size_t Size>
bool IsOneOf(const std::string& aEvent, const std::string_view (&aList)[Size])
{
  return std::find(std::begin(aList), std::end(aList), aEvent) !=
         std::end(aList);
}

// Returns the value of aKey up to the next space; empty if the key is missing.
std::string FieldValue(const std::string& aText, const std::string& aKey)
{
  const auto start = (" " + aText).find(" " + aKey + "=");
  if (start == std::string::npos) {
    return {};
  }
  const auto from = start + aKey.size() + 1;
  return aText.substr(from, aText.find(' ', from) - from);
}

base::Expected<std::vector<LogLine>> ReadLogs(const std::string& aFolder)
{
  std::error_code error;
  std::vector<LogLine> lines;
  for (const auto& file : std::filesystem::directory_iterator(aFolder, error)) {
    if (!file.is_regular_file()) {
      continue;
    }
    const auto text = ReadFile(file.path().string());
    if (!text) {
      return tl::unexpected(text.error());
    }
    std::istringstream stream(*text);
    for (std::string line; std::getline(stream, line);) {
      // Lines without these keys are other output of the process.
      auto time = FieldValue(line, "time");
      auto event = FieldValue(line, "event");
      if (!time.empty() && !event.empty()) {
        lines.push_back({ std::move(time),
                          file.path().stem().string(),
                          std::move(event),
                          std::move(line) });
      }
    }
  }
  if (error) {
    return base::MakeError(
      base::ErrorCode::eNotFound, "read logs", aFolder, error.message());
  }
  std::stable_sort(lines.begin(), lines.end());
  return lines;
}

// Returns the lines of the job and, between the first and the last of them, the
// events of its servers, of the instances that logged the job, and of the whole
// cluster.
std::vector<LogLine> TimelineOf(const std::string& aJob,
                                const std::vector<LogLine>& aLines)
{
  const auto isOfJob = [&aJob](const LogLine& aLine) {
    return FieldValue(aLine.mText, "job") == aJob ||
           FieldValue(aLine.mText, "key") == aJob;
  };
  const auto first = std::find_if(aLines.begin(), aLines.end(), isOfJob);
  if (first == aLines.end()) {
    return {};
  }
  const auto last = std::find_if(aLines.rbegin(), aLines.rend(), isOfJob);
  std::set<std::string> servers;
  std::set<std::string> instances;
  for (auto line = first; line != last.base(); ++line) {
    if (isOfJob(*line)) {
      servers.insert(FieldValue(line->mText, "server"));
      instances.insert(line->mInstance);
    }
  }
  servers.erase("");
  std::vector<LogLine> timeline;
  for (auto line = first; line != last.base(); ++line) {
    const bool isStateChange = IsOneOf(line->mEvent, kClusterEvents) ||
                               (IsOneOf(line->mEvent, kInstanceEvents) &&
                                instances.count(line->mInstance) > 0);
    const bool isOfServer =
      FieldValue(line->mText, "job").empty() &&
      servers.count(FieldValue(line->mText, "server")) > 0;
    if (isOfJob(*line) || isStateChange || isOfServer) {
      timeline.push_back(*line);
    }
  }
  return timeline;
}

base::Expected<ExitCode> Trace(Context& aContext, const Arguments& aArguments)
{
  const auto job = aArguments.Text("job");
  const auto lines = ReadLogs(aArguments.Text("--logs"));
  if (!lines) {
    return tl::unexpected(lines.error());
  }
  const auto timeline = TimelineOf(job, *lines);
  if (timeline.empty()) {
    return base::MakeError(base::ErrorCode::eNotFound,
                           "trace job",
                           aArguments.Text("--logs"),
                           "no line names job " + job);
  }
  for (const auto& line : timeline) {
    aContext.mConsole.mOut << fmt::format(
      "{} {}\n", line.mInstance, line.mText);
  }
  return ExitCode::eDone;
}

} // namespace

Commands TraceCommands()
{
  return { { { "trace" },
             "Print what all instances logged about a job, in order of time, "
             "with the events of servers and instances that affect it",
             "flamingoloom trace 5c0e7a21d94b36f8 --logs /tmp/logs",
             { { "job", OptionType::eText, "job id", true },
               { "--logs",
                 OptionType::eText,
                 "folder with one log file for each instance",
                 true } },
             false,
             Trace } };
}

} // namespace flamingoloom::cli
