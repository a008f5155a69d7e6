#include "job_store.hpp"

#include "leader_watch.hpp"

#include <algorithm>

namespace springstair
{

namespace
{

constexpr std::string_view cancellation_suffix = "/cancelled";
constexpr std::string_view ends_part = "/ends/";
// Distinguishes queues; the names themselves may be too long for a key.
constexpr std::size_t queue_digits = 16;

bool is_stored(const std::vector<platform::store_item>& items,
               const std::string& key)
{
    return std::ranges::any_of(items,
                               [&](const platform::store_item& item) {
                                   return item.key == key && item.revision > 0;
                               });
}

kv_compare absence_of(const std::string& key)
{
    return {
        .key = key, .target = kv_compare::number::mod_revision, .equals = 0};
}

} // namespace

std::string job_key(const std::string& id)
{
    return jobs_prefix + id;
}

std::string cancellation_key(const std::string& id)
{
    return job_key(id) + std::string(cancellation_suffix);
}

std::string progress_key(const std::string& id)
{
    return progress_prefix + id;
}

// Unlike a job's progress, no two records of ends have the same key.
std::string record_key(const progress_write& write, std::int64_t epoch)
{
    std::string key = progress_key(write.job);
    if (write.kind == record_kind::ends)
    {
        key += ends_part;
        key += std::to_string(epoch) + "-" + std::to_string(write.number);
    }
    return key;
}

progress_key_parts parse_progress_key(const std::string& key)
{
    progress_key_parts parts{
        .id = key.substr(std::string_view(progress_prefix).size())};
    const std::size_t end = parts.id.find(ends_part);
    if (end != std::string::npos)
    {
        parts.id.resize(end);
        parts.kind = record_kind::ends;
    }
    return parts;
}

std::string tombstone_key(const job_reference& job)
{
    return tombstones_prefix + job.id + "/" +
           sha256_hex(job.queue).substr(0, queue_digits);
}

job_key_parts parse_job_key(const std::string& key)
{
    job_key_parts parts{.id = key.substr(std::string_view(jobs_prefix).size())};
    if (parts.id.ends_with(cancellation_suffix))
    {
        parts.id.resize(parts.id.size() - cancellation_suffix.size());
        parts.cancellation = true;
    }
    return parts;
}

job decode_job(const std::string& text)
{
    try
    {
        return read_job(parse_json(text));
    }
    catch (const json::exception& error)
    {
        throw document_error(std::string("invalid stored job: ") +
                             error.what());
    }
}

std::vector<pair_interference> decode_interference(const std::string& text)
{
    try
    {
        return parse_json(text).get<std::vector<pair_interference>>();
    }
    catch (const json::exception& error)
    {
        throw document_error(std::string("invalid stored interference: ") +
                             error.what());
    }
}

kv_transaction acceptance_of(const job& definition)
{
    const std::string key = job_key(definition.id);
    const std::string tombstone =
        tombstone_key({.id = definition.id, .queue = definition.queue});
    return {.compares = {absence_of(key), absence_of(tombstone)},
            .puts = {{.key = key, .value = json(definition).dump()}}};
}

bool has_tombstone(const std::vector<platform::store_item>& conflicting,
                   const job& definition)
{
    const std::string tombstone =
        tombstone_key({.id = definition.id, .queue = definition.queue});
    return is_stored(conflicting, tombstone) &&
           !is_stored(conflicting, job_key(definition.id));
}

kv_transaction tombstone_of(const job_reference& job, std::int64_t lease)
{
    return {
        .compares = {absence_of(job_key(job.id))},
        .puts = {{.key = tombstone_key(job), .value = "{}", .lease = lease}}};
}

kv_transaction cancellation_of(const std::string& id)
{
    return {.puts = {{.key = cancellation_key(id), .value = "{}"}}};
}

kv_transaction transaction_of(const commit_batch& batch, std::int64_t epoch)
{
    kv_transaction transaction{
        .compares = {{.key = leader_key,
                      .target = kv_compare::number::mod_revision,
                      .equals = epoch}}};
    for (const progress_write& write : batch)
    {
        const std::string key = record_key(write, epoch);
        transaction.compares.push_back(
            {.key = key,
             .target = kv_compare::number::mod_revision,
             .equals = write.expected_revision});
        transaction.puts.push_back({.key = key, .value = write.text});
    }
    return transaction;
}

} // namespace springstair
