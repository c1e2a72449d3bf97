// Rows of the platform's table service that store the ownership of data
// centres. Immutable value types; all functions are thread-safe.
#pragma once

#include <cstdint>
#include <string>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::ownership {

// Row `lease/<dc>`: the instance that may start work in the data centre.
struct LeaseRecord
{
  base::InstanceId mOwner;
  // "ip:port" of the owner's Cap'n Proto server.
  std::string mPeerAddress;
  base::Epoch mEpoch;
  base::Duration mDuration{};
  // Version of the data centre's row for which the epoch was issued.
  std::uint64_t mDataCentreVersion = 0;
  // The owner has released the lease before it expired.
  bool mReleased = false;
  // Instance that the owner chose to take over; may be empty.
  base::InstanceId mSuccessor;
  // Unique to each write, so that a writer that lost the response recognises
  // its own write when it reads the row.
  std::string mNonce;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

// Row `datacentre/<dc>`: whether operators have taken the data centre out of
// service. Without a row the data centre is in service.
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

// Return eInvalid when aText is not a valid record of that kind.
base::Expected<LeaseRecord> DecodeLease(const std::string& aText);
base::Expected<DataCentreRecord> DecodeDataCentre(const std::string& aText);

} // namespace flamingoloom::ownership
