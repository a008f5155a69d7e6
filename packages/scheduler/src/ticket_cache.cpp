#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

ticket_map ticket_cache::tickets(const std::string& step, time_point now) const
{
    ticket_map out;
    const auto found = steps_.find(step);
    if (found == steps_.end())
    {
        return out;
    }
    for (const auto& [executor, held] : found->second.good)
    {
        if (now + options_.reserve < held.until)
        {
            out.emplace(executor, held.text);
        }
    }
    return out;
}

void ticket_cache::request_tickets(
    const std::string& step, const std::vector<executor_incarnation>& executors,
    time_point now)
{
    step_record& of = steps_[step];
    const bool waits = !of.wanted.empty() || (out_ && out_->step == step);
    if (waits || now < of.not_before)
    {
        return;
    }
    of.since = now;
    for (const executor_incarnation& executor : executors)
    {
        const auto held = of.good.find(executor);
        const bool holds = held != of.good.end() &&
                           now + options_.reserve < held->second.until;
        const bool bad = held == of.good.end() && of.asked.contains(executor);
        if (!holds && !bad && of.wanted.size() < options_.max_workers)
        {
            of.wanted.push_back(executor);
        }
    }
}

std::optional<advice_query> ticket_cache::next_question(time_point now)
{
    if (out_)
    {
        return std::nullopt;
    }
    auto waiting = steps_.end();
    for (auto entry = steps_.begin(); entry != steps_.end(); ++entry)
    {
        const step_record& of = entry->second;
        const bool is_next =
            waiting == steps_.end() || of.since < waiting->second.since;
        if (!of.wanted.empty() && is_next)
        {
            waiting = entry;
        }
    }
    if (waiting == steps_.end())
    {
        return std::nullopt;
    }
    out_ = advice_query{.step = waiting->first,
                        .executors = std::move(waiting->second.wanted)};
    waiting->second.wanted.clear();
    out_since_ = now;
    return out_;
}

void ticket_cache::answered(const std::optional<advice_answer>& answer,
                            time_point now)
{
    const advice_query question = out_.value();
    out_.reset();
    const auto found = steps_.find(question.step);
    if (found == steps_.end())
    {
        return; // forgotten meanwhile
    }
    step_record& of = found->second;
    of.not_before = answer ? time_point{} : now + options_.pause;
    if (!answer)
    {
        return;
    }
    const time_point until =
        out_since_ + std::chrono::milliseconds(answer->valid_ms);
    for (const executor_incarnation& executor : question.executors)
    {
        of.asked.insert(executor);
        of.good.erase(executor);
    }
    for (const auto& [executor, text] : answer->tickets)
    {
        of.good[executor] = {.text = text, .until = until};
    }
}

void ticket_cache::refused(const std::string& step,
                           const executor_incarnation& executor)
{
    const auto found = steps_.find(step);
    if (found != steps_.end())
    {
        found->second.good.erase(executor);
        found->second.asked.erase(executor);
    }
}

void ticket_cache::forget(const std::string& step)
{
    steps_.erase(step);
}

} // namespace springstair
