#pragma once
// Keys and transactions of jobs in the store.

#include "platform.hpp"

#include <springstair/scheduler.hpp>

#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// Prefix of all jobs and cancellations; their keys are never modified.
inline constexpr const char* jobs_prefix = "springstair/jobs/";
/// Prefix of tombstones: cancellations of jobs that were not in the store, each
/// under a lease of the store.
inline constexpr const char* tombstones_prefix = "springstair/tombstones/";
/// Prefix of each job's progress, and of the ends of its runs that leaders
/// stored which held the job; only the leader writes them.
inline constexpr const char* progress_prefix = "springstair/progress/";

/// The leader's measurements of interference between images, which a successor
/// loads.
inline constexpr const char* interference_key = "springstair/harms";

std::string job_key(const std::string& id);
std::string cancellation_key(const std::string& id);
std::string progress_key(const std::string& id);
/// The key of a record that a leader writes in the term @p epoch.
std::string record_key(const progress_write& write, std::int64_t epoch);
/// The key is that of the job in one queue: a cancellation in another queue
/// concerns another job.
std::string tombstone_key(const job_reference& job);

/// The parts of a key below jobs_prefix.
struct job_key_parts
{
    std::string id;
    bool cancellation = false;
};
job_key_parts parse_job_key(const std::string& key);

/// The parts of a key below progress_prefix.
struct progress_key_parts
{
    std::string id;
    record_kind kind = record_kind::progress;
};
progress_key_parts parse_progress_key(const std::string& key);

/// Decodes a stored job. @throw document_error if it is invalid
job decode_job(const std::string& text);
/// Decodes the value of interference_key. @throw document_error 102 if it is
/// invalid
std::vector<pair_interference> decode_interference(const std::string& text);

/// The transaction that accepts a job: creates it unless it exists or has a
/// tombstone.
kv_transaction acceptance_of(const job& definition);
/// Whether a conflict of acceptance_of() is due to a tombstone: the job was
/// cancelled before it was created.
bool has_tombstone(const std::vector<platform::store_item>& conflicting,
                   const job& definition);
/// The transaction that stores a cancellation.
kv_transaction cancellation_of(const std::string& id);
/// The transaction that stores a tombstone, unless the job exists.
kv_transaction tombstone_of(const job_reference& job, std::int64_t lease);
/// The fenced write of a batch in the term @p epoch.
kv_transaction transaction_of(const commit_batch& batch, std::int64_t epoch);

} // namespace springstair
