/// @file
/// The field names of the public protocol. Each constant is named after the term that the rest of the code
/// uses for the field. Private to this package.
#pragma once

namespace wingtrail::wire::field {

// Jobs.
inline constexpr const char* kRef = "ref";
inline constexpr const char* kJobClass = "jobclass";
inline constexpr const char* kTeam = "owner";
inline constexpr const char* kImage = "bundle";
inline constexpr const char* kImageGb = "sizeGb";
inline constexpr const char* kShape = "shape";
inline constexpr const char* kPriority = "urgency";
inline constexpr const char* kTasks = "shards";
inline constexpr const char* kCpus = "cores";
inline constexpr const char* kGpus = "accelerators";
inline constexpr const char* kMemoryGb = "memGb";
inline constexpr const char* kMachineTypes = "flavours";
inline constexpr const char* kZone = "hall";
inline constexpr const char* kSameZone = "samePlace";
inline constexpr const char* kSpreadZones = "apart";
inline constexpr const char* kSpot = "standby";
inline constexpr const char* kEstimateS = "expectedS";
inline constexpr const char* kCheckpointIntervalS = "snapshotEveryS";
inline constexpr const char* kCheckpointCostS = "snapshotCostS";
inline constexpr const char* kDeadlineS = "dueS";
inline constexpr const char* kDependencies = "waitsOn";
inline constexpr const char* kPhase = "phase";
inline constexpr const char* kDoneTasks = "done";
inline constexpr const char* kRunningTasks = "running";

// Records of jobs in the state service, in addition to the fields above.
inline constexpr const char* kSubmittedAt = "submittedAt";
inline constexpr const char* kFinalTasks = "tasks";
inline constexpr const char* kEndedAt = "at";

// Workers.
inline constexpr const char* kHost = "host";
inline constexpr const char* kAddress = "addr";
inline constexpr const char* kMachineType = "flavour";
inline constexpr const char* kIncarnation = "tenure";
inline constexpr const char* kSequence = "counter";
inline constexpr const char* kFencingToken = "mandate";
inline constexpr const char* kPreemptionInS = "reclaimInS";
inline constexpr const char* kTask = "shard";
inline constexpr const char* kAttempt = "try";
inline constexpr const char* kCause = "cause";
inline constexpr const char* kCommands = "orders";
inline constexpr const char* kVerb = "verb";
inline constexpr const char* kGraceS = "windDownS";
inline constexpr const char* kLeader = "steward";

// Cloud.
inline constexpr const char* kName = "name";
inline constexpr const char* kCacheGb = "cacheGb";
inline constexpr const char* kFetchGbPerS = "fetchGbPerS";
inline constexpr const char* kPrice = "rate";
inline constexpr const char* kSpotPrice = "marketPrice";
inline constexpr const char* kBootS = "bootS";
inline constexpr const char* kZones = "halls";
inline constexpr const char* kMachines = "hosts";
inline constexpr const char* kAgeS = "ageS";
inline constexpr const char* kRentalRequest = "hire";
inline constexpr const char* kMachineCount = "howMany";

// State service.
inline constexpr const char* kMore = "more";
inline constexpr const char* kConditions = "if";
inline constexpr const char* kChanges = "apply";
inline constexpr const char* kKey = "path";
inline constexpr const char* kVersion = "stamp";
inline constexpr const char* kPut = "put";
inline constexpr const char* kDelete = "delete";
inline constexpr const char* kValue = "data";
inline constexpr const char* kLease = "permit";
inline constexpr const char* kRevision = "ledgerRev";
inline constexpr const char* kFailedKeys = "failed";
inline constexpr const char* kTtlMs = "ttlMs";
inline constexpr const char* kItems = "items";
inline constexpr const char* kEvents = "events";

}  // namespace wingtrail::wire::field
