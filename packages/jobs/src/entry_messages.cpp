#include <springstair/jobs.hpp>

#include <algorithm>

namespace springstair
{

void to_json(json& to, const waiting_count& from)
{
    to = {{"waiting", from.waiting}, {"age_ms", from.age_ms}};
}

namespace
{

// Counts are used for seconds.
constexpr std::int64_t max_age_ms = 60'000;

} // namespace

// An answer without a count is no count of 0.
void from_json(const json& from, waiting_count& to)
{
    to = {.waiting = from.at("waiting").get<std::int64_t>(),
          .age_ms = std::clamp(from.value("age_ms", std::int64_t{0}),
                               std::int64_t{0}, max_age_ms)};
}

void to_json(json& to, const entry_heartbeat_answer& from)
{
    to = {{"epoch", from.epoch}, {"holder", from.holder}};
    if (from.holds)
    {
        to["holds"] = true;
        to["peers"] = from.peers;
        to["operator_change"] = from.operator_change;
    }
    if (from.rank)
    {
        to["rank"] = *from.rank;
    }
    if (from.job_allotment_bytes)
    {
        to["job_allotment_bytes"] = *from.job_allotment_bytes;
    }
}

void from_json(const json& from, entry_heartbeat_answer& to)
{
    to = {.epoch = from.value("epoch", std::int64_t{0}),
          .holder = from.value("holder", ""),
          .holds = from.value("holds", false),
          .peers = from.value("peers", std::vector<std::string>{}),
          .operator_change = from.value("operator_change", std::int64_t{0})};
    if (from.contains("rank"))
    {
        to.rank = from.at("rank").get<std::int64_t>();
    }
    if (from.contains("job_allotment_bytes"))
    {
        to.job_allotment_bytes =
            from.at("job_allotment_bytes").get<std::int64_t>();
    }
}

} // namespace springstair
