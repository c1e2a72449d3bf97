// Ports of one instance whose calls are recorded and can be disturbed one by
// one: the answer of a call is lost, or the call takes effect late.
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "flamingoloom/node/ports.h"
#include "testing/fakes/virtual_clock.h"

namespace flamingoloom::testing::platform_world {

// What becomes of a call. The caller gets no answer unless mAnswered is set.
struct Disturbance
{
  // How much later the call takes effect; nullopt if it never does.
  std::optional<base::Duration> mDelay;
  bool mAnswered = false;
};

// Chooses the disturbance of a call; nullopt for a call that passes.
using ChooseStoreDisturbance =
  std::function<std::optional<Disturbance>(const node::Transaction&)>;
enum class OrderKind
{
  eStart,
  eStop,
  eReport,
};
using ChooseOrderDisturbance =
  std::function<std::optional<Disturbance>(OrderKind)>;

// A command or a request for a report that an instance has sent.
struct Order
{
  base::Time mSentAt;
  OrderKind mKind = OrderKind::eReport;
  base::ServerId mServer;
  std::int64_t mEpoch = 0;
};

class DisturbedStore : public node::Store
{
public:
  // Both must outlive the store.
  DisturbedStore(fakes::VirtualClock& aClock, node::Store& aStore)
    : mClock(aClock)
    , mStore(aStore)
  {
  }

  void SetDisturbance(ChooseStoreDisturbance aChoose)
  {
    mChoose = std::move(aChoose);
  }

  void Commit(
    const node::Transaction& aTransaction,
    base::Duration aTimeout,
    std::function<void(base::Expected<node::CommitResult>)> aThen) override;
  void Read(const std::string& aTable,
            const std::string& aPartition,
            const std::string& aFrom,
            const std::string& aTo,
            base::Duration aTimeout,
            std::function<void(base::Expected<node::Rows>)> aThen) override
  {
    mStore.Read(aTable, aPartition, aFrom, aTo, aTimeout, std::move(aThen));
  }
  void Watch(const std::string& aTable,
             std::int64_t aVersion,
             base::Duration aWait,
             std::function<void(base::Expected<node::Rows>)> aThen) override
  {
    mStore.Watch(aTable, aVersion, aWait, std::move(aThen));
  }

private:
  fakes::VirtualClock& mClock;
  node::Store& mStore;
  ChooseStoreDisturbance mChoose;
};

class DisturbedServers : public node::BackendServers
{
public:
  // The servers that are at each address, if not those that are listed there.
  using Addresses = std::map<std::string, base::ServerId>;

  // All must outlive the object.
  DisturbedServers(fakes::VirtualClock& aClock,
                   node::BackendServers& aServers,
                   std::vector<Order>& aOrders,
                   const Addresses& aAddresses)
    : mClock(aClock)
    , mServers(aServers)
    , mOrders(aOrders)
    , mAddresses(aAddresses)
  {
  }

  void SetDisturbance(ChooseOrderDisturbance aChoose)
  {
    mChoose = std::move(aChoose);
  }

  bool HasConnection(const scheduler::ServerInfo& aServer,
                     base::Time aOpenedBy) override;
  void Start(const scheduler::ServerInfo& aServer,
             const scheduler::StartCommand& aCommand,
             const node::StartRequest& aRequest,
             base::Duration aTimeout,
             std::function<void(node::StartResponse)> aThen) override;
  void Stop(const scheduler::ServerInfo& aServer,
            const scheduler::StopCommand& aCommand,
            const node::FencingToken& aToken,
            base::Duration aTimeout,
            std::function<void(bool)> aThen) override;
  void Report(
    const scheduler::ServerInfo& aServer,
    const node::ReportRequest& aRequest,
    base::Duration aTimeout,
    std::function<void(base::Expected<node::ReportResponse>)> aThen) override;

private:
  // Whether another server is at the address of aServer.
  bool IsReplaced(const scheduler::ServerInfo& aServer) const;
  std::optional<Disturbance> Record(OrderKind aKind,
                                    const scheduler::ServerInfo& aServer,
                                    const node::FencingToken& aToken);

  fakes::VirtualClock& mClock;
  node::BackendServers& mServers;
  std::vector<Order>& mOrders;
  const Addresses& mAddresses;
  ChooseOrderDisturbance mChoose;
};

} // namespace flamingoloom::testing::platform_world
