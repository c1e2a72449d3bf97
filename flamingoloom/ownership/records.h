// Rows of the platform's table service that hold the ownership of data
// centres. Immutable value types; all functions are thread-safe.
#pragma once

#include <cstdint>
#include <string>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::ownership {

// Row `lease/<dc>`: which instance may start work in the data centre.
struct LeaseRecord
{
  base::InstanceId mOwner;
  // "ip:port" of the owner's Cap'n Proto server.
  std::string mPeerAddress;
  base::Epoch mEpoch;
  base::Duration mDuration{};
  // Version of the data centre's row that the epoch was made for.
  std::uint64_t mDataCentreVersion = 0;
  // The owner has given the lease up ahead of its end.
  bool mReleased = false;
  // Instance that the owner chose to continue; may be empty.
  base::InstanceId mSuccessor;
  // Unique to each write, so that a writer whose answer was lost recognises
  // its own write.
  std::string mNonce;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

// Row `datacentre/<dc>`: whether operators have taken the data centre out.
// Without a row the data centre is in.
struct DataCentreRecord
{
  bool mOutOfService = false;
  std::string mOperator;
  // Unique to each write, as in LeaseRecord.
  std::string mNonce;

  friend bool operator==(const DataCentreRecord&,
                         const DataCentreRecord&) = default;
};

std::string LeaseKey(const base::DataCentreId& aDataCentre);
std::string DataCentreKey(const base::DataCentreId& aDataCentre);

std::string Encode(const LeaseRecord& aRecord);
std::string Encode(const DataCentreRecord& aRecord);

// eInvalid when the text is no record of that kind.
base::Expected<LeaseRecord> DecodeLease(const std::string& aText);
base::Expected<DataCentreRecord> DecodeDataCentre(const std::string& aText);

} // namespace flamingoloom::ownership
