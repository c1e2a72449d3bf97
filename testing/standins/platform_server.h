// The platform over HTTP (docs/design.md, section 9.2) with faults that can be
// switched on. Used by platform_stand_in and within tests.
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
  // Answers 503 at once; requests have no effect.
  eDown,
  // Answers after a delay.
  eSlow,
  // Applies writes; each second one is answered 504, the others with an
  // answer that breaks off. Reads are not affected.
  eLosesAnswers,
};

struct PlatformFaults
{
  StoreFault mStore = StoreFault::eUp;
  base::Duration mListLag{};
  base::Duration mSlow = std::chrono::milliseconds(500);
};

class PlatformServer
{
public:
  explicit PlatformServer(PlatformFaults aFaults = {});

  base::Expected<std::string> Listen(const std::string& aAddress);
  // Thread-safe.
  void SetFaults(const PlatformFaults& aFaults);

private:
  using Handler = httplib::Server::Handler;

  // aHandler as affected by the store's faults.
  Handler StoreHandler(bool aIsWrite, Handler aHandler);
  void AddTableRoutes();
  void AddObjectRoutes();
  void AddMemberRoutes();
  void AddFaultRoute();

  std::mutex mMutex;
  PlatformFaults mFaults;
  Table mTable;
  std::map<std::string, std::string> mObjects;
  MemberDirectory mMembers;
  int mLostAnswers = 0;
  // Last, so that no handler outlives the state.
  HttpServer mServer;
};

} // namespace flamingoloom::standins
