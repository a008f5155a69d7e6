#include "leader_heartbeat.hpp"

#include <random>
#include <utility>

namespace springstair
{

namespace
{

constexpr duration heartbeat_interval = std::chrono::milliseconds(2000);
// The leader answers within milliseconds; over a congested slow link it takes
// longer.
constexpr duration heartbeat_timeout = std::chrono::milliseconds(400);
constexpr duration retry_delay = std::chrono::milliseconds(150);
// A single lost heartbeat is not unusual; two in a row are.
constexpr std::size_t failures_before_recheck = 2;
// Spreads the first heartbeats of all entries to a new leader, which is busy at
// that time.
constexpr int max_delay_ms = 300;

duration random_delay()
{
    static std::minstd_rand random{std::random_device{}()};
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(0, max_delay_ms)(random));
}

} // namespace

leader_heartbeat::leader_heartbeat(process_context& process,
                                   platform::store_client& store,
                                   leader_election& election)
    : process_(process), store_(store), leader_election_(election),
      job_allotment_(job_capacity_bytes(process.settings))
{
}

bool leader_heartbeat::is_operator_change_fresh(time_point now) const
{
    return operator_change_ > 0 &&
           now - answered_at_ < heartbeat_interval + heartbeat_timeout;
}

void leader_heartbeat::tick(time_point now)
{
    if (leader_election_.is_leader())
    {
        target_leader_.clear();
        return;
    }
    if (!leader_election_.leader().empty() &&
        leader_election_.leader() != target_leader_)
    {
        target_leader_ = leader_election_.leader();
        failures_ = 0;
        next_heartbeat_at_ = now + random_delay();
    }
    if (busy_ || now < next_heartbeat_at_)
    {
        return;
    }
    const std::string target = next_target();
    if (!target.empty())
    {
        send(target, now);
    }
}

// Alternates between the leader and its peers while the leader does not answer,
// since the leader may be available again.
std::string leader_heartbeat::next_target()
{
    const std::string own = announced_address(process_.settings);
    if (!leader_election_.leader().empty() && failures_ % 2 == 0)
    {
        return leader_election_.leader();
    }
    const auto& others = peers_.empty() ? process_.settings.entries : peers_;
    for (std::size_t tried = 0; tried < others.size(); ++tried)
    {
        const std::string& one = others[++next_peer_ % others.size()];
        if (one != own)
        {
            return one;
        }
    }
    return leader_election_.leader();
}

void leader_heartbeat::send(const std::string& target, time_point now)
{
    busy_ = true;
    const entry_heartbeat heartbeat{
        .address = announced_address(process_.settings),
        .data_centre = process_.settings.data_centre,
        .processors = process_.settings.processors,
        .store_away = store_.is_unavailable(),
        .job_capacity_bytes = job_capacity_bytes(process_.settings)};
    process_.client.send(
        {.method = "POST",
         .url = "http://" + target + wire::rpc_path,
         .headers = {{"content-type", "application/json"}},
         .body = make_body(rpc_request(entry_heartbeat_method, heartbeat)),
         .timeout = heartbeat_timeout},
        process_.on_control<http_result>([this, now](const http_result& result)
                                         { on_answer(result, now); }));
}

void leader_heartbeat::on_answer(const http_result& result, time_point sent)
{
    busy_ = false;
    const auto answer = rpc_answer_of<entry_heartbeat_answer>(result);
    if (answer)
    {
        leader_election_.observe_leader(answer->epoch, answer->holder);
    }
    if (answer && answer->holds)
    {
        failures_ = 0;
        answered_at_ = sent;
        peers_ = answer->peers;
        operator_change_ = answer->operator_change;
        rank_ = answer->rank;
        job_allotment_.renew(answer->job_allotment_bytes);
        next_heartbeat_at_ = sent + heartbeat_interval;
        return;
    }
    if (++failures_ == failures_before_recheck)
    {
        leader_election_.recheck_leader();
    }
    next_heartbeat_at_ = boot_clock::now() + retry_delay;
}

} // namespace springstair
