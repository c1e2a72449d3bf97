#include "flamingoloom/jobs/records.h"

#include "flamingoloom/base/compression.h"
#include "flamingoloom/json/decode.h"

namespace flamingoloom::jobs {

using json::Json;

namespace {

constexpr char kCancelSuffix[] = ".c";
// Limit of the memory that a decompressed value may take; the JSON of the
// largest request of a caller takes about as much.
constexpr std::size_t kMaxDecompressedBytes = std::size_t{ 4 } * 1024 * 1024;

Json EncodeResources(const Resources& aResources)
{
  return Json::array(
    { aResources.mCpuMilli, aResources.mMemoryMb, aResources.mAccelerators });
}

Resources DecodeResources(const Json& aValue)
{
  return { aValue.at(0), aValue.at(1), aValue.at(2) };
}

base::Duration DecodeDuration(const Json& aValue)
{
  return base::Duration(aValue.get<std::int64_t>());
}

Json EncodeStepSpec(const StepSpec& aStep)
{
  return { { "count", aStep.mTaskCount },
           { "needs", EncodeResources(aStep.mPerTask) },
           { "estimateUs", aStep.mEstimate.count() },
           { "after", aStep.mDependsOn },
           { "gang", aStep.mGang },
           { "sameRack", aStep.mSameRack },
           { "checkpoints", aStep.mCheckpoints },
           { "speculative", aStep.mSpeculative },
           { "longRunning", aStep.mLongRunning },
           { "idleCpu", aStep.mUsesIdleCpu },
           { "label", aStep.mRequiredLabel },
           { "dataRack", aStep.mDataRack },
           { "image", aStep.mImage },
           { "maxPerServer", aStep.mMaxPerServer },
           { "missAllowed", aStep.mMaxUnavailable },
           { "tailTargetUs", aStep.mTailLatencyTarget.count() } };
}

StepSpec DecodeStepSpec(const Json& aValue)
{
  StepSpec step;
  step.mTaskCount = json::Integer<int>(aValue.at("count"), "count", 1);
  step.mPerTask = DecodeResources(aValue.at("needs"));
  step.mEstimate = DecodeDuration(aValue.at("estimateUs"));
  step.mDependsOn = aValue.at("after").get<std::vector<int>>();
  step.mGang = aValue.at("gang");
  step.mSameRack = aValue.at("sameRack");
  step.mCheckpoints = aValue.at("checkpoints");
  step.mSpeculative = aValue.at("speculative");
  step.mLongRunning = aValue.at("longRunning");
  step.mUsesIdleCpu = aValue.at("idleCpu");
  step.mRequiredLabel = aValue.at("label");
  step.mDataRack = aValue.at("dataRack");
  step.mImage = aValue.at("image");
  step.mMaxPerServer = aValue.at("maxPerServer");
  step.mMaxUnavailable = aValue.at("missAllowed");
  step.mTailLatencyTarget = DecodeDuration(aValue.at("tailTargetUs"));
  return step;
}

Json EncodeRules(const QueueRules& aRules)
{
  return { { "queue", aRules.mQueue },
           { "service", aRules.mService },
           { "priority", aRules.mPriority },
           { "maxAttempts", aRules.mMaxAttempts },
           { "stretch", aRules.mStretch },
           { "targetLatencyUs", aRules.mTargetLatency.count() },
           { "advice", aRules.mNeedsAdvice } };
}

QueueRules DecodeRules(const Json& aValue)
{
  QueueRules rules;
  rules.mQueue = aValue.at("queue");
  rules.mService = aValue.at("service");
  rules.mPriority = aValue.at("priority");
  rules.mMaxAttempts = aValue.at("maxAttempts");
  rules.mStretch = aValue.at("stretch");
  rules.mTargetLatency = DecodeDuration(aValue.at("targetLatencyUs"));
  rules.mNeedsAdvice = aValue.at("advice");
  return rules;
}

// Throws if aValue is not the number of an enumerator up to aLast.
template <class T>
T DecodeEnum(const Json& aValue, const char* aName, T aLast)
{
  return static_cast<T>(
    json::Integer<int>(aValue, aName, 0, static_cast<int>(aLast)));
}

template <class T, class Decoder>
base::Expected<T> ParseAndDecode(const char* aWhat,
                                 const std::string& aValue,
                                 Decoder aDecode)
{
  return json::Decode<T>(aWhat, "store", aValue, aDecode);
}

std::string CompressIfLong(std::string aText)
{
  return aText.size() <= kMaxValueBytes ? std::move(aText)
                                        : base::Compress(aText);
}

// As ParseAndDecode, for the result of CompressIfLong. No JSON that is encoded
// here begins like compressed data.
template <class T, class Decoder>
base::Expected<T> DecompressAndDecode(const char* aWhat,
                                      const std::string& aValue,
                                      Decoder aDecode)
{
  if (aValue.empty() || aValue.front() == '{') {
    return ParseAndDecode<T>(aWhat, aValue, aDecode);
  }
  return base::Decompress(aWhat, "store", aValue, kMaxDecompressedBytes)
    .and_then([&](const std::string& aText) {
      return ParseAndDecode<T>(aWhat, aText, aDecode);
    });
}

} // namespace

const std::vector<std::string>& JobPartitions()
{
  // A slow store processes a few transactions per second in each partition, and
  // the largest sites submit 14 jobs per second. With more partitions a new
  // leader has more to read when it recovers the jobs.
  static const std::vector<std::string> sPartitions = {
    "j0", "j1", "j2", "j3", "j4", "j5", "j6", "j7"
  };
  return sPartitions;
}

const std::string& PartitionOfJob(const std::string& aJob)
{
  // FNV-1a, because all instances, including those of other builds, must
  // compute the same partition.
  std::uint32_t hash = 2166136261U;
  for (const char c : aJob) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
  }
  return JobPartitions()[hash % JobPartitions().size()];
}

std::string CancelKey(const std::string& aJob)
{
  return aJob + kCancelSuffix;
}

bool IsCancelKey(const std::string& aKey)
{
  return aKey.size() > 2 &&
         aKey.compare(aKey.size() - 2, 2, kCancelSuffix) == 0;
}

std::string JobOfKey(const std::string& aKey)
{
  return aKey.substr(0, aKey.find_first_of("./"));
}

std::string StepKey(const std::string& aJob, int aOccurrence, int aStep)
{
  return aJob + "/" + std::to_string(aOccurrence) + "/" + std::to_string(aStep);
}

std::string EncodeJob(const JobSpec& aJob)
{
  Json steps = Json::array();
  for (const auto& step : aJob.mSteps) {
    steps.push_back(EncodeStepSpec(step));
  }
  return CompressIfLong(
    Json{ { "account", aJob.mAccount.Value() },
          { "rules", EncodeRules(aJob.mRules) },
          { "payload", aJob.mPayload },
          { "steps", std::move(steps) },
          { "occurrences", aJob.mOccurrences },
          { "firstDueMs", aJob.mFirstDueMs },
          { "intervalMs", aJob.mIntervalMs },
          { "acceptedMs", aJob.mAcceptedMs } }
      .dump(-1, ' ', false, Json::error_handler_t::replace));
}

base::Expected<JobSpec> DecodeJob(const std::string& aId,
                                  const std::string& aValue)
{
  return DecompressAndDecode<JobSpec>(
    "read job", aValue, [&](const Json& aJson) {
      JobSpec job;
      job.mId = aId;
      job.mAccount = base::AccountId(aJson.at("account").get<std::string>());
      job.mRules = DecodeRules(aJson.at("rules"));
      job.mPayload = aJson.at("payload");
      for (const auto& step : aJson.at("steps")) {
        job.mSteps.push_back(DecodeStepSpec(step));
      }
      job.mOccurrences = aJson.at("occurrences");
      job.mFirstDueMs = aJson.at("firstDueMs");
      job.mIntervalMs = aJson.at("intervalMs");
      job.mAcceptedMs = aJson.at("acceptedMs");
      return job;
    });
}

std::string EncodeState(const StateRecord& aState)
{
  return Json::array({ static_cast<int>(aState.mState),
                       aState.mAccount.Value(),
                       aState.mEndedAtStoreMs })
    .dump();
}

base::Expected<StateRecord> DecodeState(const std::string& aValue)
{
  return ParseAndDecode<StateRecord>(
    "read job state", aValue, [](const Json& aJson) {
      StateRecord state;
      state.mState = DecodeEnum(aJson.at(0), "state", JobState::eCancelled);
      state.mAccount = base::AccountId(aJson.at(1).get<std::string>());
      state.mEndedAtStoreMs = aJson.at(2);
      return state;
    });
}

std::string EncodeStep(const StepRecord& aStep)
{
  Json tasks = Json::array();
  for (const auto& task : aStep.mTasks) {
    tasks.push_back(Json::array({ task.mIndex,
                                  static_cast<int>(task.mOutcome),
                                  task.mAttemptNumber,
                                  task.mServer.Value(),
                                  task.mFailures,
                                  task.mCheckpoint }));
  }
  return Json::array({ aStep.mOccurrence,
                       aStep.mStep,
                       std::move(tasks),
                       aStep.mGangFailedAttempt })
    .dump(-1, ' ', false, Json::error_handler_t::replace);
}

base::Expected<StepRecord> DecodeStep(const std::string& aValue)
{
  return ParseAndDecode<StepRecord>("read step", aValue, [](const Json& aJson) {
    StepRecord step;
    step.mOccurrence = aJson.at(0);
    step.mStep = aJson.at(1);
    for (const auto& value : aJson.at(2)) {
      TaskRecord task;
      task.mIndex = value.at(0);
      task.mOutcome = DecodeEnum(value.at(1), "outcome", TaskOutcome::eFailed);
      task.mAttemptNumber = value.at(2);
      task.mServer = base::ServerId(value.at(3).get<std::string>());
      task.mFailures = value.at(4);
      task.mCheckpoint = value.at(5);
      step.mTasks.push_back(std::move(task));
    }
    constexpr std::size_t kGangFailedAttemptIndex = 3;
    if (aJson.size() > kGangFailedAttemptIndex) {
      step.mGangFailedAttempt = aJson.at(kGangFailedAttemptIndex);
    }
    return step;
  });
}

std::string EncodeQueueLengths(const QueueLengths& aLengths)
{
  return CompressIfLong(
    Json(aLengths).dump(-1, ' ', false, Json::error_handler_t::replace));
}

base::Expected<QueueLengths> DecodeQueueLengths(const std::string& aValue)
{
  return DecompressAndDecode<QueueLengths>(
    "read queue lengths", aValue, [](const Json& aJson) {
      return aJson.get<QueueLengths>();
    });
}

} // namespace flamingoloom::jobs
