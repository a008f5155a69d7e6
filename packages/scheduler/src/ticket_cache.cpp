#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

ticket_map ticket_cache::tickets(const std::string& step, time_point now) const
{
    ticket_map valid;
    const auto found = steps_.find(step);
    if (found == steps_.end())
    {
        return valid;
    }
    for (const auto& [executor, ticket] : found->second.tickets)
    {
        if (now + options_.min_validity < ticket.until)
        {
            valid.emplace(executor, ticket.text);
        }
    }
    return valid;
}

void ticket_cache::request_tickets(
    const std::string& step, const std::vector<executor_incarnation>& executors,
    time_point now)
{
    step_record& record = steps_[step];
    const bool is_pending =
        !record.pending.empty() || (in_flight_ && in_flight_->step == step);
    if (is_pending || now < record.not_before)
    {
        return;
    }
    record.since = now;
    for (const executor_incarnation& executor : executors)
    {
        const auto ticket = record.tickets.find(executor);
        const bool is_valid =
            ticket != record.tickets.end() &&
            now + options_.min_validity < ticket->second.until;
        const bool was_denied =
            ticket == record.tickets.end() && record.decided.contains(executor);
        if (!is_valid && !was_denied &&
            record.pending.size() < options_.max_workers)
        {
            record.pending.push_back(executor);
        }
    }
}

std::optional<advice_query> ticket_cache::next_query(time_point now)
{
    if (in_flight_)
    {
        return std::nullopt;
    }
    auto oldest = steps_.end();
    for (auto entry = steps_.begin(); entry != steps_.end(); ++entry)
    {
        const step_record& record = entry->second;
        const bool is_older =
            oldest == steps_.end() || record.since < oldest->second.since;
        if (!record.pending.empty() && is_older)
        {
            oldest = entry;
        }
    }
    if (oldest == steps_.end())
    {
        return std::nullopt;
    }
    in_flight_ = advice_query{.step = oldest->first,
                              .executors = std::move(oldest->second.pending)};
    oldest->second.pending.clear();
    sent_at_ = now;
    return in_flight_;
}

void ticket_cache::on_answer(const std::optional<advice_answer>& answer,
                             time_point now)
{
    const advice_query query = in_flight_.value();
    in_flight_.reset();
    const auto found = steps_.find(query.step);
    if (found == steps_.end())
    {
        return; // forgotten in the meantime
    }
    step_record& record = found->second;
    record.not_before = answer ? time_point{} : now + options_.retry_backoff;
    if (!answer)
    {
        return;
    }
    const time_point until =
        sent_at_ + std::chrono::milliseconds(answer->valid_ms);
    for (const executor_incarnation& executor : query.executors)
    {
        record.decided.insert(executor);
        record.tickets.erase(executor);
    }
    for (const auto& [executor, text] : answer->tickets)
    {
        record.tickets[executor] = {.text = text, .until = until};
    }
}

void ticket_cache::on_refused(const std::string& step,
                              const executor_incarnation& executor)
{
    const auto found = steps_.find(step);
    if (found != steps_.end())
    {
        found->second.tickets.erase(executor);
        found->second.decided.erase(executor);
    }
}

void ticket_cache::forget(const std::string& step)
{
    steps_.erase(step);
}

} // namespace springstair
