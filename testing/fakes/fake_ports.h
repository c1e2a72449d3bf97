// Ports of one instance in a SimulatedCluster; satisfies platform::Ports.
//
// Transmit sends a call. The call arrives after the latency of the network and
// takes effect there, and the response returns the same way. A call without a
// response before its timeout ends with eOutcomeUnknown.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "flamingoloom/platform/ports.h"

namespace flamingoloom::testing::fakes {

class FakeStore;
class SimulatedCluster;
struct Endpoint;
struct InstanceProcess;

class FakePorts
{
public:
  FakePorts(SimulatedCluster& aCluster, InstanceProcess& aProcess)
    : mCluster(aCluster)
    , mProcess(aProcess)
  {
  }

  base::Time Now() const;
  std::uint64_t Random();
  void After(base::Duration aWait, std::function<void()> aAction);

  void Commit(platform::Transaction aTransaction,
              platform::Done<platform::TransactionResult> aDone);
  void Read(std::vector<std::string> aKeys,
            platform::Done<std::vector<platform::Row>> aDone);
  void Scan(const std::string& aPrefix,
            platform::Done<std::vector<platform::Row>> aDone);
  void PutObject(const std::string& aText, platform::Done<std::string> aDone);
  void GetObject(const std::string& aDigest, platform::Done<std::string> aDone);
  void ListMembers(platform::Done<platform::MemberList> aDone);

  void Fence(const platform::ServerAddress& aServer,
             const base::DataCentreId& aDataCentre,
             base::Epoch aEpoch,
             platform::Done<base::Epoch> aDone);
  void StartTask(const platform::ServerAddress& aServer,
                 platform::TaskStart aStart,
                 base::Duration aWait,
                 platform::Done<platform::TaskStatus> aDone);
  void ActOnTask(const platform::ServerAddress& aServer,
                 const base::AttemptId& aAttempt,
                 platform::TaskAction aAction,
                 base::Duration aLease,
                 platform::Done<platform::TaskStatus> aDone);
  void AwaitTask(const platform::ServerAddress& aServer,
                 const base::AttemptId& aAttempt,
                 base::Duration aWait,
                 platform::Done<platform::TaskStatus> aDone);

  void RequestCredits(const platform::PeerAddress& aPeer,
                      platform::CreditRequest aRequest,
                      platform::Done<platform::CreditGrant> aDone);
  void NotifyRequest(const platform::PeerAddress& aPeer,
                     platform::RequestNotice aNotice,
                     platform::Done<platform::Nothing> aDone);
  void AwaitRequest(const platform::PeerAddress& aPeer,
                    platform::RequestNotice aNotice,
                    base::Duration aWait,
                    platform::Done<platform::RequestProgress> aDone);
  void NotifyDataCentre(const platform::PeerAddress& aPeer,
                        platform::DataCentreNotice aNotice,
                        platform::Done<platform::DataCentreStatus> aDone);
  void RequestPromise(const platform::PeerAddress& aPeer,
                      platform::PromiseRequest aRequest,
                      platform::Done<platform::Nothing> aDone);
  void AnnounceConfig(const platform::PeerAddress& aPeer,
                      platform::ConfigNotice aNotice,
                      platform::Done<platform::Nothing> aDone);
  void AnnounceLeaving(const platform::PeerAddress& aPeer,
                       platform::LeavingNotice aNotice,
                       platform::Done<platform::Nothing> aDone);
  void QueryStatus(const platform::PeerAddress& aPeer,
                   const std::string& aTopic,
                   platform::Done<std::string> aDone);

private:
  // Sends a message, which aSend passes to the network. The message is lost
  // when the process has exited or crashes at this message, and is held back
  // while the process is frozen. aStartsWork marks the start or commit of a
  // task.
  void Transmit(std::function<void()> aSend, bool aStartsWork = false);

  // Makes one call. aServe runs at aTo when the request arrives there; aDone
  // receives exactly one result. aStep names the call in errors.
  template <class T>
  void Call(const Endpoint& aTo,
            const char* aStep,
            std::size_t aBytes,
            base::Duration aTimeout,
            std::function<void(platform::Done<T>)> aServe,
            platform::Done<T> aDone,
            bool aStartsWork = false);
  template <class T>
  void CallStore(const char* aStep,
                 std::size_t aBytes,
                 std::function<base::Expected<T>(FakeStore&)> aServe,
                 platform::Done<T> aDone);
  template <class T, class F>
  void CallServer(const platform::ServerAddress& aServer,
                  const char* aStep,
                  std::size_t aBytes,
                  base::Duration aTimeout,
                  F aServe,
                  platform::Done<T> aDone,
                  bool aStartsWork = false);
  template <class T, class... Args>
  void CallPeer(const platform::PeerAddress& aPeer,
                const char* aStep,
                base::Duration aTimeout,
                platform::Done<T> aDone,
                Args... aArgs);

  SimulatedCluster& mCluster;
  InstanceProcess& mProcess;
};

static_assert(platform::Ports<FakePorts>);

} // namespace flamingoloom::testing::fakes
