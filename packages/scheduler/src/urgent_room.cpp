#include <springstair/scheduler.hpp>

#include <algorithm>
#include <limits>

namespace springstair
{

namespace
{

// Weight of the newest run in the mean run time of its image: the mean follows
// a change within some ten runs, and one run of seven times the mean, as three
// in 100 are, does not double it.
constexpr std::int64_t newest_weight_divisor = 8;
// Images come from callers; beyond this number their estimates are used.
constexpr std::size_t max_images = 1024;
// Waits of a pass that are considered for yields. One yield serves fewer.
constexpr std::size_t max_waits = 64;

template <typename Choose>
resources combine(const resources& left, const resources& right, Choose choose)
{
    return {.cpu_millis = choose(left.cpu_millis, right.cpu_millis),
            .memory_mb = choose(left.memory_mb, right.memory_mb),
            .accelerators = choose(left.accelerators, right.accelerators)};
}

std::int64_t lower(std::int64_t left, std::int64_t right)
{
    return std::min(left, right);
}

std::int64_t higher(std::int64_t left, std::int64_t right)
{
    return std::max(left, right);
}

// What remains of a capacity, at least 0.
std::int64_t remainder(std::int64_t left, std::int64_t right)
{
    return std::max<std::int64_t>(0, left - right);
}

std::int64_t count_fitting(std::int64_t each, std::int64_t capacity)
{
    return each <= 0 ? std::numeric_limits<std::int64_t>::max()
                     : std::max<std::int64_t>(0, capacity) / each;
}

} // namespace

std::int64_t serve(std::vector<urgent_wait>& waiting, resources capacity)
{
    std::int64_t served = 0;
    for (urgent_wait& wait : waiting)
    {
        const resources& each = wait.demand;
        const std::int64_t count = std::min(
            {wait.tasks, count_fitting(each.cpu_millis, capacity.cpu_millis),
             count_fitting(each.memory_mb, capacity.memory_mb),
             count_fitting(each.accelerators, capacity.accelerators)});
        capacity -= {.cpu_millis = count * each.cpu_millis,
                     .memory_mb = count * each.memory_mb,
                     .accelerators = count * each.accelerators};
        wait.tasks -= count;
        served += count;
    }
    return served;
}

time_point reservation_complete_at(const worker_record& worker, time_point now)
{
    resources available = worker.eventual_capacity();
    std::vector<short_run> runs;
    for (const auto& [task, run] : worker.short_runs)
    {
        available -= run.capacity;
        runs.push_back(run);
    }
    std::ranges::sort(runs, {}, &short_run::expected_end);
    time_point complete_at = now;
    for (const short_run& run : runs)
    {
        if (worker.reserved.fits(available))
        {
            break;
        }
        available += run.capacity;
        complete_at = std::max(now, run.expected_end);
    }
    return complete_at;
}

resources available_to(const worker_record& worker,
                       const placement_query& query)
{
    const resources free = worker.free_capacity();
    if (query.urgent_run_time)
    {
        const bool is_binding =
            worker.reserved != resources{} &&
            query.now >= worker.reserved_firmly_from.value_or(query.now) &&
            query.now + *query.urgent_run_time >
                reservation_complete_at(worker, query.now);
        return is_binding ? combine(worker.unreserved_capacity(),
                                    combine(free, worker.held, lower), higher)
                          : free;
    }
    const resources available =
        query.step.lasting ? free : worker.unreserved_capacity();
    const bool is_held = worker.held != resources{} && !query.ignores_holds;
    return is_held ? combine(available, worker.held, remainder) : available;
}

void use_holds(worker_record& worker, resources used)
{
    for (urgent_hold& hold : worker.urgent_holds)
    {
        if (hold.until)
        {
            const resources taken = combine(hold.capacity, used, lower);
            hold.capacity -= taken;
            worker.held -= taken;
            used -= taken;
        }
    }
}

bool urgent_room::is_urgent(const job_step& step,
                            std::int64_t priority) const noexcept
{
    return is_enabled() && priority == 0 && !step.lasting && !step.fills;
}

duration urgent_room::run_time(const job_step& step) const
{
    const auto found = run_times_.find(step.image);
    return found == run_times_.end()
               ? duration(std::chrono::milliseconds(step.estimate_ms))
               : found->second;
}

std::optional<duration>
urgent_room::urgent_run_time(const job_step& step, std::int64_t priority) const
{
    return is_urgent(step, priority) ? std::optional(run_time(step))
                                     : std::nullopt;
}

bool urgent_room::ignores_holds(const job_step& step,
                                duration waited) const noexcept
{
    return is_enabled() && step.lasting && waited >= options_->lasting_patience;
}

std::optional<time_point>
urgent_room::reserved_firmly_from(const job_step& step,
                                  time_point waiting_since) const noexcept
{
    return is_enabled() && step.lasting
               ? std::optional(waiting_since + options_->lasting_patience)
               : std::nullopt;
}

void urgent_room::learn_run_time(const job_step& step, duration run_time)
{
    const bool has_place =
        run_times_.size() < max_images || run_times_.contains(step.image);
    if (!is_enabled() || step.lasting || step.image.empty() || !has_place)
    {
        return;
    }
    const auto [found, is_new] = run_times_.try_emplace(step.image, run_time);
    found->second += (run_time - found->second) / newest_weight_divisor;
}

void urgent_room::record_wait(urgent_wait wait)
{
    if (waits_.size() < max_waits)
    {
        waits_.push_back(std::move(wait));
    }
}

std::vector<yield_request>
urgent_room::yield_requests(const std::vector<expected_capacity>& expected,
                            time_point now)
{
    std::vector<yield_request> out;
    if (!is_enabled() || now < next_request_at_)
    {
        return out;
    }
    std::map<std::string, std::vector<urgent_wait>> by_service;
    for (const urgent_wait& wait : waits_)
    {
        by_service[wait.service].push_back(wait);
    }
    for (const expected_capacity& one : expected)
    {
        serve(by_service[one.service], one.capacity);
    }
    for (const auto& [service, waits] : by_service)
    {
        for (const urgent_wait& wait : waits)
        {
            const bool is_due = wait.tasks > 0 && wait.has_value &&
                                wait.waited >= options_->yield_after;
            const bool is_known = std::ranges::any_of(
                out, [&](const yield_request& request)
                { return request.first.queue == wait.queue; });
            if (!is_due || is_known)
            {
                continue;
            }
            yield_request request{.first = wait, .waiting = {wait}};
            std::ranges::copy_if(waits, std::back_inserter(request.waiting),
                                 [&](const urgent_wait& other) {
                                     return other.queue == wait.queue &&
                                            other != wait && other.tasks > 0;
                                 });
            out.push_back(std::move(request));
        }
    }
    next_request_at_ = out.empty() ? next_request_at_ : now + yield_interval;
    return out;
}

} // namespace springstair
