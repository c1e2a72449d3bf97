// The ports of an instance in production: HTTP to the platform and the backend
// servers, Cap'n Proto RPC to the other instances, and the clock of the CAF
// runtime. Satisfies platform::Ports. Must be used on the runtime.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/daemon/runtime.h"
#include "flamingoloom/peer/peer_node.h"
#include "flamingoloom/platform/http_clients.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::daemon {

class DaemonPorts
{
public:
  // All arguments must outlive this object.
  DaemonPorts(Runtime& aRuntime,
              platform::HttpClients& aClients,
              peer::PeerNode& aPeers)
    : mRuntime(aRuntime)
    , mClients(aClients)
    , mPeers(aPeers)
    , mRandom(std::random_device()())
  {
  }

  base::Time Now() const { return mRuntime.Now(); }
  std::uint64_t Random() { return mRandom(); }
  void After(base::Duration aDelay, std::function<void()> aAction)
  {
    mRuntime.After(aDelay, std::move(aAction));
  }

  // The following calls are forwarded unchanged to the clients or the peers.
  void Commit(const platform::Transaction& aTransaction,
              platform::Done<platform::TransactionResult> aDone)
  {
    mClients.Commit(aTransaction, std::move(aDone));
  }
  void Read(const std::vector<std::string>& aKeys,
            platform::Done<std::vector<platform::Row>> aDone)
  {
    mClients.Read(aKeys, std::move(aDone));
  }
  void Scan(const std::string& aPrefix,
            platform::Done<std::vector<platform::Row>> aDone)
  {
    mClients.Scan(aPrefix, std::move(aDone));
  }
  void PutObject(const std::string& aObject, platform::Done<std::string> aDone)
  {
    mClients.PutObject(aObject, std::move(aDone));
  }
  void GetObject(const std::string& aDigest, platform::Done<std::string> aDone)
  {
    mClients.GetObject(aDigest, std::move(aDone));
  }
  void ListMembers(platform::Done<platform::MemberList> aDone)
  {
    mClients.ListMembers(std::move(aDone));
  }
  void Fence(const platform::ServerAddress& aServer,
             const base::DataCentreId& aDataCentre,
             base::Epoch aEpoch,
             platform::Done<base::Epoch> aDone)
  {
    mClients.Fence(aServer, aDataCentre, aEpoch, std::move(aDone));
  }
  void StartTask(const platform::ServerAddress& aServer,
                 const platform::TaskStart& aStart,
                 base::Duration aWait,
                 platform::Done<platform::TaskStatus> aDone)
  {
    mClients.StartTask(aServer, aStart, aWait, std::move(aDone));
  }
  void ActOnTask(const platform::ServerAddress& aServer,
                 const base::AttemptId& aAttempt,
                 platform::TaskAction aAction,
                 base::Duration aLease,
                 platform::Done<platform::TaskStatus> aDone)
  {
    mClients.ActOnTask(aServer, aAttempt, aAction, aLease, std::move(aDone));
  }
  void AwaitTask(const platform::ServerAddress& aServer,
                 const base::AttemptId& aAttempt,
                 base::Duration aWait,
                 platform::Done<platform::TaskStatus> aDone)
  {
    mClients.AwaitTask(aServer, aAttempt, aWait, std::move(aDone));
  }
  void RequestCredits(const platform::PeerAddress& aPeer,
                      const platform::CreditRequest& aMessage,
                      platform::Done<platform::CreditGrant> aDone)
  {
    mPeers.RequestCredits(aPeer, aMessage, std::move(aDone));
  }
  void NotifyRequest(const platform::PeerAddress& aPeer,
                     const platform::RequestNotice& aMessage,
                     platform::Done<platform::Nothing> aDone)
  {
    mPeers.NotifyRequest(aPeer, aMessage, std::move(aDone));
  }
  void AwaitRequest(const platform::PeerAddress& aPeer,
                    const platform::RequestNotice& aMessage,
                    base::Duration aWait,
                    platform::Done<platform::RequestProgress> aDone)
  {
    mPeers.AwaitRequest(aPeer, aMessage, aWait, std::move(aDone));
  }
  void NotifyDataCentre(const platform::PeerAddress& aPeer,
                        const platform::DataCentreNotice& aMessage,
                        platform::Done<platform::DataCentreStatus> aDone)
  {
    mPeers.NotifyDataCentre(aPeer, aMessage, std::move(aDone));
  }
  void RequestPromise(const platform::PeerAddress& aPeer,
                      const platform::PromiseRequest& aMessage,
                      platform::Done<platform::Nothing> aDone)
  {
    mPeers.RequestPromise(aPeer, aMessage, std::move(aDone));
  }
  void AnnounceConfig(const platform::PeerAddress& aPeer,
                      const platform::ConfigNotice& aMessage,
                      platform::Done<platform::Nothing> aDone)
  {
    mPeers.AnnounceConfig(aPeer, aMessage, std::move(aDone));
  }
  void AnnounceLeaving(const platform::PeerAddress& aPeer,
                       const platform::LeavingNotice& aMessage,
                       platform::Done<platform::Nothing> aDone)
  {
    mPeers.AnnounceLeaving(aPeer, aMessage, std::move(aDone));
  }
  void QueryStatus(const platform::PeerAddress& aPeer,
                   const std::string& aTopic,
                   platform::Done<std::string> aDone)
  {
    mPeers.QueryStatus(aPeer, aTopic, std::move(aDone));
  }

private:
  Runtime& mRuntime;
  platform::HttpClients& mClients;
  peer::PeerNode& mPeers;
  std::mt19937_64 mRandom;
};

static_assert(platform::Ports<DaemonPorts>);

} // namespace flamingoloom::daemon
