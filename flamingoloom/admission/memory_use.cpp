#include "flamingoloom/admission/memory_use.h"

#include <algorithm>

#include "flamingoloom/json/decode.h"

namespace flamingoloom::admission {

using json::Json;

namespace {

// Upper estimates of what the scheduler, the watch of the job table and the
// allocator keep for each part of a job, beside its texts.
constexpr std::int64_t kJobBytes = 1500;
constexpr std::int64_t kStepBytes = 700;
constexpr std::int64_t kTaskBytes = 400;
constexpr std::int64_t kOccurrenceBytes = 200;
constexpr std::int64_t kEndedJobBytes = 1000;
constexpr std::int64_t kStepRowBytes = 16;

constexpr std::int64_t kUnitsOfLimit = 256;
// A quarter of the memory is reserved for the classes, in equal parts.
constexpr std::int64_t kReservedDivisor = 4;
// Far above the memory of any machine. Sums of some thousand such values do not
// overflow.
constexpr std::int64_t kMaxBytes = std::int64_t{ 1 } << 48;

} // namespace

MemoryClass ClassOf(const base::AccountId& aAccount, int aPriority)
{
  return { aAccount, aPriority == 0 };
}

void MemoryUse::Add(const MemoryClass& aClass, std::int64_t aBytes)
{
  mTotal += aBytes;
  auto& bytes = mByClass[aClass];
  bytes += aBytes;
  if (bytes == 0) {
    mByClass.erase(aClass);
  }
}

void MemoryUse::Add(const MemoryUse& aOther)
{
  for (const auto& [entry, bytes] : aOther.mByClass) {
    Add(entry, bytes);
  }
  AddUnlisted(aOther.mUnlisted);
}

std::int64_t MemoryUse::Of(const MemoryClass& aClass) const
{
  const auto entry = mByClass.find(aClass);
  return entry == mByClass.end() ? 0 : entry->second;
}

std::int64_t JobMemory(const jobs::JobSpec& aJob)
{
  std::int64_t texts = static_cast<std::int64_t>(aJob.mPayload.size());
  std::int64_t occurrence = kOccurrenceBytes;
  for (const auto& step : aJob.mSteps) {
    texts += static_cast<std::int64_t>(
      sizeof step + step.mRequiredLabel.size() + step.mDataRack.size() +
      step.mImage.size() +
      step.mDependsOn.size() * sizeof step.mDependsOn.front());
    occurrence += kStepBytes + step.mTaskCount * kTaskBytes;
  }
  return kJobBytes + texts + aJob.OccurrenceCount() * occurrence;
}

std::int64_t EndedJobMemory(std::size_t aStepRows)
{
  return kEndedJobBytes + static_cast<std::int64_t>(aStepRows) * kStepRowBytes;
}

std::int64_t MemoryLimits::ReservedForEach() const
{
  return (mTotal - Shared()) / std::max<std::int64_t>(1, mClasses);
}

std::int64_t MemoryLimits::Shared() const
{
  return mTotal - mTotal / kReservedDivisor;
}

bool HasRoom(const MemoryUse& aUse,
             const MemoryClass& aClass,
             std::int64_t aBytes,
             const MemoryLimits& aLimits)
{
  const auto reserved = aLimits.ReservedForEach();
  const auto shared = aUse.Of(aClass) + aBytes - reserved;
  if (shared <= 0) {
    return true;
  }
  // Classes that are not listed use little more than their reserved parts.
  auto sharedByOthers = std::max<std::int64_t>(
    0, aUse.Unlisted() - (aLimits.mTotal - aLimits.Shared()));
  for (const auto& [entry, bytes] : aUse.ByClass()) {
    sharedByOthers +=
      entry == aClass ? 0 : std::max<std::int64_t>(0, bytes - reserved);
  }
  return shared <= aLimits.Shared() - sharedByOthers - shared;
}

bool MayEverFit(std::int64_t aBytes, const MemoryLimits& aLimits)
{
  return HasRoom({}, {}, aBytes, aLimits);
}

std::string EncodeMemoryUse(const MemoryUse& aUse, std::int64_t aLimit)
{
  const auto unit = std::max<std::int64_t>(1, aLimit / kUnitsOfLimit);
  Json classes = Json::array();
  std::int64_t listed = 0;
  for (const auto& [entry, bytes] : aUse.ByClass()) {
    const auto rounded = bytes / unit * unit;
    if (rounded > 0) {
      classes.push_back(
        Json::array({ entry.mAccount.Value(), entry.mUrgent, rounded }));
      listed += rounded;
    }
  }
  const auto unlisted = std::max<std::int64_t>(0, aUse.Total() - listed);
  return Json::array({ unlisted / unit * unit, std::move(classes) })
    .dump(-1, ' ', false, Json::error_handler_t::replace);
}

base::Expected<MemoryUse> DecodeMemoryUse(const std::string& aValue)
{
  return json::Decode<MemoryUse>(
    "read memory use", "store", aValue, [](const Json& aJson) {
      MemoryUse use;
      const auto bytes = [](const Json& aNumber) {
        return json::Integer<std::int64_t>(aNumber, "bytes", 0, kMaxBytes);
      };
      for (const auto& entry : aJson.at(1)) {
        use.Add({ base::AccountId(entry.at(0).get<std::string>()),
                  entry.at(1).get<bool>() },
                bytes(entry.at(2)));
      }
      use.AddUnlisted(bytes(aJson.at(0)));
      return use;
    });
}

} // namespace flamingoloom::admission
