// Stub of the platform over HTTP (docs/design.md, section 9.2) with fault
// injection, for tests. The program platform_stand_in runs it as a process.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "flamingoloom/base/time.h"
#include "testing/standins/http_server.h"
#include "testing/standins/member_directory.h"
#include "testing/standins/table.h"

namespace flamingoloom::standins {

enum class StoreFault
{
  eUp,
  // The store rejects every request with 503; requests have no effect.
  eDown,
  // The store delays every request by PlatformFaults::mSlow.
  eSlow,
  // The store applies writes but drops their responses: every second write gets
  // 504, the others a response whose connection breaks off. Reads are not
  // affected.
  eDropsResponses,
};

struct PlatformFaults
{
  StoreFault mStore = StoreFault::eUp;
  // Age of the member list that GET /members returns.
  base::Duration mListLag{};
  // Delay of each request under StoreFault::eSlow.
  base::Duration mSlow = std::chrono::milliseconds(500);
};

class PlatformServer
{
public:
  explicit PlatformServer(PlatformFaults aFaults = {});

  // Starts to serve on aAddress ("ip:port", port 0 for any free one) and
  // returns the address with the actual port. Called at most once.
  base::Expected<std::string> Listen(const std::string& aAddress);
  // Replaces all faults. Thread-safe.
  void SetFaults(const PlatformFaults& aFaults);

private:
  using Handler = httplib::Server::Handler;

  // Returns a handler that calls aHandler under mMutex and injects the store's
  // current fault.
  Handler WithStoreFaults(bool aIsWrite, Handler aHandler);
  void AddTableRoutes();
  void AddObjectRoutes();
  void AddMemberRoutes();
  void AddFaultRoute();

  std::mutex mMutex;
  PlatformFaults mFaults;
  Table mTable;
  std::map<std::string, std::string> mObjects;
  MemberDirectory mMembers;
  int mDroppedResponses = 0;
  // The last member, so that it is destroyed first and no handler runs after
  // the state above is destroyed.
  HttpServer mServer;
};

} // namespace flamingoloom::standins
