// Heartbeats of guards and the exchange of summaries between entries.

#include "entry_control.hpp"

#include <algorithm>
#include <utility>

namespace springstair
{

json entry_control::on_heartbeat(const json& message)
{
    const time_point now = clock_.now();
    const auto report = message.get<guard_report>();
    carry_out(requests_.on_heartbeat(now, report));
    task_actions actions;
    heartbeat_answer answer{.entry = {process_.own_settings.common.name}};
    answer.acked = tasks_.on_report(now, report, actions);
    carry_out(actions);
    if (requests_.rows().revision() > report.table_revision)
    {
        answer.table = requests_.rows().document();
    }
    answer.entries = known_entries();
    return answer;
}

std::vector<std::string> entry_control::known_entries() const
{
    std::vector<std::string> all{own_address()};
    for (const auto& [address, peer] : peers_)
    {
        all.push_back(address);
    }
    return all;
}

void entry_control::learn_addresses(const std::vector<std::string>& addresses)
{
    for (const std::string& address : addresses)
    {
        if (address != own_address())
        {
            peers_[address];
        }
    }
}

entry_summary entry_control::summary(time_point now,
                                     const std::string& peer_name, bool offer)
{
    entry_summary own{.entry = {process_.own_settings.common.name},
                      .incarnation = incarnation_,
                      .address = own_address(),
                      .data_centre = process_.own_settings.common.data_centre,
                      .leaving = drain_since_.has_value(),
                      .table_revision = requests_.rows().revision(),
                      .entries = known_entries(),
                      .shards = tasks_.owned_shards(),
                      .task_usage = tasks_.usage()};
    requests_.fill_summary(now, own, peer_name, offer);
    const auto& known = requests_.entries().summaries();
    const auto other = known.find(peer_name);
    const bool behind = other != known.end() &&
                        other->second.table_revision < own.table_revision;
    if (behind)
    {
        own.table = requests_.rows().document();
    }
    return own;
}

void entry_control::apply_peer_table(const json& document)
{
    if (!document.is_object())
    {
        return;
    }
    if (const auto rows = table_of_peer(document))
    {
        apply_table(*rows);
    }
}

json entry_control::on_exchange(const json& message)
{
    const time_point now = clock_.now();
    const auto peer_summary = message.get<entry_summary>();
    learn_addresses(peer_summary.entries);
    apply_peer_table(peer_summary.table);
    requests_.on_exchange(now, peer_summary);
    tasks_.on_peer_usage(peer_summary.entry.value, peer_summary.task_usage);
    return summary(now, peer_summary.entry.value, false);
}

void entry_control::exchange_with(const std::string& address)
{
    peer& other = peers_[address];
    if (std::exchange(other.exchange_in_flight, true))
    {
        return;
    }
    const json message = summary(clock_.now(), other.name, true);
    process_.client.send(
        make_rpc_call(address, process_.own_settings.common.fleet_key,
                      wire::exchange_method, message),
        [&process = process_, address, name = other.name](http_result result) {
            process.events.post(
                exchange_ended{address, name, std::move(result)});
        });
}

void entry_control::exchange_with_all()
{
    std::vector<std::string> addresses;
    for (const auto& [address, other] : peers_)
    {
        addresses.push_back(address);
    }
    for (const std::string& address : addresses)
    {
        exchange_with(address);
    }
}

void entry_control::on(exchange_ended& ended)
{
    peer& other = peers_[ended.address];
    other.exchange_in_flight = false;
    const auto answer = rpc_answer_of<entry_summary>(ended.result);
    if (!answer)
    {
        const bool dead =
            !other.in_settings && ended.result.how == delivery::not_sent &&
            clock_.now() - other.answered_at > std::chrono::minutes(5);
        if (dead)
        {
            peers_.erase(ended.address);
        }
        return;
    }
    const time_point now = clock_.now();
    const entry_summary& peer_summary = *answer;
    other.name = peer_summary.entry.value;
    other.answered_at = now;
    learn_addresses(peer_summary.entries);
    apply_peer_table(peer_summary.table);
    requests_.on_exchange_answer(now, peer_summary);
    tasks_.on_peer_usage(peer_summary.entry.value, peer_summary.task_usage);
    for (committed_edit& edit : committed_)
    {
        if (peer_summary.table_revision >= edit.revision)
        {
            edit.waiting_for.erase(ended.address);
        }
    }
    if (peer_summary.table_revision < requests_.rows().revision())
    {
        exchange_with(ended.address);
    }
}

} // namespace springstair
