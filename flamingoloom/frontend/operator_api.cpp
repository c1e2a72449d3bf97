#include "flamingoloom/frontend/operator_api.h"

#include <utility>
#include <vector>

#include "flamingoloom/frontend/access.h"
#include "flamingoloom/frontend/await.h"
#include "flamingoloom/frontend/json_codec.h"
#include "flamingoloom/frontend/json_reader.h"
#include "flamingoloom/frontend/reply.h"
#include "flamingoloom/frontend/request_check.h"

namespace flamingoloom::frontend::internal {
namespace {

using base::Expected;
using control::DataCentreView;
using platform::Done;
using platform::Nothing;

constexpr const char* kOperatorPeer = "operator";

} // namespace

Expected<Nothing> OperatorApi::CheckOperator(const ApiRequest& aRequest) const
{
  return CheckAccess(mHandler, aRequest, Role::eOperator, {});
}

Expected<Nothing> OperatorApi::CheckGet(const ApiRequest& aRequest) const
{
  return CheckQuery(aRequest, kOperatorPeer, {}).and_then([&](Nothing) {
    return CheckOperator(aRequest);
  });
}

ApiReply OperatorApi::Config(const ApiRequest& aRequest) const
{
  auto answer = CheckGet(aRequest).and_then([&](Nothing) {
    return AwaitCallback<ConfigDocument>(
      "read configuration",
      mSettings.mHandlerTimeout,
      [&](Done<ConfigDocument> aDone) { mHandler.mConfig(std::move(aDone)); });
  });
  return JsonReply(answer.and_then(EncodeConfig));
}

ApiReply OperatorApi::PutConfig(const ApiRequest& aRequest) const
{
  Expected<ConfigDocument> change =
    CheckJsonRequest(aRequest, kOperatorPeer).and_then([&](Nothing) {
      return DecodeConfigChange(aRequest.mBody);
    });
  if (!change) {
    return ErrorReply(change.error());
  }
  Expected<std::uint64_t> version =
    CheckOperator(aRequest).and_then([&](Nothing) {
      return AwaitCallback<std::uint64_t>(
        "store configuration",
        mSettings.mHandlerTimeout,
        [&](Done<std::uint64_t> aDone) {
          mHandler.mPutConfig(
            change->mVersion, change->mJson, std::move(aDone));
        });
    });
  return JsonReply(version.map(EncodeConfigVersion));
}

ApiReply OperatorApi::DataCentres(const ApiRequest& aRequest) const
{
  using Views = std::vector<DataCentreView>;
  auto views = CheckGet(aRequest).and_then([&](Nothing) {
    return AwaitCallback<Views>(
      "list data centres", mSettings.mHandlerTimeout, [&](Done<Views> aDone) {
        mHandler.mDataCentres(std::move(aDone));
      });
  });
  return JsonReply(views.and_then(EncodeDataCentres));
}

ApiReply OperatorApi::ChangeDataCentre(const ApiRequest& aRequest,
                                       std::string_view aDataCentre) const
{
  Expected<control::DataCentreChange> change =
    CheckJsonRequest(aRequest, kOperatorPeer).and_then([&](Nothing) {
      return DecodeDataCentreChange(aRequest.mBody);
    });
  if (change && !IsName(aDataCentre)) {
    change = InvalidField(
      kOperatorPeer, "dataCentre", "is not a valid name of a data centre");
  }
  if (!change) {
    return ErrorReply(change.error());
  }
  change->mDataCentre = base::DataCentreId(std::string(aDataCentre));
  auto view = CheckOperator(aRequest).and_then([&](Nothing) {
    return AwaitCallback<DataCentreView>("change data centre",
                                         mSettings.mHandlerTimeout,
                                         [&](Done<DataCentreView> aDone) {
                                           mHandler.mChangeDataCentre(
                                             *change, std::move(aDone));
                                         });
  });
  return JsonReply(view.and_then(EncodeDataCentre));
}

ApiReply OperatorApi::View(const ApiRequest& aRequest,
                           std::string_view aTopic) const
{
  return JsonReply(CheckGet(aRequest).and_then([&](Nothing) {
    return AwaitCallback<std::string>(
      "read view", mSettings.mHandlerTimeout, [&](Done<std::string> aDone) {
        mHandler.mView(std::string(aTopic), std::move(aDone));
      });
  }));
}

} // namespace flamingoloom::frontend::internal
