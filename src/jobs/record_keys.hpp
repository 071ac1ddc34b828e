/// @file
/// Keys of a job's records in the state service. REF stands for the job's reference.
#pragma once

namespace wingtrail::jobs {

/// j/REF: the job's record while it has no final state.
inline constexpr const char* kLiveJobPrefix = "j/";
/// f/REF: the job's final state.
inline constexpr const char* kFinalStatePrefix = "f/";
/// j/REF/abort: the cancellation marker, written when the user requests the job's cancellation.
inline constexpr const char* kCancellationSuffix = "/abort";
/// Field of a foreign job's record: the name of the origin cell, which offloaded it.
inline constexpr const char* kOriginCellField = "guest";

}  // namespace wingtrail::jobs
