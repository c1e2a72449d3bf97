// HTTP client of the platform's table service and object store. Thread-safe.
//
// See ConnectionPool::OnReply and ErrorFromReply for the errors of calls.
#pragma once

#include <string>
#include <vector>

#include "flamingoloom/platform/http_caller.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::platform {

class StoreClient
{
public:
  // aCaller must outlive the client; aTimeout applies to each call.
  StoreClient(HttpCaller& aCaller,
              std::string aAddress,
              base::Duration aTimeout);

  // A transaction with conflicts completes with a result, not with an error.
  void Commit(const Transaction& aTransaction, Done<TransactionResult> aDone);
  void Read(const std::vector<std::string>& aKeys,
            Done<std::vector<Row>> aDone);
  void Scan(const std::string& aPrefix, Done<std::vector<Row>> aDone);
  void PutObject(const std::string& aObject, Done<std::string> aDone);
  // Completes with eBadAnswer when the received object does not have the
  // digest.
  void GetObject(const std::string& aDigest, Done<std::string> aDone);

private:
  HttpCall MakeCall(std::string aStep,
                    std::string aMethod,
                    std::string aPath) const;

  HttpCaller& mCaller;
  const std::string mAddress;
  const base::Duration mTimeout;
};

} // namespace flamingoloom::platform
