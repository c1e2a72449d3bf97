#include "review/standins/store.h"

#include <algorithm>
#include <vector>

#include <boost/beast/core/detail/base64.hpp>

namespace review {
namespace {

// As in the settings of the small deployments.
constexpr double kTransactionMs = 3.0;
constexpr double kAnswerMs = 1.0;
constexpr std::size_t kMaxRows = 500;
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxRowBytes = 65536;

std::string EncodeBase64(const std::string& aBytes)
{
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(aBytes.size()), '\0');
  text.resize(base64::encode(text.data(), aBytes.data(), aBytes.size()));
  return text;
}

std::string DecodePercent(const std::string& aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

std::map<std::string, std::string> ParseQuery(const std::string& aTarget)
{
  std::map<std::string, std::string> query;
  auto at = aTarget.find('?');
  while (at != std::string::npos) {
    const auto next = aTarget.find('&', at + 1);
    const auto pair =
      aTarget.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    const auto equals = pair.find('=');
    query[pair.substr(0, equals)] =
      equals == std::string::npos ? "" : DecodePercent(pair.substr(equals + 1));
    at = next;
  }
  return query;
}

} // namespace

Store::Store(Runtime& aRuntime)
  : mRuntime(aRuntime)
  , mServer(std::make_shared<HttpServer>(
      aRuntime.Loop(),
      [this](const Request& aRequest, const Responder& aRespond) {
        Handle(aRequest, aRespond);
      }))
{
  mServer->Start();
}

void Store::Put(const std::string& aTable,
                const std::string& aKey,
                const Json& aValue)
{
  mTables[aTable][{ "", aKey }] = { EncodeBase64(aValue.dump()),
                                    ++mVersion,
                                    false };
  WakeWaiters();
}

void Store::Remove(const std::string& aTable, const std::string& aKey)
{
  mTables[aTable][{ "", aKey }] = { "", ++mVersion, true };
  WakeWaiters();
}

void Store::SetDown(bool aDown)
{
  mDown = aDown;
  if (!mDown) {
    return;
  }
  for (const auto& waiter : std::exchange(mWaiters, {})) {
    waiter.mRespond({ 503 });
  }
}

Response Store::Reply(int aStatus, Json aBody) const
{
  aBody["now-ms"] = static_cast<std::int64_t>(mRuntime.NowMs()) + 50000;
  return { aStatus, {}, aBody.dump() };
}

Json Store::Describe(const std::string& aTable,
                     const PartAndKey& aPartAndKey,
                     const Row& aRow) const
{
  Json row{ { "table", aTable },
            { "part", aPartAndKey.first },
            { "key", aPartAndKey.second },
            { "row-version", aRow.mVersion } };
  if (aRow.mDeleted) {
    row["deleted"] = true;
  } else {
    row["value"] = aRow.mValue;
  }
  return row;
}

void Store::Handle(const Request& aRequest, const Responder& aRespond)
{
  const auto respond = [this, aRespond](const Response& aResponse) {
    mRuntime.After(kAnswerMs, [aRespond, aResponse] { aRespond(aResponse); });
  };
  if (mDown) {
    respond({ 503 });
    return;
  }
  const double delayMs = DelayMs();
  if (delayMs > 0) {
    mRuntime.After(delayMs,
                   [this, aRequest, respond] { Dispatch(aRequest, respond); });
  } else {
    Dispatch(aRequest, respond);
  }
}

double Store::DelayMs()
{
  constexpr double kSlowFactor = 60;
  constexpr double kUsualMs = 4;
  return mSlow ? std::uniform_real_distribution<>(
                   0, (kSlowFactor - 1) * kUsualMs)(mRandom)
               : 0;
}

void Store::Dispatch(const Request& aRequest, const Responder& aRespond)
{
  const auto path = aRequest.mTarget.substr(0, aRequest.mTarget.find('?'));
  if (path == "/rows-tx") {
    Transact(Json::parse(aRequest.mBody), aRespond);
  } else if (path == "/rows-get") {
    Get(ParseQuery(aRequest.mTarget), aRespond);
  } else if (path == "/rows-feed") {
    Feed(ParseQuery(aRequest.mTarget), aRespond);
  } else {
    aRespond({ 404 });
  }
}

void Store::Transact(const Json& aBody, const Responder& aRespond)
{
  std::size_t entries = 0;
  std::string part;
  for (const char* list : { "precondition", "write", "remove" }) {
    for (const auto& entry : aBody.at(list)) {
      part = entry.at("part");
      ++entries;
      if (entry.contains("value") &&
          entry.at("value").get<std::string>().size() > kMaxRowBytes) {
        aRespond({ 400 });
        return;
      }
    }
  }
  if (entries > kMaxEntries) {
    aRespond({ 400 });
    return;
  }
  // The transactions of one part follow one another.
  auto& busyUntilMs = mPartBusyUntilMs[part];
  busyUntilMs = std::max(busyUntilMs, mRuntime.NowMs()) + kTransactionMs;
  mRuntime.After(busyUntilMs - mRuntime.NowMs(), [this, aBody, aRespond] {
    aRespond(mDown ? Response{ 503 } : Apply(aBody));
  });
}

Response Store::Apply(const Json& aBody)
{
  bool holds = true;
  Json current = Json::array();
  for (const auto& entry : aBody.at("precondition")) {
    const std::string table = entry.at("table");
    const PartAndKey partAndKey{ entry.at("part"), entry.at("key") };
    const auto& rows = mTables[table];
    const auto found = rows.find(partAndKey);
    const bool exists = found != rows.end() && !found->second.mDeleted;
    const auto version = exists ? found->second.mVersion : 0;
    holds = holds && version == entry.at("row-version").get<std::int64_t>();
    Row row{ exists ? found->second.mValue : "", version, !exists };
    current.push_back(Describe(table, partAndKey, row));
  }
  if (!holds) {
    return Reply(412, { { "rows", current }, { "row-version", mVersion } });
  }
  ++mVersion;
  for (const auto& entry : aBody.at("write")) {
    mTables[entry.at("table")][{ entry.at("part"), entry.at("key") }] = {
      entry.at("value"), mVersion, false
    };
  }
  for (const auto& entry : aBody.at("remove")) {
    mTables[entry.at("table")][{ entry.at("part"), entry.at("key") }] = {
      "", mVersion, true
    };
  }
  WakeWaiters();
  return Reply(200, { { "row-version", mVersion } });
}

void Store::Get(std::map<std::string, std::string> aQuery,
                const Responder& aRespond)
{
  Json listed = Json::array();
  bool more = false;
  const auto& table = aQuery["table"];
  for (const auto& [partAndKey, row] : mTables[table]) {
    const bool inRange =
      partAndKey.first == aQuery["part"] &&
      partAndKey.second >= aQuery["from"] &&
      (aQuery["target"].empty() || partAndKey.second < aQuery["target"]);
    if (!inRange || row.mDeleted) {
      continue;
    }
    if (listed.size() == kMaxRows) {
      more = true;
      break;
    }
    listed.push_back(Describe(table, partAndKey, row));
  }
  aRespond(Reply(
    200,
    { { "rows", listed }, { "has-more", more }, { "row-version", mVersion } }));
}

std::pair<bool, Response> Store::Changes(const std::string& aTable,
                                         std::int64_t aAfter) const
{
  std::vector<std::pair<std::int64_t, Json>> changes;
  const auto table = mTables.find(aTable);
  if (table != mTables.end()) {
    for (const auto& [partAndKey, row] : table->second) {
      if (row.mVersion > aAfter) {
        changes.emplace_back(row.mVersion, Describe(aTable, partAndKey, row));
      }
    }
  }
  std::sort(
    changes.begin(), changes.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  // All rows of one version are listed together.
  auto version = mVersion;
  if (changes.size() > kMaxRows) {
    version = changes[kMaxRows].first - 1;
  }
  Json rows = Json::array();
  for (const auto& [changed, row] : changes) {
    if (changed <= version) {
      rows.push_back(row);
    }
  }
  const bool any = !rows.empty();
  return {
    any, Reply(200, { { "rows", std::move(rows) }, { "row-version", version } })
  };
}

void Store::Feed(std::map<std::string, std::string> aQuery,
                 const Responder& aRespond)
{
  const auto after = std::stoll(aQuery["after"]);
  const auto waitMs = std::stod("0" + aQuery["wait-ms"]);
  const auto [any, response] = Changes(aQuery["table"], after);
  if (any || waitMs <= 0) {
    aRespond(response);
    return;
  }
  // Answers once: with the first change, at the end of the wait, or when the
  // store goes down.
  const auto done = std::make_shared<bool>(false);
  const auto once = [done, aRespond](const Response& aResponse) {
    if (!std::exchange(*done, true)) {
      aRespond(aResponse);
    }
  };
  mWaiters.push_back({ aQuery["table"], after, once });
  mRuntime.After(waitMs, [this, done, once, after, table = aQuery["table"]] {
    if (!*done) {
      once(Changes(table, after).second);
    }
  });
}

void Store::WakeWaiters()
{
  for (auto waiter = mWaiters.begin(); waiter != mWaiters.end();) {
    const auto [any, response] = Changes(waiter->mTable, waiter->mAfter);
    if (any) {
      const auto respond = waiter->mRespond;
      waiter = mWaiters.erase(waiter);
      respond(response);
    } else {
      ++waiter;
    }
  }
}

} // namespace review
