#include "testing/fakes/fake_ports.h"

#include <memory>
#include <utility>

#include "testing/fakes/simulated_cluster.h"

namespace flamingoloom::testing::fakes {

using base::ErrorCode;
using base::MakeError;
using namespace std::chrono_literals;

namespace {

// A connection to an unreachable peer fails after this time.
constexpr base::Duration kConnectTimeout = 500ms;
constexpr base::Duration kCallTimeout = 2s;
// Estimated size of the headers of an HTTP or RPC message.
constexpr std::size_t kMessageBytes = 200;

template <class T>
std::size_t BytesOf(const T&)
{
  return kMessageBytes;
}

std::size_t BytesOf(const std::string& aText)
{
  return kMessageBytes + aText.size();
}

std::size_t BytesOf(const platform::TaskStatus& aStatus)
{
  return kMessageBytes + aStatus.mAnswer.size();
}

std::size_t BytesOf(const std::vector<platform::Row>& aRows)
{
  std::size_t bytes = kMessageBytes;
  for (const platform::Row& row : aRows) {
    bytes += row.mKey.size() + row.mValue.size();
  }
  return bytes;
}

std::size_t BytesOf(const platform::MemberList& aList)
{
  constexpr std::size_t kMemberBytes = 150;
  return kMessageBytes + kMemberBytes * aList.mMembers.size();
}

std::size_t BytesOf(const platform::Transaction& aTransaction)
{
  std::size_t bytes = kMessageBytes;
  for (const platform::Write& write : aTransaction.mWrites) {
    bytes += write.mKey.size() + (write.mValue ? write.mValue->size() : 0);
  }
  return bytes;
}

} // namespace

base::Time FakePorts::Now() const
{
  return mCluster.Clock().Now() + mProcess.mClockOffset;
}

std::uint64_t FakePorts::Random()
{
  return mCluster.Clock().Random();
}

void FakePorts::After(base::Duration aWait, std::function<void()> aAction)
{
  mCluster.Clock().After(aWait, [this, action = std::move(aAction)]() mutable {
    mCluster.DeliverTo(mProcess, std::move(action));
  });
}

void FakePorts::Transmit(std::function<void()> aSend, bool aStartsWork)
{
  if (!mProcess.mAlive) {
    return;
  }
  if (mProcess.mKillAtMessage > 0 && --mProcess.mKillAtMessage == 0) {
    mCluster.Kill(mProcess.mEndpoint.mName);
    return;
  }
  if (mProcess.mFreezeAtStart && aStartsWork) {
    mCluster.Freeze(mProcess.mEndpoint.mName);
  }
  if (mProcess.mFrozen) {
    mProcess.mHeldMessages.push_back(std::move(aSend));
  } else {
    aSend();
  }
}

template <class T>
void FakePorts::Call(const Endpoint& aTo,
                     const char* aStep,
                     std::size_t aBytes,
                     base::Duration aTimeout,
                     std::function<void(platform::Done<T>)> aServe,
                     platform::Done<T> aDone,
                     bool aStartsWork)
{
  // Only the first result is delivered, be it a response, an error or the
  // timeout.
  auto pending = std::make_shared<platform::Done<T>>(std::move(aDone));
  platform::Done<T> finish = [this, pending](base::Expected<T> aResult) {
    if (!*pending) {
      return;
    }
    mCluster.DeliverTo(mProcess,
                       [pending, result = std::move(aResult)]() mutable {
                         if (auto done = std::exchange(*pending, nullptr)) {
                           done(std::move(result));
                         }
                       });
  };
  VirtualClock& clock = mCluster.Clock();
  clock.After(aTimeout, [finish, pending, aStep, name = aTo.mName] {
    if (*pending) {
      finish(MakeError(
        ErrorCode::eOutcomeUnknown, aStep, name, "no answer in time"));
    }
  });
  Transmit(
    [this, aTo, aStep, aBytes, serve = std::move(aServe), finish] {
      VirtualClock& clock = mCluster.Clock();
      if (!mCluster.IsConnected(mProcess.mEndpoint, aTo)) {
        // Either the connection cannot be established, or the request is lost
        // on an established connection and the call ends with its timeout.
        if (clock.Chance(0.5)) {
          clock.After(kConnectTimeout, [finish, aStep, name = aTo.mName] {
            finish(MakeError(
              ErrorCode::eUnavailable, aStep, name, "cannot connect"));
          });
        }
        return;
      }
      mCluster.CountBytes(mProcess.mEndpoint, aTo, aBytes);
      platform::Done<T> answer = [this, aTo, finish](
                                   base::Expected<T> aResult) {
        if (!mCluster.IsConnected(aTo, mProcess.mEndpoint)) {
          return;
        }
        mCluster.CountBytes(
          aTo, mProcess.mEndpoint, aResult ? BytesOf(*aResult) : kMessageBytes);
        mCluster.Clock().After(mCluster.Latency(aTo, mProcess.mEndpoint),
                               [finish, result = std::move(aResult)]() mutable {
                                 finish(std::move(result));
                               });
      };
      clock.After(mCluster.Latency(mProcess.mEndpoint, aTo),
                  [serve, answer] { serve(answer); });
    },
    aStartsWork);
}

template <class T>
void FakePorts::CallStore(const char* aStep,
                          std::size_t aBytes,
                          std::function<base::Expected<T>(FakeStore&)> aServe,
                          platform::Done<T> aDone)
{
  auto serve =
    [this, aStep, run = std::move(aServe)](platform::Done<T> aAnswer) {
      VirtualClock& clock = mCluster.Clock();
      switch (mCluster.Mode()) {
        case StoreMode::eDown:
          if (clock.Chance(0.5)) {
            aAnswer(MakeError(
              ErrorCode::eUnavailable, aStep, "store", "the store is down"));
          }
          return;
        case StoreMode::eSlow:
          // A response after kCallTimeout does not reach the caller.
          clock.After(clock.Between(50ms, 1200ms), [this, run, aAnswer] {
            VirtualClock& clock = mCluster.Clock();
            clock.After(
              clock.Between(50ms, 1200ms),
              [aAnswer, result = run(mCluster.Store())] { aAnswer(result); });
          });
          return;
        case StoreMode::eLosesAnswers: {
          base::Expected<T> result = run(mCluster.Store());
          if (!clock.Chance(mCluster.LossProbability())) {
            aAnswer(std::move(result));
          }
          return;
        }
        case StoreMode::eUp:
          aAnswer(run(mCluster.Store()));
          return;
      }
    };
  Call<T>(mCluster.StoreEndpoint(),
          aStep,
          aBytes,
          kCallTimeout,
          std::move(serve),
          std::move(aDone));
}

void FakePorts::Commit(platform::Transaction aTransaction,
                       platform::Done<platform::TransactionResult> aDone)
{
  std::size_t bytes = BytesOf(aTransaction);
  CallStore<platform::TransactionResult>(
    "commit",
    bytes,
    [transaction = std::move(aTransaction)](FakeStore& aStore) {
      return aStore.Commit(transaction);
    },
    std::move(aDone));
}

void FakePorts::Read(std::vector<std::string> aKeys,
                     platform::Done<std::vector<platform::Row>> aDone)
{
  CallStore<std::vector<platform::Row>>(
    "read",
    kMessageBytes,
    [keys = std::move(aKeys)](FakeStore& aStore) { return aStore.Read(keys); },
    std::move(aDone));
}

void FakePorts::Scan(const std::string& aPrefix,
                     platform::Done<std::vector<platform::Row>> aDone)
{
  CallStore<std::vector<platform::Row>>(
    "scan",
    kMessageBytes,
    [aPrefix](FakeStore& aStore) { return aStore.Scan(aPrefix); },
    std::move(aDone));
}

void FakePorts::PutObject(const std::string& aText,
                          platform::Done<std::string> aDone)
{
  CallStore<std::string>(
    "put object",
    BytesOf(aText),
    [aText](FakeStore& aStore) { return aStore.PutObject(aText); },
    std::move(aDone));
}

void FakePorts::GetObject(const std::string& aDigest,
                          platform::Done<std::string> aDone)
{
  CallStore<std::string>(
    "get object",
    kMessageBytes,
    [aDigest](FakeStore& aStore) { return aStore.GetObject(aDigest); },
    std::move(aDone));
}

// The member list is a separate service and works while the store is down.
void FakePorts::ListMembers(platform::Done<platform::MemberList> aDone)
{
  Call<platform::MemberList>(
    mCluster.StoreEndpoint(),
    "list members",
    kMessageBytes,
    kCallTimeout,
    [this](platform::Done<platform::MemberList> aAnswer) {
      aAnswer(mCluster.Members());
    },
    [this,
     done = std::move(aDone)](base::Expected<platform::MemberList> aList) {
      mProcess.mHasMemberList = mProcess.mHasMemberList || aList.has_value();
      done(std::move(aList));
    });
}

template <class T, class F>
void FakePorts::CallServer(const platform::ServerAddress& aServer,
                           const char* aStep,
                           std::size_t aBytes,
                           base::Duration aTimeout,
                           F aServe,
                           platform::Done<T> aDone,
                           bool aStartsWork)
{
  const std::string& name = aServer.mId.Value();
  Call<T>(
    mCluster.EndpointOf(name),
    aStep,
    aBytes,
    aTimeout,
    [this, name, aStep, serve = std::move(aServe)](platform::Done<T> aAnswer) {
      FakeServer* server = mCluster.FindServer(name);
      if (server != nullptr && server->IsAlive()) {
        serve(*server, aAnswer);
      } else if (mCluster.Clock().Chance(0.5)) {
        aAnswer(MakeError(
          ErrorCode::eUnavailable, aStep, name, "connection refused"));
      }
    },
    std::move(aDone),
    aStartsWork);
}

void FakePorts::Fence(const platform::ServerAddress& aServer,
                      const base::DataCentreId& aDataCentre,
                      base::Epoch aEpoch,
                      platform::Done<base::Epoch> aDone)
{
  CallServer<base::Epoch>(
    aServer,
    "fence",
    kMessageBytes,
    kCallTimeout,
    [aDataCentre, aEpoch](FakeServer& aTarget,
                          const platform::Done<base::Epoch>& aAnswer) {
      aAnswer(aTarget.Fence(aDataCentre, aEpoch));
    },
    std::move(aDone));
}

void FakePorts::StartTask(const platform::ServerAddress& aServer,
                          platform::TaskStart aStart,
                          base::Duration aWait,
                          platform::Done<platform::TaskStatus> aDone)
{
  std::size_t bytes = kMessageBytes + aStart.mPayload.size();
  CallServer<platform::TaskStatus>(
    aServer,
    "start task",
    bytes,
    aWait,
    [start =
       std::move(aStart)](FakeServer& aTarget,
                          const platform::Done<platform::TaskStatus>& aAnswer) {
      aTarget.Start(start, aAnswer);
    },
    std::move(aDone),
    true);
}

void FakePorts::ActOnTask(const platform::ServerAddress& aServer,
                          const base::AttemptId& aAttempt,
                          platform::TaskAction aAction,
                          base::Duration aLease,
                          platform::Done<platform::TaskStatus> aDone)
{
  CallServer<platform::TaskStatus>(
    aServer,
    "act on task",
    kMessageBytes,
    kCallTimeout,
    [aAttempt, aAction, aLease](
      FakeServer& aTarget,
      const platform::Done<platform::TaskStatus>& aAnswer) {
      aTarget.Act(aAttempt, aAction, aLease, aAnswer);
    },
    std::move(aDone),
    aAction == platform::TaskAction::eCommit);
}

void FakePorts::AwaitTask(const platform::ServerAddress& aServer,
                          const base::AttemptId& aAttempt,
                          base::Duration aWait,
                          platform::Done<platform::TaskStatus> aDone)
{
  CallServer<platform::TaskStatus>(
    aServer,
    "await task",
    kMessageBytes,
    aWait + kCallTimeout,
    [aAttempt, aWait](FakeServer& aTarget,
                      const platform::Done<platform::TaskStatus>& aAnswer) {
      aTarget.Await(aAttempt, aWait, aAnswer);
    },
    std::move(aDone));
}

template <class T, class... Args>
void FakePorts::CallPeer(const platform::PeerAddress& aPeer,
                         const char* aStep,
                         base::Duration aTimeout,
                         platform::Done<T> aDone,
                         Args... aArgs)
{
  const std::string& name = aPeer.mId.Value();
  Call<T>(
    mCluster.EndpointOf(name),
    aStep,
    kMessageBytes,
    aTimeout,
    [this, name, aStep, aArgs...](platform::Done<T> aAnswer) {
      InstanceProcess* peer = mCluster.FindInstance(name);
      if (peer == nullptr || !peer->mAlive) {
        if (mCluster.Clock().Chance(0.5)) {
          aAnswer(MakeError(
            ErrorCode::eUnavailable, aStep, name, "connection refused"));
        }
        return;
      }
      // The response is a message of the peer, which can crash or freeze before
      // it is sent.
      platform::Done<T> reply = [peer, aAnswer](base::Expected<T> aResult) {
        peer->mPorts->Transmit(
          [aAnswer, result = std::move(aResult)] { aAnswer(result); });
      };
      mCluster.DeliverTo(*peer, [peer, reply, aArgs...] {
        peer->mInstance->Serve(aArgs..., reply);
      });
    },
    std::move(aDone));
}

void FakePorts::RequestCredits(const platform::PeerAddress& aPeer,
                               platform::CreditRequest aRequest,
                               platform::Done<platform::CreditGrant> aDone)
{
  CallPeer(aPeer, "request credits", kCallTimeout, std::move(aDone), aRequest);
}

void FakePorts::NotifyRequest(const platform::PeerAddress& aPeer,
                              platform::RequestNotice aNotice,
                              platform::Done<platform::Nothing> aDone)
{
  CallPeer(aPeer, "notify request", kCallTimeout, std::move(aDone), aNotice);
}

void FakePorts::AwaitRequest(const platform::PeerAddress& aPeer,
                             platform::RequestNotice aNotice,
                             base::Duration aWait,
                             platform::Done<platform::RequestProgress> aDone)
{
  CallPeer(aPeer,
           "await request",
           aWait + kCallTimeout,
           std::move(aDone),
           aNotice,
           aWait);
}

void FakePorts::NotifyDataCentre(
  const platform::PeerAddress& aPeer,
  platform::DataCentreNotice aNotice,
  platform::Done<platform::DataCentreStatus> aDone)
{
  CallPeer(
    aPeer, "notify data centre", kCallTimeout, std::move(aDone), aNotice);
}

void FakePorts::RequestPromise(const platform::PeerAddress& aPeer,
                               platform::PromiseRequest aRequest,
                               platform::Done<platform::Nothing> aDone)
{
  CallPeer(aPeer, "request promise", kCallTimeout, std::move(aDone), aRequest);
}

void FakePorts::AnnounceConfig(const platform::PeerAddress& aPeer,
                               platform::ConfigNotice aNotice,
                               platform::Done<platform::Nothing> aDone)
{
  CallPeer(
    aPeer, "announce configuration", kCallTimeout, std::move(aDone), aNotice);
}

void FakePorts::AnnounceLeaving(const platform::PeerAddress& aPeer,
                                platform::LeavingNotice aNotice,
                                platform::Done<platform::Nothing> aDone)
{
  CallPeer(aPeer, "announce leaving", kCallTimeout, std::move(aDone), aNotice);
}

void FakePorts::QueryStatus(const platform::PeerAddress& aPeer,
                            const std::string& aTopic,
                            platform::Done<std::string> aDone)
{
  CallPeer(aPeer, "query status", kCallTimeout, std::move(aDone), aTopic);
}

} // namespace flamingoloom::testing::fakes
