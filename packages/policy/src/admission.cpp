#include <springstair/policy.hpp>

#include <algorithm>
#include <cmath>

namespace springstair
{

namespace
{

constexpr double service_learning_rate = 0.1;
constexpr double min_service_seconds = 0.001;
// Share of the mean service time that must fit before a request's deadline.
constexpr double min_service_share = 0.5;
constexpr duration min_retry_delay = std::chrono::milliseconds(100);
constexpr duration max_retry_delay = std::chrono::seconds(5);

duration bounded_retry(duration wait)
{
    return std::clamp(wait, min_retry_delay, max_retry_delay);
}

} // namespace

admission::admission(admission_options options) : options_(options) {}

void admission::use_table(const table& rows)
{
    table_ = rows;
    for (auto& [name, workspace] : lanes_)
    {
        std::erase_if(workspace.classes,
                      [&](const auto& item)
                      {
                          return table_.find(item.first) == nullptr &&
                                 item.second.waiting.empty() &&
                                 item.second.running == 0;
                      });
    }
    std::erase_if(lanes_,
                  [](const auto& item) { return item.second.classes.empty(); });
}

// ---------------------------------------------------------------------------
// Slots
// ---------------------------------------------------------------------------

bool admission::is_critical(const class_name& name) const
{
    const class_row* const row = table_.find(name);
    return row != nullptr && row->kind == class_kind::latency_critical;
}

std::int64_t admission::reserved() const noexcept
{
    if (!options_.reserve)
    {
        return 0;
    }
    return std::min(table_.reserved_slots(), options_.slots - 1);
}

std::int64_t admission::slots_open_to(bool critical) const noexcept
{
    return critical ? options_.slots : options_.slots - reserved();
}

std::int64_t admission::taken() const noexcept
{
    return running_critical_ + running_other_ + orphans_;
}

bool admission::may_start(bool critical) const noexcept
{
    if (taken() >= options_.slots)
    {
        return false;
    }
    return critical || running_other_ + orphans_ < slots_open_to(false);
}

void admission::release(const attempt_name& attempt)
{
    const auto found = held_.find(attempt);
    if (found == held_.end())
    {
        return;
    }
    const held_slot& slot = found->second;
    --(slot.critical ? running_critical_ : running_other_);
    --lane_of(slot.work_class).running;
    held_.erase(found);
}

void admission::abandon(const attempt_name& attempt)
{
    release(attempt);
}

void admission::finish(const attempt_name& attempt, duration service)
{
    const auto found = held_.find(attempt);
    if (found == held_.end())
    {
        return;
    }
    class_lane& lane = lane_of(found->second.work_class);
    const double sample = std::max(min_service_seconds, to_seconds(service));
    lane.service += service_learning_rate * (sample - lane.service);
    release(attempt);
}

load_report admission::load() const
{
    load_report report{.slots = options_.slots,
                       .running_critical = running_critical_,
                       .running_other = running_other_ + orphans_};
    for (const auto& [name, workspace] : lanes_)
    {
        for (const auto& [work_class, lane] : workspace.classes)
        {
            (is_critical(work_class) ? report.queued_critical
                                     : report.queued_other) +=
                static_cast<std::int64_t>(lane.waiting.size());
        }
    }
    return report;
}

// ---------------------------------------------------------------------------
// The queue
// ---------------------------------------------------------------------------

admission::class_lane& admission::lane_of(const class_name& name)
{
    return lanes_[name.workspace].classes[name];
}

duration admission::backlog(bool critical) const
{
    double ahead = 0;
    for (const auto& [name, workspace] : lanes_)
    {
        for (const auto& [work_class, lane] : workspace.classes)
        {
            const bool goes_before = !critical || is_critical(work_class);
            const auto waiting = static_cast<double>(lane.waiting.size());
            ahead += goes_before ? waiting * lane.service : 0;
        }
    }
    const auto slots = static_cast<double>(slots_open_to(critical));
    return from_seconds(ahead / std::max(1.0, slots));
}

std::optional<slot_refusal> admission::offer(time_point now,
                                             const slot_request& request)
{
    const class_row* const row = table_.find(request.work_class);
    if (row == nullptr)
    {
        return slot_refusal{.request = request,
                            .reason = refusal::unknown_class,
                            .retry_after = {}};
    }
    const bool critical = is_critical(request.work_class);
    class_lane& lane = lane_of(request.work_class);
    const bool at_once = may_start(critical) &&
                         is_below_class_limit(request.work_class, lane) &&
                         lane.waiting.empty();
    const duration wait = at_once ? duration{0} : backlog(critical);
    if (!at_once && !request.may_wait)
    {
        return slot_refusal{.request = request,
                            .reason = refusal::busy,
                            .retry_after = min_retry_delay};
    }
    const auto length = static_cast<std::int64_t>(lane.waiting.size());
    if (!at_once && length >= row->max_queue)
    {
        return slot_refusal{.request = request,
                            .reason = refusal::queue_full,
                            .retry_after = bounded_retry(wait)};
    }
    const duration needed =
        wait + from_seconds(lane.service * min_service_share);
    if (now + needed > request.deadline)
    {
        return slot_refusal{.request = request,
                            .reason = refusal::deadline,
                            .retry_after = bounded_retry(wait)};
    }
    workspace_lane& workspace = lanes_[request.work_class.workspace];
    workspace.virtual_time = std::max(workspace.virtual_time, virtual_time_);
    lane.waiting.push_back(request);
    return std::nullopt;
}

bool admission::is_below_class_limit(const class_name& name,
                                     const class_lane& lane) const
{
    const class_row* const row = table_.find(name);
    return row == nullptr || row->max_in_flight == 0 ||
           lane.running < row->max_in_flight;
}

double admission::min_virtual_time() const
{
    double least = virtual_time_;
    bool first = true;
    for (const auto& [name, workspace] : lanes_)
    {
        const bool waits = std::any_of(
            workspace.classes.begin(), workspace.classes.end(),
            [](const auto& item) { return !item.second.waiting.empty(); });
        if (waits && (first || workspace.virtual_time < least))
        {
            least = workspace.virtual_time;
            first = false;
        }
    }
    return least;
}

std::optional<admission::choice> admission::choose_in(workspace_lane& workspace,
                                                      bool precedence)
{
    std::optional<choice> best;
    for (auto& [name, lane] : workspace.classes)
    {
        const bool critical = is_critical(name);
        if (lane.waiting.empty() || !may_start(critical) ||
            !is_below_class_limit(name, lane))
        {
            continue;
        }
        const bool first = precedence && critical && options_.reserve;
        const bool better = !best || (first && !best->precedence) ||
                            (first == best->precedence &&
                             lane.virtual_time < best->lane->virtual_time);
        if (better)
        {
            best = choice{.workspace = &workspace,
                          .lane = &lane,
                          .work_class = name,
                          .precedence = first};
        }
    }
    return best;
}

std::optional<admission::choice> admission::choose()
{
    const double lead =
        min_virtual_time() + to_seconds(options_.max_critical_lead);
    std::optional<choice> best;
    for (auto& [name, workspace] : lanes_)
    {
        const bool precedence = workspace.virtual_time <= lead;
        const auto found = choose_in(workspace, precedence);
        if (!found)
        {
            continue;
        }
        const bool better =
            !best || (found->precedence && !best->precedence) ||
            (found->precedence == best->precedence &&
             workspace.virtual_time < best->workspace->virtual_time);
        if (better)
        {
            best = found;
        }
    }
    return best;
}

slot_request admission::take(const choice& chosen)
{
    class_lane& lane = *chosen.lane;
    slot_request request = std::move(lane.waiting.front());
    lane.waiting.pop_front();
    const bool critical = is_critical(chosen.work_class);
    const workspace_row* const row = table_.find(chosen.work_class.workspace);
    const class_row* const class_cells = table_.find(chosen.work_class);
    const double weight = row == nullptr ? 1 : row->weight;
    const double class_weight =
        class_cells == nullptr ? 1 : class_cells->weight;
    virtual_time_ = std::max(virtual_time_, chosen.workspace->virtual_time);
    chosen.workspace->virtual_time += lane.service / weight;
    lane.virtual_time += lane.service / class_weight;
    ++(critical ? running_critical_ : running_other_);
    ++lane.running;
    held_[request.attempt] = {.work_class = chosen.work_class,
                              .critical = critical};
    return request;
}

std::vector<slot_request> admission::start_ready()
{
    std::vector<slot_request> started;
    while (const auto chosen = choose())
    {
        started.push_back(take(*chosen));
    }
    return started;
}

std::vector<slot_refusal> admission::expire(time_point now)
{
    std::vector<slot_refusal> refused;
    for (auto& [name, workspace] : lanes_)
    {
        for (auto& [work_class, lane] : workspace.classes)
        {
            const bool critical = is_critical(work_class);
            const duration needed =
                from_seconds(lane.service * min_service_share);
            const duration wait = bounded_retry(backlog(critical));
            auto is_late = [&](const slot_request& request)
            {
                return now + needed > request.deadline;
            };
            for (const slot_request& request : lane.waiting)
            {
                if (is_late(request))
                {
                    refused.push_back({.request = request,
                                       .reason = refusal::deadline,
                                       .retry_after = wait});
                }
            }
            std::erase_if(lane.waiting, is_late);
        }
    }
    return refused;
}

} // namespace springstair
