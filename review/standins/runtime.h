// What all stand-ins of one run share: the event loop, the clock, the record.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

class Runtime
{
public:
  explicit Runtime(const std::string& aRecordPath);

  boost::asio::io_context& Loop() { return mLoop; }
  // Milliseconds since the run began.
  double NowMs() const;
  static std::int64_t UnixMs();
  void After(double aMs, std::function<void()> aThen);
  // Writes one line to the record.
  void Record(const std::string& aLine);

private:
  boost::asio::io_context mLoop{ 1 };
  std::chrono::steady_clock::time_point mStart;
  std::ofstream mRecord;
};

} // namespace review
