// Strong identifier types.
//
// Each kind of identifier has its own type, so that the compiler rejects a data
// centre where a client account is expected:
//
//   DataCentreId dataCentre("akureyri-1");
//   Log("owner of {}", dataCentre.Value());
//
// All types are plain values and may be copied between threads.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace flamingoloom::base {

// A text identifier; Tag distinguishes the kinds of identifiers. An empty value
// means "none".
template <class Tag>
class Id
{
public:
  Id() = default;
  explicit Id(std::string aValue)
    : mValue(std::move(aValue))
  {
  }

  const std::string& Value() const { return mValue; }
  bool IsEmpty() const { return mValue.empty(); }

  friend auto operator<=>(const Id&, const Id&) = default;
  friend bool operator==(const Id&, const Id&) = default;
  friend std::ostream& operator<<(std::ostream& aOut, const Id& aId)
  {
    return aOut << aId.mValue;
  }

private:
  std::string mValue;
};

using AccountId = Id<struct AccountTag>;
using AttemptId = Id<struct AttemptTag>;
using DataCentreId = Id<struct DataCentreTag>;
using InstanceId = Id<struct InstanceTag>;
using KindId = Id<struct KindTag>;
using RegionId = Id<struct RegionTag>;
using ServerId = Id<struct ServerTag>;

// Identifies one request of one client account. The key is the caller's
// idempotency key; the receiving instance generates one for a request without.
struct RequestId
{
  AccountId mAccount;
  std::string mKey;

  friend auto operator<=>(const RequestId&, const RequestId&) = default;
  friend bool operator==(const RequestId&, const RequestId&) = default;
};

// The fencing token of a data centre's lease. It rises with each change of the
// owner and each change of the data centre's row; 0 means that the data centre
// has had no owner yet.
class Epoch
{
public:
  Epoch() = default;
  explicit Epoch(std::uint64_t aValue)
    : mValue(aValue)
  {
  }

  std::uint64_t Value() const { return mValue; }
  Epoch Next() const { return Epoch(mValue + 1); }

  friend auto operator<=>(const Epoch&, const Epoch&) = default;
  friend bool operator==(const Epoch&, const Epoch&) = default;
  friend std::ostream& operator<<(std::ostream& aOut, Epoch aEpoch)
  {
    return aOut << aEpoch.mValue;
  }

private:
  std::uint64_t mValue = 0;
};

} // namespace flamingoloom::base

template <class Tag>
struct std::hash<flamingoloom::base::Id<Tag>>
{
  std::size_t operator()(const flamingoloom::base::Id<Tag>& aId) const
  {
    return std::hash<std::string>()(aId.Value());
  }
};
