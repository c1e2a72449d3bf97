#include "flamingoloom/config/check_settings.h"

#include <fmt/format.h>

#include "flamingoloom/config/address.h"

namespace flamingoloom::config::internal {
namespace {

// Collects violated rules.
class RuleCheck
{
public:
  explicit RuleCheck(DocumentSource aSource)
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

void CheckAddress(RuleCheck& aCheck,
                  const std::string& aField,
                  const std::string& aText)
{
  auto address = ParseAddress(aText);
  aCheck.Require(
    address.has_value(), aField, address ? "" : address.error().mMessage);
}

void CheckListenAddress(RuleCheck& aCheck,
                        const std::string& aField,
                        const std::string& aText)
{
  CheckAddress(aCheck, aField, aText);
  auto address = ParseAddress(aText);
  aCheck.Require(!address ||
                   (address->mIp != "0.0.0.0" && address->mIp != "::"),
                 aField,
                 "must be an address that other instances can reach, not a "
                 "wildcard address");
}

void CheckListen(RuleCheck& aCheck, const ListenSettings& aListen)
{
  CheckListenAddress(aCheck, "/listen/httpAddress", aListen.mHttpAddress);
  CheckListenAddress(aCheck, "/listen/peerAddress", aListen.mPeerAddress);
  auto address = ParseAddress(aListen.mPeerAddress);
  aCheck.Require(aListen.mHttpAddress != aListen.mPeerAddress || !address ||
                   address->mPort == 0,
                 "/listen/peerAddress",
                 "must differ from httpAddress");
}

void CheckOwnership(RuleCheck& aCheck, const OwnershipSettings& aOwnership)
{
  aCheck.Require(aOwnership.mRenew * 2 <= aOwnership.mLease,
                 "/ownership/renewMs",
                 fmt::format("must be at most half of leaseMs ({}), so that "
                             "one lost renewal does not end the lease",
                             base::ToMilliseconds(aOwnership.mLease)));
}

// Replaces the name of the variable by its value.
void ResolveKeys(RuleCheck& aCheck,
                 KeySettings& aKeys,
                 const Environment& aEnvironment)
{
  const std::string field = "/keys/operatorKeySha256Variable";
  const auto& variable = aKeys.mOperatorKeySha256Variable;
  if (variable.empty()) {
    return;
  }
  aCheck.Require(aKeys.mOperatorKeySha256.empty(),
                 field,
                 "must not be given together with operatorKeySha256");
  auto value = aEnvironment(variable).value_or("");
  bool valid = value.size() == 64 &&
               value.find_first_not_of("0123456789abcdef") == std::string::npos;
  aCheck.Require(valid,
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
  RuleCheck check(aSource);
  CheckListen(check, aSettings.mListen);
  CheckAddress(check, "/platform/address", aSettings.mPlatformAddress);
  ResolveKeys(check, aSettings.mKeys, aEnvironment);
  CheckOwnership(check, aSettings.mOwnership);
  return check.TakeProblems();
}

} // namespace flamingoloom::config::internal
