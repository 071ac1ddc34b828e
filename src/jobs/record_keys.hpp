/// The keys of a job's records in the state service; REF stands for the job's reference.
#pragma once

namespace wingtrail::jobs {

/// j/REF: the job, while it has no final state.
inline constexpr const char* kLiveJobPrefix = "j/";
/// f/REF: the job's final state.
inline constexpr const char* kFinalStatePrefix = "f/";
/// j/REF/abort: the cancellation marker; its user wants the job cancelled.
inline constexpr const char* kCancellationSuffix = "/abort";
/// In the record of a job that another cell handed on: the name of that cell.
inline constexpr const char* kOriginCellField = "guest";

}  // namespace wingtrail::jobs
