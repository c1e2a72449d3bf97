#include "review/cluster/cluster.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <openssl/evp.h>

namespace cluster {
namespace {

constexpr const char* kHost = "shop.example";
constexpr const char* kKey = "d4a3hwrr6x73d3zji9n7";
constexpr const char* kService = "pontun";
constexpr int kQueues = 3;
constexpr double kBeatMs = 1500;
constexpr int kMissedBeats = 3;

std::string Prefix(int aQueue)
{
  return "/q" + std::to_string(aQueue) + "/";
}

std::string Encode64(const std::string& aBytes)
{
  std::string text(4 * ((aBytes.size() + 2) / 3) + 1, '\0');
  text.resize(static_cast<std::size_t>(
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<const unsigned char*>(aBytes.data()),
                    static_cast<int>(aBytes.size()))));
  return text;
}

std::string Decode64(const std::string& aText)
{
  std::string bytes(aText.size() / 4 * 3 + 3, '\0');
  int size =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    reinterpret_cast<const unsigned char*>(aText.data()),
                    static_cast<int>(aText.size()));
  for (std::size_t i = aText.size(); i > 0 && aText[i - 1] == '='; --i) {
    --size;
  }
  bytes.resize(static_cast<std::size_t>(std::max(0, size)));
  return bytes;
}

std::map<std::string, std::string> Query(const std::string& aTarget)
{
  std::map<std::string, std::string> query;
  std::size_t from = aTarget.find('?');
  while (from != std::string::npos && from < aTarget.size()) {
    const auto to = aTarget.find('&', ++from);
    const auto pair = aTarget.substr(from, to - from);
    const auto equals = pair.find('=');
    std::string value;
    for (std::size_t i = equals + 1; i < pair.size(); ++i) {
      if (pair[i] == '%') {
        value +=
          static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        value += pair[i];
      }
    }
    query[pair.substr(0, equals)] = value;
    from = to;
  }
  return query;
}

std::string Digits(double aMs)
{
  return std::to_string(static_cast<long long>(aMs));
}

} // namespace

double NowMs()
{
  static const auto sStart = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(
           std::chrono::steady_clock::now() - sStart)
    .count();
}

void SleepMs(double aMs)
{
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(aMs));
}

std::int64_t UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

Record::Record(const std::string& aPath)
  : mFile(std::fopen(aPath.c_str(), "w"))
{
  if (mFile == nullptr) {
    std::perror(aPath.c_str());
    std::_Exit(2);
  }
}

void Record::Line(const std::string& aText)
{
  const std::lock_guard lock(mMutex);
  std::fprintf(mFile, "%9.1f %s\n", NowMs(), aText.c_str());
  std::fflush(mFile);
}

Timers::Timers()
{
  std::thread([this] {
    std::unique_lock lock(mMutex);
    for (;;) {
      if (mDue.empty()) {
        mChanged.wait(lock);
        continue;
      }
      const double wait = mDue.begin()->first - NowMs();
      if (wait > 0) {
        mChanged.wait_for(lock,
                          std::chrono::duration<double, std::milli>(wait));
        continue;
      }
      auto then = std::move(mDue.begin()->second);
      mDue.erase(mDue.begin());
      lock.unlock();
      then();
      lock.lock();
    }
  }).detach();
}

void Timers::After(double aMs, std::function<void()> aThen)
{
  const std::lock_guard lock(mMutex);
  mDue.emplace(NowMs() + aMs, std::move(aThen));
  mChanged.notify_one();
}

// Store
// ------------------------------------------------------------------------

Store::Store(Record& aRecord)
  : mRecord(aRecord)
  , mServer([this](const Request& aRequest) { return Handle(aRequest); })
{
  mServer.Start();
}

void Store::Write(const Key& aKey, std::optional<std::string> aValue)
{
  auto& row = mRows[aKey];
  if (row.mVersion > 0) {
    auto& keys = mByVersion[row.mVersion];
    keys.erase(aKey);
    if (keys.empty()) {
      mByVersion.erase(row.mVersion);
    }
  }
  row = { aValue.value_or(""), mVersion, !aValue.has_value() };
  mByVersion[mVersion].insert(aKey);
}

void Store::Put(const std::string& aTable,
                const std::string& aKey,
                const Json& aValue)
{
  const std::lock_guard lock(mMutex);
  ++mVersion;
  Write({ aTable, "", aKey }, Encode64(aValue.dump()));
  mChanged.notify_all();
}

void Store::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  ++mVersion;
  Write({ aTable, "", aKey }, std::nullopt);
  mChanged.notify_all();
}

void Store::SetOnTransaction(OnTransaction aCall)
{
  const std::lock_guard lock(mMutex);
  mOnTransaction = std::move(aCall);
}

std::string Store::Value(const std::string& aTable,
                         const std::string& aKey) const
{
  const std::lock_guard lock(mMutex);
  for (const auto& [key, row] : mRows) {
    if (key[0] == aTable && key[2] == aKey && !row.mDeleted) {
      return Decode64(row.mValue);
    }
  }
  return "";
}

Json Store::Encode(const Key& aKey, const Row& aRow) const
{
  Json row{ { "table", aKey[0] },
            { "part", aKey[1] },
            { "key", aKey[2] },
            { "row-version", aRow.mVersion } };
  if (aRow.mDeleted) {
    row["deleted"] = true;
  } else {
    row["value"] = aRow.mValue;
  }
  return row;
}

Json Store::Frame() const
{
  constexpr double kFirstMs = 50000;
  return { { "row-version", mVersion },
           { "now-ms", static_cast<std::int64_t>(kFirstMs + NowMs()) } };
}

Response Store::Handle(const Request& aRequest)
{
  SleepMs(mAnswerMs / 2);
  const auto path = aRequest.mTarget.substr(0, aRequest.mTarget.find('?'));
  Response response{ 400, "{}" };
  if (path == "/rows-tx") {
    response = Transact(aRequest);
  } else if (path == "/rows-get") {
    response = Get(Query(aRequest.mTarget));
  } else if (path == "/rows-feed") {
    response = Feed(Query(aRequest.mTarget));
  }
  SleepMs(mAnswerMs / 2);
  return response;
}

Response Store::Transact(const Request& aRequest)
{
  const Json body = Json::parse(aRequest.mBody);
  const auto keyOf = [](const Json& aEntry) {
    return Key{ aEntry.at("table"), aEntry.at("part"), aEntry.at("key") };
  };
  OnTransaction call;
  std::map<std::string, std::string> written;
  Json answer;
  {
    const std::lock_guard lock(mMutex);
    bool holds = true;
    Json current = Json::array();
    for (const auto& entry : body.at("precondition")) {
      const auto row = mRows.find(keyOf(entry));
      const bool exists = row != mRows.end() && !row->second.mDeleted;
      const std::int64_t version = exists ? row->second.mVersion : 0;
      holds = holds && version == entry.at("row-version");
      Json shown = exists ? Encode(row->first, row->second)
                          : Json{ { "table", entry.at("table") },
                                  { "part", entry.at("part") },
                                  { "key", entry.at("key") },
                                  { "row-version", 0 } };
      current.push_back(std::move(shown));
    }
    if (!holds) {
      answer = Frame();
      answer["rows"] = std::move(current);
      return { 412, answer.dump() };
    }
    ++mVersion;
    for (const auto& entry : body.at("write")) {
      const auto key = keyOf(entry);
      Write(key, entry.at("value").get<std::string>());
      written[key[0] + "/" + key[2]] = Decode64(entry.at("value"));
    }
    for (const auto& entry : body.at("remove")) {
      Write(keyOf(entry), std::nullopt);
    }
    answer = Frame();
    mChanged.notify_all();
    call = mOnTransaction;
  }
  if (call) {
    call(written);
  }
  return { 200, answer.dump() };
}

Response Store::Get(const std::map<std::string, std::string>& aQuery)
{
  constexpr std::size_t kMaxRows = 500;
  const auto text = [&](const char* aName) {
    const auto found = aQuery.find(aName);
    return found == aQuery.end() ? std::string() : found->second;
  };
  const std::lock_guard lock(mMutex);
  Json answer = Frame();
  Json rows = Json::array();
  bool more = false;
  const auto target = text("target");
  for (auto row =
         mRows.lower_bound({ text("table"), text("part"), text("from") });
       row != mRows.end() && row->first[0] == text("table") &&
       row->first[1] == text("part") &&
       (target.empty() || row->first[2] < target);
       ++row) {
    if (row->second.mDeleted) {
      continue;
    }
    if (rows.size() == kMaxRows) {
      more = true;
      break;
    }
    rows.push_back(Encode(row->first, row->second));
  }
  answer["rows"] = std::move(rows);
  answer["has-more"] = more;
  return { 200, answer.dump() };
}

Response Store::Feed(const std::map<std::string, std::string>& aQuery)
{
  constexpr std::size_t kMaxRows = 500;
  const auto table = aQuery.at("table");
  const std::int64_t after = std::stoll(aQuery.at("after"));
  const double until =
    NowMs() +
    (aQuery.count("wait-ms") > 0 ? std::stod(aQuery.at("wait-ms")) : 0);
  std::unique_lock lock(mMutex);
  for (;;) {
    Json rows = Json::array();
    std::int64_t last = mVersion;
    for (auto entry = mByVersion.upper_bound(after); entry != mByVersion.end();
         ++entry) {
      if (rows.size() >= kMaxRows) {
        last = std::prev(entry)->first;
        break;
      }
      for (const auto& key : entry->second) {
        if (key[0] == table) {
          rows.push_back(Encode(key, mRows.at(key)));
        }
      }
    }
    const double left = until - NowMs();
    if (!rows.empty() || left <= 0) {
      Json answer = Frame();
      answer["row-version"] = last;
      answer["rows"] = std::move(rows);
      return { 200, answer.dump() };
    }
    mChanged.wait_for(lock, std::chrono::duration<double, std::milli>(left));
  }
}

// Workers
// ----------------------------------------------------------------------

Worker::Worker(Workers& aAll,
               std::string aId,
               std::string aZone,
               std::string aRack)
  : mAll(aAll)
  , mId(std::move(aId))
  , mZone(std::move(aZone))
  , mRack(std::move(aRack))
  , mServer([this](const Request& aRequest) { return Handle(aRequest); })
{
  Restart();
}

std::int64_t Worker::ClockMs() const
{
  constexpr double kFirstMs = 1000;
  return static_cast<std::int64_t>(kFirstMs + NowMs() - mClockStart);
}

void Worker::Restart()
{
  const std::lock_guard lock(mAll.mMutex);
  ++mLife;
  mUp = true;
  mClockStart = NowMs();
  mBorn = UnixMs();
  mSequence = mFence = mLeaseUntil = mLastEnd = 0;
  mRuns.clear();
  mPast.clear();
  mEnds.clear();
  mAll.mRecord.Line("worker " + mId + " starts, born " + std::to_string(mBorn));
  mServer.Start();
  Beat(mLife);
  WatchLease(mLife);
}

void Worker::Crash()
{
  const std::lock_guard lock(mAll.mMutex);
  mUp = false;
  ++mLife;
  for (const auto& [task, run] : mRuns) {
    auto& seen = mAll.mSeen[run.mSeen];
    seen.mEndMs = NowMs();
    seen.mHow = "lost";
  }
  mRuns.clear();
  mAll.mRecord.Line("worker " + mId + " crashes");
  mServer.Crash();
  mAll.mChanged.notify_all();
  mAll.mTimers.After(kBeatMs * kMissedBeats, [this, life = mLife] {
    const std::lock_guard again(mAll.mMutex);
    if (life == mLife) {
      mAll.mStore.Remove("servers", mId);
    }
  });
}

void Worker::SetAnswerMs(const std::string& aTarget, double aMs)
{
  const std::lock_guard lock(mAll.mMutex);
  mAnswerMs[aTarget] = aMs;
}

bool Worker::Runs(const std::string& aTask) const
{
  const std::lock_guard lock(mAll.mMutex);
  return mRuns.count(aTask) > 0;
}

bool Worker::IsIdle() const
{
  const std::lock_guard lock(mAll.mMutex);
  return mRuns.empty();
}

void Worker::Beat(int aLife)
{
  const std::lock_guard lock(mAll.mMutex);
  if (aLife != mLife) {
    return;
  }
  mAll.mStore.Put("servers",
                  mId,
                  { { "service", kService },
                    { "address", mServer.Address() },
                    { "zone", mZone },
                    { "version", "v1" },
                    { "slots", 8 },
                    { "state", "ready" },
                    { "cold-remaining-ms", 0 },
                    { "capacity",
                      { { "cpu", 64000 },
                        { "requested-memory-mb", 262144 },
                        { "gpus", 8 } } },
                    { "labels", { "a", mRack } },
                    { "clock-ms", ClockMs() },
                    { "born", mBorn },
                    { "sequence", ++mSequence } });
  mAll.mTimers.After(kBeatMs, [this, aLife] { Beat(aLife); });
}

void Worker::WatchLease(int aLife)
{
  constexpr double kLookMs = 10;
  const std::lock_guard lock(mAll.mMutex);
  if (aLife != mLife) {
    return;
  }
  if (!mRuns.empty() && ClockMs() > mLeaseUntil) {
    const auto runs = mRuns;
    for (const auto& [task, run] : runs) {
      EndRun(task, run.mRun, "lapsed");
    }
  }
  mAll.mTimers.After(kLookMs, [this, aLife] { WatchLease(aLife); });
}

Response Worker::Reply(int aStatus, Json aBody) const
{
  aBody["clock-ms"] = ClockMs();
  aBody["born"] = mBorn;
  return { aStatus, aBody.dump() };
}

Response Worker::Handle(const Request& aRequest)
{
  std::unique_lock lock(mAll.mMutex);
  const int life = mLife;
  if (mCut) {
    // Held until the caller has given up.
    while (mCut && life == mLife) {
      mAll.mChanged.wait_for(lock, std::chrono::milliseconds(20));
    }
    return { 0, "", true };
  }
  const auto expected = aRequest.mHeaders.find("expected-instance");
  if (expected != aRequest.mHeaders.end() && expected->second != mId) {
    return { 421, "{}" };
  }
  const Json body = Json::parse(aRequest.mBody);
  if (std::rand() < mLateShare * RAND_MAX) {
    const double ms = 2000.0 + std::rand() % 10000;
    mAll.mRecord.Line("worker " + mId + " leaves " + aRequest.mTarget +
                      " for " + Digits(ms) + " ms");
    mAll.mTimers.After(ms, [this, life, target = aRequest.mTarget, body] {
      const std::lock_guard again(mAll.mMutex);
      if (life == mLife) {
        CarryOut(target, body);
      }
    });
    lock.unlock();
    SleepMs(6000);
    return { 0, "", true };
  }
  Response response = CarryOut(aRequest.mTarget, body);
  if (response.mStatus == 200) {
    if (aRequest.mTarget == "/hold") {
      const double until = NowMs() + body.value("wait-ms", 0);
      while (life == mLife && mEnds.empty() && NowMs() < until) {
        mAll.mChanged.wait_for(lock,
                               std::chrono::duration<double, std::milli>(
                                 std::max(1.0, until - NowMs())));
      }
      response = Reply(200, Lists());
    }
  }
  const auto late = mAnswerMs.find(aRequest.mTarget);
  if (late != mAnswerMs.end() && late->second > 0) {
    const double ms = late->second;
    lock.unlock();
    SleepMs(ms);
    lock.lock();
  }
  // The answer of a life that has ended, or of a worker that is cut off by now,
  // does not arrive.
  response.mDrop = life != mLife || mCut;
  return response;
}

Response Worker::CarryOut(const std::string& aTarget, const Json& aBody)
{
  const auto token = aBody.value("fencing-token", std::int64_t{ 0 });
  if (token < mFence) {
    mAll.mRecord.Line("worker " + mId + " rejects token " +
                      std::to_string(token) + " at " + aTarget);
    return Reply(409, { { "reason", "fence" } });
  }
  mFence = token;
  if (aTarget == "/run-start") {
    return Start(aBody);
  }
  if (aTarget == "/run-stop") {
    return Stop(aBody);
  }
  if (aTarget != "/hold") {
    return { 404, "{}" };
  }
  ExtendLease(aBody);
  const auto through = aBody.value("acked-through", std::int64_t{ 0 });
  while (!mEnds.empty() && mEnds.front().mNumber <= through) {
    mAll.mSeen[mEnds.front().mSeen].mNotedMs = NowMs();
    mEnds.pop_front();
  }
  return { 200, "{}" };
}

void Worker::ExtendLease(const Json& aBody)
{
  if (aBody.contains("deadline-ms")) {
    mLeaseUntil = std::max(
      mLeaseUntil,
      std::min(aBody.at("deadline-ms").get<std::int64_t>(),
               ClockMs() + mAll.mBounds.at("max-hold-ms").get<std::int64_t>()));
  }
}

Response Worker::Start(const Json& aBody)
{
  const std::string task = aBody.at("task");
  const int run = aBody.at("run");
  const auto running = mRuns.find(task);
  if (running != mRuns.end() && running->second.mRun == run) {
    ExtendLease(aBody);
    return Reply(200, Json::object());
  }
  const auto past = mPast.find(task);
  if (running != mRuns.end() || (past != mPast.end() && run <= past->second)) {
    ExtendLease(aBody);
    return Reply(409, { { "reason", "old" } });
  }
  if (aBody.at("deadline-ms").get<std::int64_t>() <= ClockMs()) {
    return Reply(409, { { "reason", "late" } });
  }
  ExtendLease(aBody);
  const auto job = mAll.mJobs.find(task.substr(0, task.find('.')));
  if (job == mAll.mJobs.end()) {
    mAll.mRecord.Line("UNASKED start of " + task);
    return Reply(400, Json::object());
  }
  const auto stepOf = [this](const std::string& aTask) {
    const auto& steps = mAll.mJobs.at(aTask.substr(0, aTask.find('.'))).mSteps;
    const auto occurrence = aTask.find('.');
    const auto step = aTask.find('.', occurrence + 1);
    return steps.at(std::stoul(aTask.substr(step + 1)));
  };
  Resources room;
  for (const auto& [name, other] : mRuns) {
    const auto used = stepOf(name);
    room.mCpu -= used.mCpu;
    room.mMemory -= used.mMemory;
    room.mGpus -= used.mGpus;
  }
  const auto need = stepOf(task);
  if (need.mCpu > room.mCpu || need.mMemory > room.mMemory ||
      need.mGpus > room.mGpus) {
    return Reply(409, { { "reason", "room" } });
  }
  const Json behaviour =
    Json::parse(aBody.at("specification").get<std::string>());
  mAll.mSeen.push_back(
    { task, run, mId, mLife, NowMs(), std::nullopt, "", std::nullopt });
  mRuns[task] = { mAll.mSeen.size() - 1,
                  run,
                  behaviour.value("event", ""),
                  behaviour.value("end", "done"),
                  false };
  mAll.mRecord.Line("worker " + mId + " starts " + task + " run " +
                    std::to_string(run) + " (token " + std::to_string(mFence) +
                    ", lease of " + std::to_string(mLeaseUntil - ClockMs()) +
                    " ms)");
  if (!behaviour.contains("event")) {
    mAll.mTimers.After(
      behaviour.at("ms").get<double>(),
      [this, task, run, life = mLife, end = behaviour.value("end", "done")] {
        const std::lock_guard lock(mAll.mMutex);
        if (life == mLife) {
          EndRun(task, run, end);
        }
      });
  }
  return Reply(200, Json::object());
}

Response Worker::Stop(const Json& aBody)
{
  const std::string task = aBody.at("task");
  const int run = aBody.at("run");
  const auto running = mRuns.find(task);
  mAll.mRecord.Line("worker " + mId + " is told to stop " + task + " run " +
                    std::to_string(run));
  if (running != mRuns.end() && running->second.mRun == run) {
    constexpr double kStopMs = 100;
    mAll.mTimers.After(kStopMs, [this, task, run, life = mLife] {
      const std::lock_guard lock(mAll.mMutex);
      if (life == mLife) {
        EndRun(task, run, "stopped");
      }
    });
  } else {
    auto& past = mPast[task];
    past = std::max(past, run);
  }
  return Reply(200, Json::object());
}

void Worker::EndRun(const std::string& aTask, int aRun, const std::string& aHow)
{
  const auto run = mRuns.find(aTask);
  if (run == mRuns.end() || run->second.mRun != aRun) {
    return;
  }
  auto& seen = mAll.mSeen[run->second.mSeen];
  seen.mEndMs = NowMs();
  seen.mHow = aHow;
  mEnds.push_back({ ++mLastEnd, run->second.mSeen });
  mRuns.erase(run);
  auto& past = mPast[aTask];
  past = std::max(past, aRun);
  mAll.mRecord.Line("worker " + mId + " ends " + aTask + " run " +
                    std::to_string(aRun) + ": " + aHow);
  mAll.mChanged.notify_all();
}

Json Worker::Lists()
{
  constexpr std::size_t kMaxListed = 500;
  constexpr int kPercent = 50;
  Json running = Json::array();
  for (const auto& [task, run] : mRuns) {
    // Far enough for no leader to move it.
    const double worked = NowMs() - mAll.mSeen[run.mSeen].mStartMs;
    running.push_back(
      { task,
        run.mRun,
        "",
        std::min(99, kPercent + static_cast<int>(worked / 1000)),
        100 });
  }
  Json finished = Json::array();
  for (const auto& end : mEnds) {
    if (finished.size() == kMaxListed) {
      break;
    }
    const auto& seen = mAll.mSeen[end.mSeen];
    finished.push_back({ end.mNumber, seen.mTask, seen.mRun, seen.mHow, "" });
  }
  return { { "running-tasks", running }, { "finished", finished } };
}

Workers::Workers(Record& aRecord, Timers& aTimers, Store& aStore, Json aBounds)
  : mRecord(aRecord)
  , mTimers(aTimers)
  , mStore(aStore)
  , mBounds(std::move(aBounds))
{
}

Worker& Workers::Add(const std::string& aId,
                     const std::string& aZone,
                     const std::string& aRack)
{
  mWorkers.push_back(std::make_unique<Worker>(*this, aId, aZone, aRack));
  return *mWorkers.back();
}

Worker& Workers::Find(const std::string& aId)
{
  return **std::find_if(
    mWorkers.begin(), mWorkers.end(), [&](const auto& aWorker) {
      return aWorker->Id() == aId;
    });
}

void Workers::Expect(const std::string& aJob, JobSeen aSeen)
{
  const std::lock_guard lock(mMutex);
  mJobs[aJob] = std::move(aSeen);
}

void Workers::Raise(const std::string& aEvent)
{
  const std::lock_guard lock(mMutex);
  mRecord.Line("event " + aEvent);
  for (const auto& worker : mWorkers) {
    const auto runs = worker->mRuns;
    for (const auto& [task, run] : runs) {
      if (run.mEvent == aEvent) {
        worker->EndRun(task, run.mRun, run.mEnd);
      }
    }
  }
}

std::vector<RunSeen> Workers::Seen() const
{
  const std::lock_guard lock(mMutex);
  return mSeen;
}

int Workers::Running() const
{
  const std::lock_guard lock(mMutex);
  int running = 0;
  for (const auto& worker : mWorkers) {
    running += static_cast<int>(worker->mRuns.size());
  }
  return running;
}

// Instances
// --------------------------------------------------------------------

Instances::Instances(Record& aRecord,
                     const Json& aSettings,
                     const std::string& aProgram,
                     const std::string& aFolder,
                     int aCount)
  : mRecord(aRecord)
  , mProgram(aProgram)
{
  const std::array<const char*, 3> zones{ "nordur-a", "sudur-a", "nordur-b" };
  for (int i = 0; i < aCount; ++i) {
    Process process;
    process.mName = "frontend-" + std::to_string(i);
    process.mCallers = "127.0.0.1:" + std::to_string(FreePort());
    process.mReadiness = "127.0.0.1:" + std::to_string(FreePort());
    process.mFiles = aFolder + "/" + process.mName;
    const int internal = FreePort();
    const std::string zone = zones[static_cast<std::size_t>(i) % zones.size()];
    Json settings = aSettings;
    settings["node-name"] = process.mName;
    settings["zone"] = zone;
    settings["region"] = zone.substr(0, zone.find('-'));
    settings["listen-addresses"] = { { "frontend", process.mCallers },
                                     { "readiness", process.mReadiness } };
    settings["internal-port-range"] = { internal, internal };
    std::ofstream(process.mFiles + ".json") << settings.dump(2);
    mProcesses.push_back(std::move(process));
    Start(i);
  }
}

Instances::~Instances()
{
  for (int i = 0; i < Count(); ++i) {
    if (mProcesses[static_cast<std::size_t>(i)].mId > 0) {
      Kill(i);
    }
  }
}

std::string Instances::CallerAddress(int aIndex) const
{
  return mProcesses.at(static_cast<std::size_t>(aIndex)).mCallers;
}

bool Instances::IsReady(int aIndex) const
{
  const auto answer =
    Call(mProcesses.at(static_cast<std::size_t>(aIndex)).mReadiness,
         "GET",
         "/readiness",
         { { "Host", "node" } },
         "",
         500);
  return answer && answer->mStatus == 200;
}

void Instances::Start(int aIndex)
{
  auto& process = mProcesses.at(static_cast<std::size_t>(aIndex));
  const std::string settings = process.mFiles + ".json";
  const std::string log = process.mFiles + ".log";
  const pid_t id = fork();
  if (id == 0) {
    // No process outlives this one.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    setenv("FLAMINGOLOOM_SETTINGS", settings.c_str(), 1);
    execl(mProgram.c_str(), mProgram.c_str(), nullptr);
    _exit(127);
  }
  process.mId = id;
  mRecord.Line(process.mName + " starts");
}

void Instances::Signal(int aIndex, int aSignal)
{
  const auto& process = mProcesses.at(static_cast<std::size_t>(aIndex));
  kill(process.mId, aSignal);
  mRecord.Line(process.mName + " gets signal " + std::to_string(aSignal));
}

void Instances::Kill(int aIndex)
{
  auto& process = mProcesses.at(static_cast<std::size_t>(aIndex));
  kill(process.mId, SIGKILL);
  waitpid(process.mId, nullptr, 0);
  process.mId = 0;
  mRecord.Line(process.mName + " is killed");
}

int Instances::Leader(const Store& aStore) const
{
  const auto row = aStore.Value("lead", "renewal");
  for (int i = 0; i < Count(); ++i) {
    if (row.find(mProcesses[static_cast<std::size_t>(i)].mName + "-") == 0) {
      return i;
    }
  }
  return -1;
}

// Deployment
// -------------------------------------------------------------------

Deployment::Deployment(const std::string& aFolder,
                       const std::string& aProgram,
                       int aInstances,
                       int aWorkers,
                       int aMaxAttempts)
  : mRecord(aFolder + "/record.txt")
  , mStore(mRecord)
  , mMaxAttempts(aMaxAttempts)
{
  const Json bounds{ { "contact-ms", 4000 },      { "ack-timeout-ms", 5000 },
                     { "drain-ms", 2500 },        { "grace-period-s", 6 },
                     { "config-apply-ms", 2500 }, { "max-hold-ms", 10000 },
                     { "stop-timeout-ms", 200 },  { "gang-timeout-ms", 3000 },
                     { "cancel_ms", 3000 },       { "status_s", 120 },
                     { "remote-factor", 3 } };
  Json routes = Json::array();
  for (int i = 0; i < kQueues; ++i) {
    routes.push_back({ { "name", "q" + std::to_string(i) },
                       { "host", kHost },
                       { "path-prefix", Prefix(i) },
                       { "kind", "non_idempotent" },
                       { "timeout-ms", 3000 },
                       { "target-latency-ms", 3000 },
                       { "priority", i },
                       { "service", kService },
                       { "max-attempts", aMaxAttempts },
                       { "stretch", 3.0 },
                       { "public", false },
                       { "allowed-regions", Json::array() } });
  }
  mStore.Put("op",
             "config",
             { { "version", 7 },
               { "routes", routes },
               { "services",
                 { { { "name", kService },
                     { "health-check-path", "/health" },
                     { "max-connections", 64 },
                     { "admission-check", true },
                     { "standby", false } } } },
               { "limits",
                 { { "max-header-bytes", 16384 },
                   { "max-body-bytes", 262144 },
                   { "header-timeout-ms", 3000 },
                   { "idle-timeout-ms", 15000 } } },
               { "tenants",
                 { { { "name", "shop" },
                     { "api-keys", { kKey } },
                     { "priority", 1 },
                     { "guaranteed", { { "gpus", 8 } } },
                     { "allowed-regions", Json::array() } } } } });
  mWorkers = std::make_unique<Workers>(mRecord, mTimers, mStore, bounds);
  for (int i = 0; i < aWorkers; ++i) {
    const std::string id =
      "i-" + std::string(i < 10 ? "0" : "") + std::to_string(i);
    mWorkers->Add(id, i % 2 == 0 ? "nordur-a" : "nordur-b", "r1-1");
  }
  const Json settings{ { "role", "instance" },
                       { "machine-class", "frontend" },
                       { "serves", { "frontend" } },
                       { "ip", "127.0.0.1" },
                       { "zones",
                         { { "nordur-a", "nordur" },
                           { "sudur-a", "sudur" },
                           { "nordur-b", "nordur" } } },
                       { "seed-nodes", Json::array() },
                       { "bootstrap", true },
                       { "limits",
                         { { "cpu-share", 0.25 },
                           { "cores", 1 },
                           { "memory-mb", 260 },
                           { "file-descriptors", 4100 },
                           { "link-mbps", 1000.0 },
                           { "disk-mb", 0 } } },
                       { "heartbeat-interval-ms", 1500 },
                       { "bounds", bounds },
                       { "orders", "request" },
                       { "platform",
                         { { "address", mStore.Address() },
                           { "form", "table" },
                           { "transaction-ms", 3.0 } } } };
  mInstances = std::make_unique<Instances>(
    mRecord, settings, aProgram, aFolder, aInstances);
}

bool Deployment::AwaitReady()
{
  constexpr double kMaxWaitMs = 15000;
  const double until = NowMs() + kMaxWaitMs;
  for (int i = 0; i < mInstances->Count(); ++i) {
    while (!mInstances->IsReady(i)) {
      if (NowMs() > until) {
        mRecord.Line("the instances are not ready");
        return false;
      }
      SleepMs(50);
    }
  }
  while (mInstances->Leader(mStore) < 0) {
    if (NowMs() > until) {
      mRecord.Line("there is no leader");
      return false;
    }
    SleepMs(50);
  }
  return true;
}

int Deployment::Submit(int aQueue, const std::string& aJob, const Json& aBody)
{
  JobSeen seen;
  seen.mSpecification = aBody.at("specification");
  seen.mMaxAttempts = mMaxAttempts;
  for (const auto& step : aBody.at("steps")) {
    seen.mSteps.push_back(
      { step.value("cpu", std::int64_t{ 0 }),
        step.value("requested-memory-mb", std::int64_t{ 0 }),
        step.value("gpus", std::int64_t{ 0 }) });
  }
  mWorkers->Expect(aJob, seen);
  constexpr int kAttempts = 5;
  int status = 0;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const auto answer =
      Call(mInstances->CallerAddress(mNextInstance++ % mInstances->Count()),
           "POST",
           Prefix(aQueue) + aJob,
           { { "Host", kHost }, { "Key", kKey }, { "Deadline-Ms", "3000" } },
           aBody.dump(),
           3000);
    status = answer ? answer->mStatus : 0;
    if (status == 200) {
      break;
    }
    SleepMs(200);
  }
  mRecord.Line("job " + aJob + " is handed in: " + std::to_string(status));
  return status;
}

int Deployment::Cancel(int aQueue, const std::string& aJob)
{
  const auto answer =
    Call(mInstances->CallerAddress(mNextInstance++ % mInstances->Count()),
         "DELETE",
         Prefix(aQueue) + aJob,
         { { "Host", kHost }, { "Key", kKey }, { "Deadline-Ms", "3000" } },
         "",
         3000);
  const int status = answer ? answer->mStatus : 0;
  mRecord.Line("job " + aJob + " is cancelled: " + std::to_string(status));
  return status;
}

std::string Deployment::State(int aQueue, const std::string& aJob)
{
  constexpr int kAttempts = 3;
  std::string state;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const auto answer =
      Call(mInstances->CallerAddress(mNextInstance++ % mInstances->Count()),
           "GET",
           Prefix(aQueue) + aJob,
           { { "Host", kHost }, { "Key", kKey }, { "Deadline-Ms", "3000" } },
           "",
           3000);
    state = !answer ? "no answer"
            : answer->mStatus != 200
              ? std::to_string(answer->mStatus)
              : Json::parse(answer->mBody).value("state", std::string("?"));
    if (answer && (answer->mStatus == 200 || answer->mStatus == 410)) {
      break;
    }
    SleepMs(300);
  }
  mRecord.Line("job " + aJob + " is shown as " + state);
  return state;
}

Json OneStep(const Json& aBehaviour, int aCount, int aGpus, int aEstimateMs)
{
  return { { "specification", aBehaviour.dump() },
           { "steps",
             { { { "count", aCount },
                 { "cpu", 1000 },
                 { "requested-memory-mb", 1000 },
                 { "gpus", aGpus },
                 { "estimated-duration-ms", aEstimateMs } } } } };
}

std::string JobId(int aNumber)
{
  char text[17];
  std::snprintf(text, sizeof text, "5c0e7a21d94b%04x", aNumber);
  return text;
}

Verdict Judge(Deployment& aDeployment)
{
  Verdict verdict;
  const auto seen = aDeployment.mWorkers->Seen();
  std::map<std::string, std::vector<const RunSeen*>> byTask;
  for (const auto& run : seen) {
    byTask[run.mTask].push_back(&run);
  }
  const auto text = [](const RunSeen& aRun) {
    return "run " + std::to_string(aRun.mRun) + " on " + aRun.mWorker + " (" +
           Digits(aRun.mStartMs) + " to " +
           (aRun.mEndMs ? Digits(*aRun.mEndMs) + ", " + aRun.mHow : "now") +
           ")";
  };
  for (const auto& [task, runs] : byTask) {
    for (const auto* later : runs) {
      int failed = 0;
      for (const auto* earlier : runs) {
        if (earlier == later || earlier->mStartMs > later->mStartMs) {
          continue;
        }
        const bool overlaps =
          !earlier->mEndMs || *earlier->mEndMs > later->mStartMs;
        const bool ended = earlier->mHow == "done" && earlier->mNotedMs;
        if (overlaps || ended) {
          ++verdict.mTwice;
          aDeployment.mRecord.Line("TWICE " + task + ": " + text(*earlier) +
                                   " and " + text(*later));
        }
        failed += earlier->mHow == "failed" && earlier->mNotedMs ? 1 : 0;
      }
      if (failed >= aDeployment.mMaxAttempts) {
        ++verdict.mBudget;
        aDeployment.mRecord.Line("BUDGET " + task + ": " + text(*later) +
                                 " after " + std::to_string(failed) +
                                 " failed runs that were taken note of");
      }
    }
  }
  return verdict;
}

} // namespace cluster
