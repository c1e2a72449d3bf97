// The operators' configuration: queues, accounts with their keys and
// guarantees, and limits of callers' requests.
//
// Not modified once it is decoded.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/jobs/job.h"
#include "flamingoloom/scheduler/account_limits.h"

namespace flamingoloom::node {

struct Queue
{
  jobs::QueueRules mRules;
  std::string mHost;
  std::string mPathPrefix;
  // Whether callers may use the queue without a key.
  bool mPublic = false;

  friend bool operator==(const Queue&, const Queue&) = default;
};

struct Account
{
  base::AccountId mId;
  std::set<std::string> mKeys;
  // What is guaranteed to the account, and what it may have running.
  scheduler::AccountTerms mTerms;

  friend bool operator==(const Account&, const Account&) = default;
};

struct RequestLimits
{
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 256 } * 1024;
  base::Duration mRequestTimeout = std::chrono::seconds(3);
  base::Duration mIdleTimeout = std::chrono::seconds(15);

  friend bool operator==(const RequestLimits&, const RequestLimits&) = default;
};

struct Configuration
{
  std::int64_t mVersion = 0;
  std::vector<Queue> mQueues;
  std::vector<Account> mAccounts;
  RequestLimits mLimits;

  friend bool operator==(const Configuration&, const Configuration&) = default;

  // The queue of aHost whose path prefix is the longest that aPath begins with;
  // nullptr if there is none.
  const Queue* FindQueue(const std::string& aHost,
                         const std::string& aPath) const;
  // The account that holds the key aKey; nullptr if there is none.
  const Account* FindAccount(const std::string& aKey) const;
};

} // namespace flamingoloom::node
