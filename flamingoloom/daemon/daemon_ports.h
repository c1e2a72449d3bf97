// The ports of an instance in a process: HTTP towards the platform and the
// backend servers, Cap'n Proto RPC towards the other instances, and the CAF
// runtime's clock. Satisfies platform::Ports; to be used on the runtime.
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
  // All of them must outlive the ports.
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
  void After(base::Duration aWait, std::function<void()> aAction)
  {
    mRuntime.After(aWait, std::move(aAction));
  }

  // The rest is passed on as it is.
  template <class... Args>
  void Commit(Args&&... aArgs)
  {
    mClients.Commit(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void Read(Args&&... aArgs)
  {
    mClients.Read(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void Scan(Args&&... aArgs)
  {
    mClients.Scan(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void PutObject(Args&&... aArgs)
  {
    mClients.PutObject(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void GetObject(Args&&... aArgs)
  {
    mClients.GetObject(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void ListMembers(Args&&... aArgs)
  {
    mClients.ListMembers(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void Fence(Args&&... aArgs)
  {
    mClients.Fence(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void StartTask(Args&&... aArgs)
  {
    mClients.StartTask(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void ActOnTask(Args&&... aArgs)
  {
    mClients.ActOnTask(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void AwaitTask(Args&&... aArgs)
  {
    mClients.AwaitTask(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void RequestCredits(Args&&... aArgs)
  {
    mPeers.RequestCredits(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void NotifyRequest(Args&&... aArgs)
  {
    mPeers.NotifyRequest(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void AwaitRequest(Args&&... aArgs)
  {
    mPeers.AwaitRequest(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void NotifyDataCentre(Args&&... aArgs)
  {
    mPeers.NotifyDataCentre(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void RequestPromise(Args&&... aArgs)
  {
    mPeers.RequestPromise(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void AnnounceConfig(Args&&... aArgs)
  {
    mPeers.AnnounceConfig(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void AnnounceLeaving(Args&&... aArgs)
  {
    mPeers.AnnounceLeaving(std::forward<Args>(aArgs)...);
  }
  template <class... Args>
  void QueryStatus(Args&&... aArgs)
  {
    mPeers.QueryStatus(std::forward<Args>(aArgs)...);
  }

private:
  Runtime& mRuntime;
  platform::HttpClients& mClients;
  peer::PeerNode& mPeers;
  std::mt19937_64 mRandom;
};

} // namespace flamingoloom::daemon
