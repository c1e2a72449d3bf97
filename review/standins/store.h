// The platform's table store. Operators and workers of the same process call it
// directly, the system over HTTP.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "review/standins/http_server.h"
#include "review/standins/runtime.h"

namespace review {

class Store
{
public:
  explicit Store(Runtime& aRuntime);

  std::string Address() const { return mServer->Address(); }
  // Writes or removes a row with an empty part.
  void Put(const std::string& aTable,
           const std::string& aKey,
           const Json& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  // While it is slow each call takes up to 60 times as long as usual, as drawn
  // for each call.
  void SetSlow(bool aSlow) { mSlow = aSlow; }
  // While it is down the store answers each call with 503 and does nothing.
  void SetDown(bool aDown);
  bool IsDown() const { return mDown; }

private:
  struct Row
  {
    std::string mValue;
    std::int64_t mVersion = 0;
    bool mDeleted = false;
  };

  using PartAndKey = std::pair<std::string, std::string>;

  struct Waiter
  {
    std::string mTable;
    std::int64_t mAfter = 0;
    Responder mRespond;
  };

  void Handle(const Request& aRequest, const Responder& aRespond);
  void Dispatch(const Request& aRequest, const Responder& aRespond);
  void Transact(const Json& aBody, const Responder& aRespond);
  Response Apply(const Json& aBody);
  void Get(std::map<std::string, std::string> aQuery,
           const Responder& aRespond);
  void Feed(std::map<std::string, std::string> aQuery,
            const Responder& aRespond);
  // Returns whether there are changes, and the response that lists them.
  std::pair<bool, Response> Changes(const std::string& aTable,
                                    std::int64_t aAfter) const;
  void WakeWaiters();
  Json Describe(const std::string& aTable,
                const PartAndKey& aPartAndKey,
                const Row& aRow) const;
  Response Reply(int aStatus, Json aBody) const;
  // How much longer than usual a call takes.
  double DelayMs();

  Runtime& mRuntime;
  std::shared_ptr<HttpServer> mServer;
  std::map<std::string, std::map<PartAndKey, Row>> mTables;
  std::map<std::string, double> mPartBusyUntilMs;
  std::list<Waiter> mWaiters;
  std::int64_t mVersion = 0;
  bool mDown = false;
  bool mSlow = false;
  std::mt19937 mRandom{ std::random_device{}() };
};

} // namespace review
