#include "leader_handover.hpp"

namespace springstair
{

namespace
{

// To be granted a lease and to claim the office takes two answers of the store;
// another entry is asked after that.
constexpr duration result_within = std::chrono::milliseconds(500);

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
    asked_.clear();
}

leader_state leader_handover::state(time_point now, bool stopping) const
{
    const duration silent = now - store_.served_at();
    return {.processors = process_.from.processors,
            .held_for = now - leader_election_.held_since(),
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
    if (!asked_.empty())
    {
        if (now - asked_at_ < result_within)
        {
            return;
        }
        entries_.note_declined(asked_, now);
        asked_.clear();
    }
    if (const auto next = entries_.next_handover(state(now, stopping), now))
    {
        ask(*next, now);
    }
}

void leader_handover::ask(const handover_target& what, time_point now)
{
    asked_ = what.to;
    asked_at_ = now;
    log_event(event_id::office_offered,
              {{"to", what.to},
               {"epoch", std::to_string(leader_election_.epoch())},
               {"why", std::string(to_string(what.why))}});
    const take_over_request request{.epoch = leader_election_.epoch(),
                                    .from = announced_address(process_.from)};
    process_.client.send(
        {.method = "POST",
         .url = "http://" + what.to + wire::rpc_path,
         .headers = {{"content-type", "application/json"}},
         .body = make_body(rpc_request(take_over_method, request)),
         .timeout = result_within},
        process_.on_control<http_result>(
            [this, to = what.to](const http_result& result)
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
        leader_election_.told(result.epoch, result.by);
    }
    else if (result.by == asked_)
    {
        entries_.note_declined(asked_, boot_clock::now());
        asked_.clear();
    }
}

entry_heartbeat_answer leader_handover::answer(const entry_heartbeat& from)
{
    entry_heartbeat_answer answer{.epoch = leader_election_.newest_epoch(),
                                  .holder = leader_election_.leader(),
                                  .holds = leader_election_.is_leader()};
    if (answer.holds)
    {
        const time_point now = boot_clock::now();
        entries_.record_heartbeat(from, now);
        answer.rank = entries_.rank(from.address, now);
        answer.peers = entries_.peers_of(from, now);
    }
    return answer;
}

} // namespace springstair
