#include "leader_handover.hpp"

namespace springstair
{

namespace
{

// A successor needs two answers of the store, one for a lease and one for the
// claim. After this timeout another entry is requested.
constexpr duration takeover_timeout = std::chrono::milliseconds(500);

} // namespace

leader_handover::leader_handover(process_context& process,
                                 const platform::store_client& store,
                                 leader_election& election)
    : process_(process), store_(store), leader_election_(election)
{
}

void leader_handover::begin()
{
    entries_.clear();
    requested_successor_.clear();
}

leader_state leader_handover::state(time_point now, bool stopping) const
{
    const duration silent = now - store_.served_at();
    return {.processors = process_.settings.processors,
            .held_for = now - leader_election_.leader_since(),
            .store_unavailable_for =
                store_.is_unavailable() ? silent : duration{0},
            .stopping = stopping};
}

void leader_handover::tick(time_point now, bool stopping)
{
    if (!leader_election_.is_leader())
    {
        return;
    }
    if (!requested_successor_.empty())
    {
        if (now - requested_at_ < takeover_timeout)
        {
            return;
        }
        entries_.note_declined(requested_successor_, now);
        requested_successor_.clear();
    }
    if (const auto next = entries_.next_handover(state(now, stopping), now))
    {
        request_takeover(*next, now);
    }
}

void leader_handover::request_takeover(const handover_target& target,
                                       time_point now)
{
    requested_successor_ = target.address;
    requested_at_ = now;
    log_event(event_id::office_offered,
              {{"to", target.address},
               {"epoch", std::to_string(leader_election_.epoch())},
               {"why", std::string(to_string(target.reason))}});
    const take_over_request request{.epoch = leader_election_.epoch(),
                                    .from =
                                        announced_address(process_.settings)};
    process_.client.send(
        {.method = "POST",
         .url = "http://" + target.address + wire::rpc_path,
         .headers = {{"content-type", "application/json"}},
         .body = make_body(rpc_request(take_over_method, request)),
         .timeout = takeover_timeout},
        process_.on_control<http_result>(
            [this, to = target.address](const http_result& result)
            {
                if (result.how != delivery::answered)
                {
                    on_result({.by = to});
                }
            }));
}

void leader_handover::on_result(const take_over_result& result)
{
    if (result.epoch > 0)
    {
        leader_election_.observe_leader(result.epoch, result.by);
    }
    else if (result.by == requested_successor_)
    {
        entries_.note_declined(requested_successor_, boot_clock::now());
        requested_successor_.clear();
    }
}

job_memory leader_handover::memory_for_jobs(std::int64_t held_bytes,
                                            time_point now) const
{
    const std::int64_t own = job_capacity_bytes(process_.settings);
    return {.capacity_bytes = entries_.job_capacity(own, now),
            .held_bytes = held_bytes};
}

entry_heartbeat_answer leader_handover::answer(const entry_heartbeat& heartbeat)
{
    entry_heartbeat_answer answer{.epoch = leader_election_.newest_epoch(),
                                  .holder = leader_election_.leader(),
                                  .holds = leader_election_.is_leader()};
    if (answer.holds)
    {
        const time_point now = boot_clock::now();
        entries_.record_heartbeat(heartbeat, now);
        answer.rank = entries_.rank(heartbeat.address, now);
        answer.peers = entries_.peers_of(heartbeat, now);
    }
    return answer;
}

} // namespace springstair
