#pragma once
// How jobs lie in the store.

#include "platform.hpp"

#include <springstair/scheduler.hpp>

#include <optional>
#include <string>

namespace springstair
{

/// Every job and every cancellation; nothing below it ever changes.
inline constexpr const char* jobs_prefix = "springstair/jobs/";
/// Every job's progress, written by the holder only.
inline constexpr const char* progress_prefix = "springstair/progress/";

/// What the holder has learnt of harms between images; a successor's start.
inline constexpr const char* interference_key = "springstair/harms";

std::string job_key(const std::string& id);
std::string cancellation_key(const std::string& id);
std::string progress_key(const std::string& id);

/// What a key below jobs_prefix says.
struct job_key_parts
{
    std::string id;
    bool cancellation = false;
};
job_key_parts parse_job_key(const std::string& key);

/// Reads a stored job. @throw document_error 102 if it is not one
job decode_job(const std::string& text);

/// The transaction that accepts a job: it is created if it is not there.
kv_transaction acceptance_of(const job& definition);
/// The transaction that keeps a cancellation.
kv_transaction cancellation_of(const std::string& id);
/// The transaction that writes a batch under an office.
kv_transaction transaction_of(const commit_batch& batch, std::int64_t epoch);

} // namespace springstair
