// The configuration of the scheduler, which all instances share.
//
// A Configuration is generated from the answers to the questionnaire and stored
// in the platform's table service as one versioned document. Each instance
// keeps its copy unchanged until it receives a newer version. The types are
// immutable value types and safe to copy between threads.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::config {

struct DataCentre
{
  base::DataCentreId mId;
  base::RegionId mRegion;
  int mRacks = 0;
  int mServersPerRack = 8;
  int mAcceleratorsPerServer = 8;

  friend bool operator==(const DataCentre&, const DataCentre&) = default;
};

struct ClientAccount
{
  base::AccountId mId;
  // Weight of the account when accounts compete for slots; at least 1.
  int mWeight = 1;
  // Maximum number of accelerators that the account may hold at the same time
  // beyond its guarantees; nullopt means no limit.
  std::optional<int> mQuota;
  // SHA-256 of the account's key; empty if callers are not authenticated.
  std::string mKeySha256;

  friend bool operator==(const ClientAccount&, const ClientAccount&) = default;
};

enum class Priority
{
  // May wait for hours; starts after all other jobs.
  eOvernight,
  eNormal,
  // Starts before all other jobs of its account.
  eUrgent,
};

struct JobKind
{
  base::KindId mId;
  // A job of this kind may run more than once without harm.
  bool mIdempotent = false;
  // An accepted request must survive the loss of any instance.
  bool mDurable = true;
  bool mCheckpointable = false;
  // A job of this kind may be preempted (checkpointed or stopped) to free a
  // block for a guarantee.
  bool mPreemptible = false;
  Priority mPriority = Priority::eNormal;
  // Maximum time from the arrival of the request to the complete answer for
  // which the answer counts as "in time".
  base::Duration mTarget{};
  // The caller no longer waits after this time, so that the result is useless.
  // Zero means that there is no deadline.
  base::Duration mDeadline{};
  base::Duration mDeclaredRunTime{};
  // Number of tasks, which run as a gang: all at the same time or none.
  int mTasks = 1;
  // Zero for jobs whose tasks need a slot but no accelerators.
  int mAcceleratorsPerTask = 0;
  // All accelerators of the job form one aligned block.
  bool mAdjacent = false;
  // Objective for the fraction of requests that meet mTarget, such as 0.99.
  double mObjective = 0.99;

  int Accelerators() const { return mTasks * mAcceleratorsPerTask; }

  friend bool operator==(const JobKind&, const JobKind&) = default;
};

// Guarantees that a client account can always get mCount blocks of mShape
// adjacent accelerators.
struct Guarantee
{
  base::AccountId mAccount;
  int mShape = 0;
  int mCount = 0;

  friend auto operator<=>(const Guarantee&, const Guarantee&) = default;
  friend bool operator==(const Guarantee&, const Guarantee&) = default;
};

// The part of a guarantee that one data centre reserves. The data centre must
// be able to provide it in normal operation and while any one other data centre
// is out of service.
struct DataCentreGuarantee
{
  base::DataCentreId mDataCentre;
  Guarantee mGuarantee;

  friend bool operator==(const DataCentreGuarantee&,
                         const DataCentreGuarantee&) = default;
};

struct Configuration
{
  // Version of the document. It increases with each accepted change; 0 means
  // that the document has no version yet.
  std::uint64_t mVersion = 0;
  std::string mDeployment;
  std::vector<DataCentre> mDataCentres;
  std::vector<ClientAccount> mAccounts;
  std::vector<JobKind> mKinds;
  std::vector<Guarantee> mGuarantees;
  std::vector<DataCentreGuarantee> mAssignments;

  // These functions return null if there is no such entry. The pointer is valid
  // until this configuration is changed or destroyed.
  const JobKind* Kind(const base::KindId& aId) const;
  const ClientAccount* Account(const base::AccountId& aId) const;
  const DataCentre* FindDataCentre(const base::DataCentreId& aId) const;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

} // namespace flamingoloom::config
