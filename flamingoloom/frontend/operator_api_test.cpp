// Requests of operators and monitoring over real connections.
#include <doctest/doctest.h>

#include "flamingoloom/frontend/test_support.h"

namespace flamingoloom::frontend::test {

using control::DataCentreState;
using control::DataCentreView;
using platform::Done;

// Guards against a change that is applied to another data centre or with
// another expected version than the operator sent.
TEST_CASE("a change of a data centre reaches the handler unchanged")
{
  control::DataCentreChange received;
  FrontendHandler handler = MakeAcceptingHandler();
  handler.mChangeDataCentre = [&](control::DataCentreChange aChange,
                                  control::DataCentreDone aDone) {
    received = aChange;
    DataCentreView view;
    view.mDataCentre = aChange.mDataCentre;
    view.mState = DataCentreState::eOutOfService;
    view.mReason = "server s1 has not answered";
    view.mVersion = 13;
    aDone(view);
  };
  auto frontend = StartFrontend(handler);
  auto response = Client(*frontend).Post(
    "/v1/datacentres/dc-1",
    R"({"state":"out","operator":"anna","expectedVersion":12})");
  CHECK(response.status == 200);
  CHECK(Body(response)["state"] == "out");
  CHECK(Body(response)["acknowledged"] == false);
  CHECK(Body(response)["reason"] == "server s1 has not answered");
  CHECK(Body(response)["version"] == 13);
  CHECK(received == control::DataCentreChange{ base::DataCentreId("dc-1"),
                                               DataCentreState::eOutOfService,
                                               "anna",
                                               12 });
}

// Two operators may change a data centre at the same time. The operator whose
// change is rejected must see why.
TEST_CASE("a change with an outdated version gets the handler's conflict error")
{
  FrontendHandler handler = MakeAcceptingHandler();
  handler.mChangeDataCentre = [](control::DataCentreChange,
                                 control::DataCentreDone aDone) {
    aDone(base::MakeError(base::ErrorCode::eConflict,
                          "change data centre",
                          "table",
                          "bjarni was first",
                          "expectedVersion"));
  };
  auto frontend = StartFrontend(handler);
  auto response = Client(*frontend).Post(
    "/v1/datacentres/dc-1",
    R"({"state":"in","operator":"anna","expectedVersion":12})");
  CHECK(response.status == 409);
  CHECK(ErrorField(response) == "expectedVersion");
  CHECK(Body(response)["error"]["message"] == "bjarni was first");
}

TEST_CASE("data centres are listed")
{
  FrontendHandler handler = MakeAcceptingHandler();
  handler.mDataCentres = [](Done<std::vector<DataCentreView>> aDone) {
    DataCentreView one;
    one.mDataCentre = base::DataCentreId("dc-1");
    one.mEpoch = base::Epoch(4);
    DataCentreView two;
    two.mDataCentre = base::DataCentreId("dc-2");
    two.mState = DataCentreState::eOutOfService;
    aDone(std::vector<DataCentreView>{ one, two });
  };
  auto frontend = StartFrontend(handler);
  auto body = Body(Client(*frontend).Get("/v1/datacentres"));
  REQUIRE(body["dataCentres"].size() == 2);
  CHECK(body["dataCentres"][0]["epoch"] == 4);
  CHECK(body["dataCentres"][1]["state"] == "out");
}

// Guards against a configuration that is changed by encoding it again, which
// would change its digest.
TEST_CASE("the configuration is stored and read as a document")
{
  ConfigDocument stored;
  FrontendHandler handler = MakeAcceptingHandler();
  handler.mPutConfig =
    [&](std::uint64_t aVersion, std::string aJson, Done<std::uint64_t> aDone) {
      stored = { aVersion + 1, aJson };
      aDone(stored.mVersion);
    };
  handler.mConfig = [&](Done<ConfigDocument> aDone) { aDone(stored); };
  auto frontend = StartFrontend(handler);
  Client client(*frontend);
  CHECK(Body(client.Get("/v1/config"))["configuration"].is_null());
  auto response = client.Put(
    "/v1/config", R"({"expectedVersion":4,"configuration":{"kinds":[1,2]}})");
  CHECK(response.status == 200);
  CHECK(Body(response)["version"] == 5);
  CHECK(stored.mJson == R"({"kinds":[1,2]})");
  CHECK(client.Get("/v1/config").body ==
        R"({"version":5,"configuration":{"kinds":[1,2]}})");
}

// Guards against invalid input that reaches the handler, and against an error
// that does not say which field is wrong.
TEST_CASE("invalid operator input is rejected and the error names the field")
{
  auto frontend = StartFrontend();
  Client client(*frontend);
  auto change = [&](const std::string& aBody,
                    const std::string& aDataCentre = "dc-1") {
    auto response = client.Post("/v1/datacentres/" + aDataCentre, aBody);
    CHECK(response.status == 400);
    CHECK(Body(response)["error"]["peer"] == "operator");
    return ErrorField(response);
  };
  const std::string good =
    R"({"state":"in","operator":"a","expectedVersion":1})";
  CHECK(change("no") == "body");
  CHECK(change(R"({"operator":"a","expectedVersion":1})") == "state");
  CHECK(change(R"({"state":"off","operator":"a","expectedVersion":1})") ==
        "state");
  CHECK(change(R"({"state":"in","expectedVersion":1})") == "operator");
  CHECK(change(R"({"state":"in","operator":"a b","expectedVersion":1})") ==
        "operator");
  CHECK(change(R"({"state":"in","operator":"a"})") == "expectedVersion");
  CHECK(change(R"({"state":"in","operator":"a","expectedVersion":"1"})") ==
        "expectedVersion");
  CHECK(
    change(
      R"({"state":"in","operator":"a","expectedVersion":1,"force":true})") ==
    "force");
  CHECK(change(good, "dc%201") == "dataCentre");
  CHECK(change(good, "dc/1") == "dataCentre");

  auto put = [&](const std::string& aBody) {
    auto response = client.Put("/v1/config", aBody);
    CHECK(response.status == 400);
    return ErrorField(response);
  };
  CHECK(put(R"({"configuration":{}})") == "expectedVersion");
  CHECK(put(R"({"expectedVersion":-1,"configuration":{}})") ==
        "expectedVersion");
  CHECK(put(R"({"expectedVersion":1})") == "configuration");
  CHECK(put(R"({"expectedVersion":1,"configuration":"{}"})") ==
        "configuration");
  CHECK(put(R"({"expectedVersion":1,"configuration":{},"x":1})") == "x");
  CHECK(ErrorField(client.Get("/v1/config?version=1")) == "version");
}

TEST_CASE("each view requests its topic from the handler")
{
  auto frontend = StartFrontend();
  Client client(*frontend);
  for (const char* topic :
       { "instances", "servers", "jobs", "capacity", "burn" }) {
    auto response = client.Get(std::string("/v1/") + topic);
    CHECK(response.status == 200);
    CHECK(Body(response)["topic"] == topic);
  }
  CHECK(client.Get("/v1/secrets").status == 404);
  CHECK(client.Get("/").status == 404);
  CHECK(client.Get("/v1/requestsx").status == 404);
  CHECK(client.Delete("/v1/jobs").status == 405);
  CHECK(client.Post("/v1/config", "{}").status == 405);
  CHECK(client.Get("/v1/requests").status == 405);
}

// Monitoring systems have no key. Guards against checks that require one, and
// against views that do not.
TEST_CASE("metrics, health and readiness need no key")
{
  FrontendHandler handler = MakeAcceptingHandler();
  handler.mAuthorize = [](Role, const base::AccountId&, const std::string&) {
    return base::Expected<platform::Nothing>(base::MakeError(
      base::ErrorCode::eDenied, "check access", "operator", "no"));
  };
  bool ready = true;
  handler.mReady = [&]() -> base::Expected<platform::Nothing> {
    if (ready) {
      return platform::Nothing{};
    }
    return base::MakeError(base::ErrorCode::eUnavailable,
                           "read configuration",
                           "table",
                           "no configuration yet");
  };
  auto frontend = StartFrontend(handler);
  Client client(*frontend);
  CHECK(client.Get("/metrics").body == "up 1\n");
  CHECK(client.Get("/metrics").get_header_value("Content-Type") ==
        "text/plain; version=0.0.4");
  CHECK(client.Get("/healthz").status == 200);
  CHECK(client.Get("/readyz").status == 200);
  ready = false;
  auto response = client.Get("/readyz");
  CHECK(response.status == 503);
  CHECK(Body(response)["error"]["peer"] == "table");
  CHECK(client.Get("/v1/jobs").status == 401);
}

} // namespace flamingoloom::frontend::test
