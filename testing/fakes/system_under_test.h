// What the fakes and the scenario runner require of an instance.
//
// control::Instance<FakePorts> satisfies SystemUnderTest. InstanceApi erases
// the type, so that the fakes need not be templates:
//
//   SimulationOptions options;
//   options.mFactory = FactoryOf<control::Instance<FakePorts>>(
//     control::InstanceOptions{});
#pragma once

#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/control/api.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::testing::fakes {

class FakePorts;

// clang-format off
template <class I>
concept SystemUnderTest = requires(I& aInstance,
                                   const I& aConstant,
                                   base::Duration aWait,
                                   control::AnswerDone aDone,
                                   std::function<void()> aStopped) {
  aInstance.Start();
  aInstance.Submit(control::CallerRequest{}, aDone);
  aInstance.Await(base::RequestId{}, aWait, aDone);
  aInstance.Cancel(base::RequestId{}, aDone);
  aInstance.ChangeDataCentre(control::DataCentreChange{},
                             control::DataCentreDone{});
  aInstance.DataCentres(
    platform::Done<std::vector<control::DataCentreView>>{});
  aInstance.PutConfiguration(std::uint64_t{}, config::Configuration{},
                             control::ConfigDone{});
  aInstance.Shutdown(aStopped);
  { aConstant.ConfigVersion() } -> std::convertible_to<std::uint64_t>;
  aInstance.OnRequestCredits(platform::CreditRequest{},
                             platform::Done<platform::CreditGrant>{});
  aInstance.OnNotifyRequest(platform::RequestNotice{},
                            platform::Done<platform::Nothing>{});
  aInstance.OnAwaitRequest(platform::RequestNotice{}, aWait,
                           platform::Done<platform::RequestProgress>{});
  aInstance.OnNotifyDataCentre(platform::DataCentreNotice{},
                               platform::Done<platform::DataCentreStatus>{});
  aInstance.OnRequestPromise(platform::PromiseRequest{},
                             platform::Done<platform::Nothing>{});
  aInstance.OnAnnounceConfig(platform::ConfigNotice{},
                             platform::Done<platform::Nothing>{});
  aInstance.OnAnnounceLeaving(platform::LeavingNotice{},
                              platform::Done<platform::Nothing>{});
  aInstance.OnQueryStatus(std::string{}, platform::Done<std::string>{});
};
// clang-format on

// Type-erased interface of an instance. Serve handles a call from a peer; the
// overloads correspond to the On... functions of the instance.
class InstanceApi
{
public:
  InstanceApi() = default;
  InstanceApi(const InstanceApi&) = delete;
  InstanceApi& operator=(const InstanceApi&) = delete;
  virtual ~InstanceApi() = default;

  virtual void Start() = 0;
  virtual void Submit(control::CallerRequest aRequest,
                      control::AnswerDone aDone) = 0;
  virtual void Await(base::RequestId aRequest,
                     base::Duration aWait,
                     control::AnswerDone aDone) = 0;
  virtual void Cancel(base::RequestId aRequest, control::AnswerDone aDone) = 0;
  virtual void ChangeDataCentre(control::DataCentreChange aChange,
                                control::DataCentreDone aDone) = 0;
  virtual void DataCentres(
    platform::Done<std::vector<control::DataCentreView>> aDone) = 0;
  virtual void PutConfiguration(std::uint64_t aExpectedVersion,
                                config::Configuration aConfiguration,
                                control::ConfigDone aDone) = 0;
  virtual void Shutdown(std::function<void()> aDone) = 0;
  virtual std::uint64_t ConfigVersion() const = 0;

  virtual void Serve(platform::CreditRequest aValue,
                     platform::Done<platform::CreditGrant> aDone) = 0;
  virtual void Serve(platform::RequestNotice aValue,
                     platform::Done<platform::Nothing> aDone) = 0;
  virtual void Serve(platform::RequestNotice aValue,
                     base::Duration aWait,
                     platform::Done<platform::RequestProgress> aDone) = 0;
  virtual void Serve(platform::DataCentreNotice aValue,
                     platform::Done<platform::DataCentreStatus> aDone) = 0;
  virtual void Serve(platform::PromiseRequest aValue,
                     platform::Done<platform::Nothing> aDone) = 0;
  virtual void Serve(platform::ConfigNotice aValue,
                     platform::Done<platform::Nothing> aDone) = 0;
  virtual void Serve(platform::LeavingNotice aValue,
                     platform::Done<platform::Nothing> aDone) = 0;
  virtual void Serve(std::string aTopic, platform::Done<std::string> aDone) = 0;
};

// Implements InstanceApi by forwarding each call to an I.
template <SystemUnderTest I>
class InstanceOf final : public InstanceApi
{
public:
  template <class... Args>
  explicit InstanceOf(Args&&... aArgs)
    : mInstance(std::forward<Args>(aArgs)...)
  {
  }

  void Start() override { mInstance.Start(); }
  void Submit(control::CallerRequest aRequest,
              control::AnswerDone aDone) override
  {
    mInstance.Submit(std::move(aRequest), std::move(aDone));
  }
  void Await(base::RequestId aRequest,
             base::Duration aWait,
             control::AnswerDone aDone) override
  {
    mInstance.Await(std::move(aRequest), aWait, std::move(aDone));
  }
  void Cancel(base::RequestId aRequest, control::AnswerDone aDone) override
  {
    mInstance.Cancel(std::move(aRequest), std::move(aDone));
  }
  void ChangeDataCentre(control::DataCentreChange aChange,
                        control::DataCentreDone aDone) override
  {
    mInstance.ChangeDataCentre(std::move(aChange), std::move(aDone));
  }
  void DataCentres(
    platform::Done<std::vector<control::DataCentreView>> aDone) override
  {
    mInstance.DataCentres(std::move(aDone));
  }
  void PutConfiguration(std::uint64_t aExpectedVersion,
                        config::Configuration aConfiguration,
                        control::ConfigDone aDone) override
  {
    mInstance.PutConfiguration(
      aExpectedVersion, std::move(aConfiguration), std::move(aDone));
  }
  void Shutdown(std::function<void()> aDone) override
  {
    mInstance.Shutdown(std::move(aDone));
  }
  std::uint64_t ConfigVersion() const override
  {
    return mInstance.ConfigVersion();
  }

  void Serve(platform::CreditRequest aValue,
             platform::Done<platform::CreditGrant> aDone) override
  {
    mInstance.OnRequestCredits(std::move(aValue), std::move(aDone));
  }
  void Serve(platform::RequestNotice aValue,
             platform::Done<platform::Nothing> aDone) override
  {
    mInstance.OnNotifyRequest(std::move(aValue), std::move(aDone));
  }
  void Serve(platform::RequestNotice aValue,
             base::Duration aWait,
             platform::Done<platform::RequestProgress> aDone) override
  {
    mInstance.OnAwaitRequest(std::move(aValue), aWait, std::move(aDone));
  }
  void Serve(platform::DataCentreNotice aValue,
             platform::Done<platform::DataCentreStatus> aDone) override
  {
    mInstance.OnNotifyDataCentre(std::move(aValue), std::move(aDone));
  }
  void Serve(platform::PromiseRequest aValue,
             platform::Done<platform::Nothing> aDone) override
  {
    mInstance.OnRequestPromise(std::move(aValue), std::move(aDone));
  }
  void Serve(platform::ConfigNotice aValue,
             platform::Done<platform::Nothing> aDone) override
  {
    mInstance.OnAnnounceConfig(aValue, std::move(aDone));
  }
  void Serve(platform::LeavingNotice aValue,
             platform::Done<platform::Nothing> aDone) override
  {
    mInstance.OnAnnounceLeaving(std::move(aValue), std::move(aDone));
  }
  void Serve(std::string aTopic, platform::Done<std::string> aDone) override
  {
    mInstance.OnQueryStatus(std::move(aTopic), std::move(aDone));
  }

private:
  I mInstance;
};

using InstanceFactory =
  std::function<std::unique_ptr<InstanceApi>(FakePorts&,
                                             control::InstanceIdentity)>;

// Returns a factory of instances of type I. Each constructor gets the ports,
// the identity and aOptions.
template <SystemUnderTest I, class... Options>
InstanceFactory FactoryOf(Options... aOptions)
{
  return [=](FakePorts& aPorts, control::InstanceIdentity aIdentity) {
    return std::make_unique<InstanceOf<I>>(
      aPorts, std::move(aIdentity), aOptions...);
  };
}

} // namespace flamingoloom::testing::fakes
