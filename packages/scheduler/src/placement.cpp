#include <springstair/scheduler.hpp>

#include <algorithm>
#include <optional>

namespace springstair
{

namespace
{

// Added to the score of a worker that the task should avoid: more than any
// other difference can make.
constexpr double avoided_penalty = 1000;
// A fill that costs less headroom than this does not matter.
constexpr double small_cost = 0.03;
// Headroom where a fill harms nobody: above any that a tail can have.
constexpr double no_interference = 10;

bool has_fill_room(const worker_record& at, const placement_query& query,
                   const placement_options& options);

bool has_ticket(const worker_record& at, const placement_query& query)
{
    return query.tickets == nullptr ||
           query.tickets->contains(at.description.executor);
}

bool is_open_to(const worker_record& at, const placement_query& query)
{
    return !at.reserved_for ||
           (query.suspect != nullptr && *query.suspect == *at.reserved_for);
}

double share(std::int64_t part, std::int64_t whole)
{
    return whole <= 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

// What fills may ask for in all: what serving and urgent tasks leave.
double fill_room(const worker_record& at, const placement_options& options)
{
    const auto serving = static_cast<double>(at.serving_cpu);
    return static_cast<double>(at.description.capacity.cpu_millis) -
           options.serving_use * serving -
           (static_cast<double>(at.used.cpu_millis) - serving);
}

// The least headroom that serving tasks would have with one more fill, among
// those that it harms; nothing if it harms none.
std::optional<double> headroom_with(const worker_record& at,
                                    const placement_query& query,
                                    const placement_options& options)
{
    const auto whole = static_cast<double>(at.description.capacity.cpu_millis);
    std::optional<double> least;
    for (const auto& [serving, runs] : at.serving_runs)
    {
        double cost = query.harm.harm(serving, query.step.image) *
                      static_cast<double>(query.step.demand.cpu_millis) / whole;
        if (cost < small_cost)
        {
            continue;
        }
        for (const auto& [filling, cpu] : at.fill_cpu_of)
        {
            cost += query.harm.harm(serving, filling) *
                    static_cast<double>(cpu) / whole;
        }
        const auto known = at.headroom_alone.find(serving);
        const double alone = known == at.headroom_alone.end()
                                 ? options.default_headroom
                                 : known->second;
        least = std::min(least.value_or(alone - cost), alone - cost);
    }
    return least;
}

bool is_slowed(const worker_record& at, const std::string& image,
               const placement_options& options)
{
    const auto pace = at.paces.find(image);
    return pace != at.paces.end() && pace->second < options.min_pace;
}

bool has_fill_room(const worker_record& at, const placement_query& query,
                   const placement_options& options)
{
    if (is_slowed(at, query.step.image, options))
    {
        return false;
    }
    const auto asked =
        static_cast<double>(at.fill_cpu + query.step.demand.cpu_millis);
    return asked <= fill_room(at, options) &&
           headroom_with(at, query, options).value_or(no_interference) >=
               options.min_headroom;
}

// Where fills compete least, and where they harm least.
double fill_pressure(const worker_record& at, const placement_query& query,
                     const placement_options& options)
{
    const auto asked =
        static_cast<double>(at.fill_cpu + query.step.demand.cpu_millis);
    const double headroom =
        headroom_with(at, query, options).value_or(no_interference);
    return asked / std::max(fill_room(at, options), 1.0) + 1 / headroom;
}

// The share of a worker that would be reserved, in its tightest dimension.
double fullness(const resources& used, const resources& asked,
                const resources& capacity)
{
    return std::max(
        share(used.cpu_millis + asked.cpu_millis, capacity.cpu_millis),
        share(used.memory_mb + asked.memory_mb, capacity.memory_mb));
}

// Lower is better. Fills go where they compete least for processors, all
// other tasks where most room is left in the tightest dimension.
double score(const worker_record& at, const placement_query& query,
             const placement_options& options)
{
    const job_step& step = query.step;
    const resources& capacity = at.description.capacity;
    double value = 0;
    if (step.fills)
    {
        value = fill_pressure(at, query, options);
    }
    else
    {
        value = fullness(at.used, step.demand, capacity);
    }
    if (step.latency_target_ms > 0)
    {
        const bool same = at.serving_runs.contains(step.image);
        const auto others =
            static_cast<double>(at.serving_runs.size()) - (same ? 1 : 0);
        value += options.other_image_penalty * others;
        value -= same ? options.same_image_bonus : 0;
    }
    if (!step.data_rack.empty() && step.data_rack != at.description.rack)
    {
        value += options.far_penalty;
    }
    // All that is unproven would be a suspect's company, and suspects that of
    // any other task.
    const std::size_t company =
        query.isolated ? at.unproven.size() : at.suspects.size();
    value += options.unproven_penalty * static_cast<double>(company);
    const bool just_left =
        query.departed != nullptr && *query.departed == at.guard;
    if (just_left || query.avoided.contains(at.guard))
    {
        value += avoided_penalty;
    }
    return value;
}

} // namespace

bool may_run(const worker_record& at, const placement_query& query,
             const placement_options& options)
{
    return takes_runs(at, query.service, query.now, options) &&
           is_open_to(at, query) && has_label(at, query.step.label) &&
           is_below_step_bound(at, query) && has_ticket(at, query);
}

bool can_take(const worker_record& at, const placement_query& query,
              const placement_options& options)
{
    return may_run(at, query, options) &&
           reserved_by(query.step)
               .fits(query.step.lasting ? at.free_capacity()
                                        : at.unreserved_capacity()) &&
           (!query.step.fills || query.ignore_interference ||
            has_fill_room(at, query, options));
}

bool has_label(const worker_record& at, const std::string& label)
{
    const auto& labels = at.description.labels;
    return label.empty() ||
           std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool takes_runs(const worker_record& at, const std::string& service,
                time_point now, const placement_options& options)
{
    return at.description.service == service &&
           !at.description.executor.empty() && !at.description.draining &&
           at.answering && !at.closed && !at.lease_must_expire &&
           !at.isolated_suspect && now - at.reported < options.report_age &&
           now >= at.ejected_until;
}

bool is_below_step_bound(const worker_record& at, const placement_query& query)
{
    if (query.step.most_per_worker == 0)
    {
        return true;
    }
    const auto found = at.of_step.find(query.group);
    return found == at.of_step.end() ||
           found->second < query.step.most_per_worker;
}

worker_record* choose_worker(worker_map& workers, const placement_query& query,
                             const placement_options& options)
{
    worker_record* best = nullptr;
    double best_score = 0;
    for (auto& [name, at] : workers)
    {
        if (!can_take(at, query, options))
        {
            continue;
        }
        const double value = score(at, query, options);
        if (best == nullptr || value < best_score)
        {
            best = &at;
            best_score = value;
        }
    }
    return best;
}

worker_record* choose_reservation(worker_map& workers,
                                  const placement_query& query,
                                  const placement_options& options)
{
    const resources asked = reserved_by(query.step);
    worker_record* best = nullptr;
    for (auto& [name, at] : workers)
    {
        const bool will_do = at.claimed == resources{} &&
                             asked.fits(at.eventual_capacity()) &&
                             may_run(at, query, options);
        if (will_do &&
            (best == nullptr ||
             at.free_capacity().cpu_millis > best->free_capacity().cpu_millis))
        {
            best = &at;
        }
    }
    return best;
}

} // namespace springstair
