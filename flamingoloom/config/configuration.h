// The configuration: what the questionnaire's answers mean for the scheduler.
//
// A Configuration is generated from answers, stored in the platform's table
// service as one versioned document, and held unchanged by each instance until
// a newer version arrives. Immutable value types; safe to copy between threads.
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
  // Share of contended slots relative to other accounts; at least 1.
  int mWeight = 1;
  // Accelerators that the account may hold at once beyond its guarantees;
  // none means no limit.
  std::optional<int> mQuota;
  // SHA-256 of the account's key; empty when callers are not checked.
  std::string mKeySha256;

  friend bool operator==(const ClientAccount&, const ClientAccount&) = default;
};

enum class Priority
{
  // May wait for hours; goes behind everything else.
  eOvernight,
  eNormal,
  // Starts before everything else of its account.
  eUrgent,
};

struct JobKind
{
  base::KindId mId;
  // May run more than once without harm.
  bool mIdempotent = false;
  // An accepted request must survive the loss of any instance.
  bool mDurable = true;
  bool mCheckpointable = false;
  // May be stopped or checkpointed to give a guarantee back.
  bool mPreemptible = false;
  Priority mPriority = Priority::eNormal;
  // Time from arrival to the complete answer that counts as "in time".
  base::Duration mTarget{};
  // The caller has gone after this time; the work is then worthless. Zero
  // means that the work keeps its worth.
  base::Duration mDeadline{};
  base::Duration mDeclaredRunTime{};
  // Tasks that run together or not at all; 1 for a plain job.
  int mTasks = 1;
  // Zero for work that needs a slot only.
  int mAcceleratorsPerTask = 0;
  // All accelerators of the job form one aligned block.
  bool mAdjacent = false;
  // Share of requests that are to meet mTarget, such as 0.99.
  double mObjective = 0.99;

  int Accelerators() const { return mTasks * mAcceleratorsPerTask; }

  friend bool operator==(const JobKind&, const JobKind&) = default;
};

// A client account can always get mCount blocks of mShape adjacent
// accelerators.
struct Guarantee
{
  base::AccountId mAccount;
  int mShape = 0;
  int mCount = 0;

  friend auto operator<=>(const Guarantee&, const Guarantee&) = default;
  friend bool operator==(const Guarantee&, const Guarantee&) = default;
};

// The part of the guarantees that one data centre must be able to give, in
// the normal case and with any one other data centre out.
struct DataCentreGuarantee
{
  base::DataCentreId mDataCentre;
  Guarantee mGuarantee;

  friend bool operator==(const DataCentreGuarantee&,
                         const DataCentreGuarantee&) = default;
};

struct Configuration
{
  // Version of the document; rises with each accepted change, 0 means none.
  std::uint64_t mVersion = 0;
  std::string mDeployment;
  std::vector<DataCentre> mDataCentres;
  std::vector<ClientAccount> mAccounts;
  std::vector<JobKind> mKinds;
  std::vector<Guarantee> mGuarantees;
  std::vector<DataCentreGuarantee> mAssignments;

  // Null when there is no such entry. The pointer lives as long as this.
  const JobKind* Kind(const base::KindId& aId) const;
  const ClientAccount* Account(const base::AccountId& aId) const;
  const DataCentre* FindDataCentre(const base::DataCentreId& aId) const;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

} // namespace flamingoloom::config
