// Opens connections to a port of loopback, sends the same form of request on
// all of them at the same time, and leaves them open for some seconds:
//
//   raw_crowd PORT CONNECTIONS FORM
//
// FORM is unfinished_bodies, nested_bodies, trailers, chunk_extensions,
// headers, unfinished_messages or idle.
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <thread>

// The peers check their sockets with the assertions of doctest.
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "testing/hostile_callers/raw_peers.h"

namespace flamingoloom::testing::hostile_callers {
namespace {

constexpr std::size_t kMegabyte = 1024UL * 1024;
// The default limit of a body.
constexpr std::size_t kLongestBody = kMegabyte;
constexpr std::size_t kBytesOfSender = 16 * kMegabyte;
constexpr auto kReadingTime = std::chrono::seconds(3);

// The default limit of a message between instances.
constexpr std::size_t kWordBytes = 8;
constexpr std::uint32_t kLongestMessageWords = kMegabyte / kWordBytes;

// What is sent once, and then again and again.
struct Form
{
  std::string mHead;
  std::string mPart;
};

std::string Head(const std::string& aFields)
{
  return "POST /v1/requests HTTP/1.1\r\nHost: localhost\r\n"
         "Content-Type: application/json\r\n" +
         aFields + "\r\n";
}

std::string WithLength(std::size_t aBytes)
{
  return Head("Content-Length: " + std::to_string(aBytes) + "\r\n");
}

std::string MessageHeader(std::uint32_t aWords)
{
  // The number of segments less one, and the size of the first one, in little
  // endian.
  std::string header(kWordBytes, '\0');
  for (std::size_t i = 0; i < sizeof aWords; ++i) {
    header[sizeof aWords + i] = static_cast<char>(aWords >> (8 * i) & 0xff);
  }
  return header;
}

std::map<std::string, Form> Forms()
{
  const auto chunked = Head("Transfer-Encoding: chunked\r\n");
  std::string nested = "[[]";
  while (nested.size() + 4 < kLongestBody) {
    nested += ",[]";
  }
  nested += "]";
  return {
    { "idle", {} },
    { "unfinished_bodies",
      { WithLength(kLongestBody) + std::string(kLongestBody - 1, ' '), "" } },
    { "nested_bodies", { WithLength(nested.size()) + nested, "" } },
    { "trailers",
      { chunked + "2\r\n{}\r\n0\r\n",
        "T: " + std::string(8000, 't') + "\r\n" } },
    { "chunk_extensions", { chunked + "2;a=", std::string(8000, 'e') } },
    // A message of one segment in the framing of Cap'n Proto, without its last
    // word.
    { "unfinished_messages",
      { MessageHeader(kLongestMessageWords) +
          std::string((kLongestMessageWords - 1) * kWordBytes, 'm'),
        "" } },
    { "headers",
      { "GET /v1/requests HTTP/1.1\r\n",
        "H: " + std::string(8000, 'h') + "\r\n" } },
  };
}

int Run(int aPort, int aConnections, const std::string& aForm)
{
  const auto forms = Forms();
  const auto form = forms.find(aForm);
  if (form == forms.end()) {
    std::fprintf(stderr, "no such form: %s\n", aForm.c_str());
    return 2;
  }
  const auto callers =
    PlayCrowd(aPort, aConnections, [&form](RawCaller& aCaller) {
      if (aCaller.Send(form->second.mHead) && !form->second.mPart.empty()) {
        aCaller.Repeat(form->second.mPart, kBytesOfSender);
      }
    });
  std::this_thread::sleep_for(kReadingTime);
  return 0;
}

} // namespace
} // namespace flamingoloom::testing::hostile_callers

int main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    std::fprintf(stderr, "usage: raw_crowd PORT CONNECTIONS FORM\n");
    return 2;
  }
  doctest::Context context;
  context.setAsDefaultForAssertsOutOfTestCases();
  return flamingoloom::testing::hostile_callers::Run(
    std::atoi(aArguments[1]), std::atoi(aArguments[2]), aArguments[3]);
}
