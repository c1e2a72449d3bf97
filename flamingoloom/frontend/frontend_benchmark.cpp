// Measures the latency of a trivial request to the front end over loopback and
// prints it as one JSON document. The handler responds immediately and the
// client uses a plain socket, so that most of the latency is that of the
// server.
#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "flamingoloom/frontend/test_support.h"

namespace {

using namespace flamingoloom;

constexpr int kWarmUpRequests = 500;
constexpr int kRequests = 10000;

std::string MakeSubmission()
{
  std::string body =
    R"({"account":"a","kind":"quote","payload":"A4 x 100","waitMs":500})";
  return "POST /v1/requests HTTP/1.1\r\nHost: x\r\n"
         "Content-Type: application/json\r\n"
         "Authorization: Bearer key\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

double MeasureMicros(const frontend::test::RawClient& aClient,
                     const std::string& aRequest)
{
  auto start = std::chrono::steady_clock::now();
  aClient.Send(aRequest);
  if (!aClient.ReadSome().starts_with("HTTP/1.1 200")) {
    throw std::runtime_error("a request failed");
  }
  std::chrono::duration<double, std::micro> elapsed =
    std::chrono::steady_clock::now() - start;
  return elapsed.count();
}

} // namespace

int main()
{
  auto frontend = frontend::test::StartFrontend();
  frontend::test::RawClient client(*frontend);
  std::string request = MakeSubmission();
  std::vector<double> micros;
  for (int i = 0; i < kWarmUpRequests + kRequests; ++i) {
    double elapsed = MeasureMicros(client, request);
    if (i >= kWarmUpRequests) {
      micros.push_back(elapsed);
    }
  }
  std::sort(micros.begin(), micros.end());
  fmt::print("{{\"frontendRequestMicros\":{{\"requests\":{},\"median\":{:.1f},"
             "\"p99\":{:.1f}}}}}\n",
             kRequests,
             micros[kRequests / 2],
             micros[kRequests * 99 / 100]);
}
