#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

// Added to the score of a worker that the task should avoid: more than any
// other difference can make.
constexpr double avoided_penalty = 1000;

bool has_label(const worker_record& at, const std::string& label)
{
    const auto& labels = at.what.labels;
    return label.empty() ||
           std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool below_step_bound(const worker_record& at, const placement_query& query)
{
    if (query.step.most_per_worker == 0)
    {
        return true;
    }
    const auto found = at.of_step.find(query.group);
    return found == at.of_step.end() ||
           found->second < query.step.most_per_worker;
}

bool has_fill_room(const worker_record& at, const job_step& step,
                   const placement_options& options);

bool can_take(const worker_record& at, const placement_query& query,
              const placement_options& options)
{
    return takes_runs(at, query.service, query.now, options) &&
           reserved_by(query.step).fits(at.room()) &&
           (!query.step.fills || has_fill_room(at, query.step, options)) &&
           has_label(at, query.step.label) && below_step_bound(at, query);
}

double share(std::int64_t part, std::int64_t whole)
{
    return whole <= 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

// Fills share the processors that their guard found to be harmless. A worker
// without any fill takes one, however large, if half of it fits.
bool has_fill_room(const worker_record& at, const job_step& step,
                   const placement_options& options)
{
    const std::int64_t asked = at.fill_cpu + step.demand.cpu_millis;
    const auto budget = static_cast<std::int64_t>(
        options.fill_overcommit * static_cast<double>(at.fill_budget));
    return asked <= budget || (at.fill_runs == 0 && asked <= 2 * budget);
}

double fill_pressure(const worker_record& at, const job_step& step)
{
    return share(at.fill_cpu + step.demand.cpu_millis,
                 std::max<std::int64_t>(at.fill_budget, 1));
}

// Lower is better. Fills go where they compete least for processors, all
// other tasks where most room is left in the tightest dimension.
double score(const worker_record& at, const placement_query& query,
             const placement_options& options)
{
    const job_step& step = query.step;
    const resources& capacity = at.what.capacity;
    double value = 0;
    if (step.fills)
    {
        value = fill_pressure(at, step);
    }
    else
    {
        value = std::max(share(at.used.cpu_millis + step.demand.cpu_millis,
                               capacity.cpu_millis),
                         share(at.used.memory_mb + step.demand.memory_mb,
                               capacity.memory_mb));
    }
    if (!step.data_rack.empty() && step.data_rack != at.what.rack)
    {
        value += options.far_penalty;
    }
    if (query.avoided.contains(at.guard))
    {
        value += avoided_penalty;
    }
    return value;
}

} // namespace

bool takes_runs(const worker_record& at, const std::string& service,
                time_point now, const placement_options& options)
{
    return at.what.service == service && !at.what.life.empty() &&
           !at.what.draining && now - at.reported < options.report_age &&
           now >= at.ejected_until;
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

} // namespace springstair
