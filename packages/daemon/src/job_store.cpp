#include "job_store.hpp"

#include "leader_watch.hpp"

namespace springstair
{

namespace
{

constexpr std::string_view cancellation_suffix = "/cancelled";

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
        return read_job(json::parse(text));
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
        return json::parse(text).get<std::vector<pair_interference>>();
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
    return {.compares = {{.key = key,
                          .target = kv_compare::number::mod_revision,
                          .equals = 0}},
            .puts = {{.key = key, .value = json(definition).dump()}}};
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
        const std::string key = progress_key(write.job);
        transaction.compares.push_back(
            {.key = key,
             .target = kv_compare::number::mod_revision,
             .equals = write.expected_revision});
        transaction.puts.push_back({.key = key, .value = write.text});
    }
    return transaction;
}

} // namespace springstair
