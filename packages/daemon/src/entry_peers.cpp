// Other processes: guards' heartbeats and the exchange between entries.

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
    heartbeat_answer answer{.entry = {process_.from.common.name}};
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

entry_summary entry_control::summary(time_point now, const std::string& to,
                                     bool offer)
{
    entry_summary said{.entry = {process_.from.common.name},
                       .incarnation = incarnation_,
                       .address = own_address(),
                       .data_centre = process_.from.common.data_centre,
                       .leaving = drain_since_.has_value(),
                       .table_revision = requests_.rows().revision(),
                       .entries = known_entries(),
                       .shards = tasks_.held(),
                       .task_usage = tasks_.usage()};
    requests_.fill_summary(now, said, to, offer);
    const auto& known = requests_.entries().summaries();
    const auto other = known.find(to);
    const bool behind = other != known.end() &&
                        other->second.table_revision < said.table_revision;
    if (behind)
    {
        said.table = requests_.rows().document();
    }
    return said;
}

void entry_control::take_peer_table(const json& document)
{
    if (!document.is_object())
    {
        return;
    }
    if (const auto rows = table_of_peer(document))
    {
        take_table(*rows);
    }
}

json entry_control::on_exchange(const json& message)
{
    const time_point now = clock_.now();
    const auto said = message.get<entry_summary>();
    learn_addresses(said.entries);
    take_peer_table(said.table);
    requests_.on_exchange(now, said);
    tasks_.on_peer_usage(said.entry.value, said.task_usage);
    return summary(now, said.entry.value, false);
}

void entry_control::exchange_with(const std::string& address)
{
    peer& other = peers_[address];
    if (std::exchange(other.asked, true))
    {
        return;
    }
    const json message = summary(clock_.now(), other.name, true);
    process_.client.send(
        make_rpc_call(address, process_.from.common.fleet_key,
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
    other.asked = false;
    const auto answer = rpc_answer_of<entry_summary>(ended.result);
    if (!answer)
    {
        const bool dead =
            !other.in_settings && ended.result.how == delivery::not_sent &&
            clock_.now() - other.answered > std::chrono::minutes(5);
        if (dead)
        {
            peers_.erase(ended.address);
        }
        return;
    }
    const time_point now = clock_.now();
    const entry_summary& said = *answer;
    other.name = said.entry.value;
    other.answered = now;
    learn_addresses(said.entries);
    take_peer_table(said.table);
    requests_.on_exchange_answer(now, said);
    tasks_.on_peer_usage(said.entry.value, said.task_usage);
    for (committed_edit& edit : committed_)
    {
        if (said.table_revision >= edit.revision)
        {
            edit.waiting_for.erase(ended.address);
        }
    }
    if (said.table_revision < requests_.rows().revision())
    {
        exchange_with(ended.address);
    }
}

} // namespace springstair
