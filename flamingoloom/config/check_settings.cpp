#include "flamingoloom/config/check_settings.h"

#include <fmt/format.h>

#include "flamingoloom/config/address.h"

namespace flamingoloom::config::internal {
namespace {

// Collects a problem for each violated rule.
class RuleChecker
{
public:
  explicit RuleChecker(DocumentSource aSource)
    : mSource(std::move(aSource))
  {
  }

  void Require(bool aHolds, std::string aField, std::string aMessage)
  {
    if (!aHolds) {
      mProblems.push_back(base::Error{ base::ErrorCode::eInvalid,
                                       mSource.mStep,
                                       mSource.mName,
                                       std::move(aMessage),
                                       std::move(aField) });
    }
  }

  Problems TakeProblems() { return std::move(mProblems); }

private:
  DocumentSource mSource;
  Problems mProblems;
};

void CheckAddress(RuleChecker& aChecker,
                  const std::string& aField,
                  const std::string& aText)
{
  auto address = ParseAddress(aText);
  aChecker.Require(
    address.has_value(), aField, address ? "" : address.error().mMessage);
}

void CheckListenAddress(RuleChecker& aChecker,
                        const std::string& aField,
                        const std::string& aText)
{
  CheckAddress(aChecker, aField, aText);
  auto address = ParseAddress(aText);
  aChecker.Require(!address ||
                     (address->mIp != "0.0.0.0" && address->mIp != "::"),
                   aField,
                   "must be an address that other instances can reach, not a "
                   "wildcard address");
}

void CheckListenAddresses(RuleChecker& aChecker, const ListenSettings& aListen)
{
  CheckListenAddress(aChecker, "/listen/httpAddress", aListen.mHttpAddress);
  CheckListenAddress(aChecker, "/listen/peerAddress", aListen.mPeerAddress);
  auto address = ParseAddress(aListen.mPeerAddress);
  aChecker.Require(aListen.mHttpAddress != aListen.mPeerAddress || !address ||
                     address->mPort == 0,
                   "/listen/peerAddress",
                   "must differ from httpAddress");
}

void CheckOwnership(RuleChecker& aChecker, const OwnershipSettings& aOwnership)
{
  aChecker.Require(
    aOwnership.mRenew * 2 <= aOwnership.mLease,
    "/ownership/renewMs",
    fmt::format("must be at most half of leaseMs ({}), so that "
                "the lease does not expire after one lost renewal",
                base::ToMilliseconds(aOwnership.mLease)));
}

// Reads the digest of the operators' key from the environment variable, if one
// is given.
void ResolveOperatorKey(RuleChecker& aChecker,
                        KeySettings& aKeys,
                        const Environment& aEnvironment)
{
  const std::string field = "/keys/operatorKeySha256Variable";
  const auto& variable = aKeys.mOperatorKeySha256Variable;
  if (variable.empty()) {
    return;
  }
  aChecker.Require(aKeys.mOperatorKeySha256.empty(),
                   field,
                   "must not be given together with operatorKeySha256");
  auto value = aEnvironment(variable).value_or("");
  bool valid = value.size() == 64 &&
               value.find_first_not_of("0123456789abcdef") == std::string::npos;
  aChecker.Require(
    valid,
    field,
    fmt::format("environment variable {} must hold 64 lower-case "
                "hexadecimal digits",
                variable));
  aKeys.mOperatorKeySha256 = value;
}

} // namespace

Problems CheckSettings(Settings& aSettings,
                       const DocumentSource& aSource,
                       const Environment& aEnvironment)
{
  RuleChecker checker(aSource);
  CheckListenAddresses(checker, aSettings.mListen);
  CheckAddress(checker, "/platform/address", aSettings.mPlatformAddress);
  ResolveOperatorKey(checker, aSettings.mKeys, aEnvironment);
  CheckOwnership(checker, aSettings.mOwnership);
  return checker.TakeProblems();
}

} // namespace flamingoloom::config::internal
