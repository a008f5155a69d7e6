#include <springstair/scheduler.hpp>

#include <algorithm>
#include <optional>

namespace springstair
{

namespace
{

// Score penalty of a worker that the task should avoid: exceeds any other
// difference in score.
constexpr double avoided_penalty = 1000;
// Interference that costs a latency-critical task less headroom than this is
// ignored.
constexpr double negligible_cost = 0.03;
// Headroom assumed if best-effort work interferes with no latency-critical
// task: above any measurable headroom.
constexpr double no_interference = 10;

bool has_ticket(const worker_record& worker, const placement_query& query)
{
    return query.tickets == nullptr ||
           query.tickets->contains(worker.description.executor);
}

double share(std::int64_t part, std::int64_t whole)
{
    return whole <= 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

// Processors available to all best-effort runs, in thousandths: the capacity
// without what latency-critical tasks use on average and other runs reserve.
double fill_capacity(const worker_record& worker,
                     const placement_options& options)
{
    const auto serving = static_cast<double>(worker.serving_cpu_millis);
    return static_cast<double>(worker.description.capacity.cpu_millis) -
           options.serving_use * serving -
           (static_cast<double>(worker.used.cpu_millis) - serving);
}

// The lowest headroom, with one more best-effort run, of the latency-critical
// tasks that it interferes with; nothing if it interferes with none.
std::optional<double> min_headroom_with(const worker_record& worker,
                                        const placement_query& query,
                                        const placement_options& options)
{
    const auto capacity =
        static_cast<double>(worker.description.capacity.cpu_millis);
    std::optional<double> lowest;
    for (const auto& [serving, runs] : worker.serving_runs)
    {
        double cost =
            query.interference.interference_coefficient(serving,
                                                        query.step.image) *
            static_cast<double>(query.step.demand.cpu_millis) / capacity;
        if (cost < negligible_cost)
        {
            continue;
        }
        for (const auto& [filling, cpu] : worker.fill_cpu_millis_by_image)
        {
            cost +=
                query.interference.interference_coefficient(serving, filling) *
                static_cast<double>(cpu) / capacity;
        }
        const auto found = worker.headroom_alone.find(serving);
        const double without_fills = found == worker.headroom_alone.end()
                                         ? options.default_headroom
                                         : found->second;
        lowest = std::min(lowest.value_or(without_fills - cost),
                          without_fills - cost);
    }
    return lowest;
}

bool is_slowed(const worker_record& worker, const std::string& image,
               const placement_options& options)
{
    const auto pace = worker.paces.find(image);
    return pace != worker.paces.end() && pace->second < options.min_pace;
}

// Whether the free capacity that a task may use is enough. Most searches are
// not for urgent tasks and most workers hold nothing for these: the first case
// spares them the general one.
bool has_free_capacity(const worker_record& worker,
                       const placement_query& query)
{
    const resources asked = reserved_by(query.step);
    if (!query.urgent_run_time && worker.urgent_holds.empty())
    {
        return asked.fits(query.step.lasting ? worker.free_capacity()
                                             : worker.unreserved_capacity());
    }
    return asked.fits(available_to(worker, query));
}

// Lower where best-effort runs compete less for processors and interfere less.
double fill_pressure(const worker_record& worker, const placement_query& query,
                     const placement_options& options)
{
    const auto asked = static_cast<double>(worker.fill_cpu_millis +
                                           query.step.demand.cpu_millis);
    const double headroom =
        min_headroom_with(worker, query, options).value_or(no_interference);
    return asked / std::max(fill_capacity(worker, options), 1.0) + 1 / headroom;
}

// The larger of the shares of processors and memory that would be reserved.
// Accelerators are not considered.
double fullness(const resources& used, const resources& asked,
                const resources& capacity)
{
    return std::max(
        share(used.cpu_millis + asked.cpu_millis, capacity.cpu_millis),
        share(used.memory_mb + asked.memory_mb, capacity.memory_mb));
}

// Lower is better. Best-effort runs prefer the least competition and
// interference, other runs the lowest fullness().
double score(const worker_record& worker, const placement_query& query,
             const placement_options& options)
{
    const job_step& step = query.step;
    const resources& capacity = worker.description.capacity;
    double value = 0;
    if (step.fills)
    {
        value = fill_pressure(worker, query, options);
    }
    else
    {
        value = fullness(worker.used, step.demand, capacity);
    }
    if (step.latency_target_ms > 0)
    {
        const bool has_same_image = worker.serving_runs.contains(step.image);
        const auto other_images =
            static_cast<double>(worker.serving_runs.size()) -
            (has_same_image ? 1 : 0);
        value += options.other_image_penalty * other_images;
        value -= has_same_image ? options.same_image_bonus : 0;
    }
    if (!step.data_rack.empty() && step.data_rack != worker.description.rack)
    {
        value += options.far_penalty;
    }
    // A suspect avoids unproven runs; any other task avoids suspects.
    const std::size_t neighbours =
        query.is_suspect ? worker.unproven.size() : worker.suspects.size();
    value += options.unproven_penalty * static_cast<double>(neighbours);
    const bool just_departed =
        query.departed != nullptr && *query.departed == worker.guard;
    if (just_departed || query.avoided.contains(worker.guard))
    {
        value += avoided_penalty;
    }
    return value;
}

} // namespace

bool is_open_to(const worker_record& worker, const placement_query& query)
{
    return !worker.reserved_for ||
           (query.isolated_task != nullptr &&
            *query.isolated_task == *worker.reserved_for);
}

bool has_fill_capacity(const worker_record& worker,
                       const placement_query& query,
                       const placement_options& options)
{
    if (is_slowed(worker, query.step.image, options))
    {
        return false;
    }
    const auto asked = static_cast<double>(worker.fill_cpu_millis +
                                           query.step.demand.cpu_millis);
    return asked <= fill_capacity(worker, options) &&
           min_headroom_with(worker, query, options)
                   .value_or(no_interference) >= options.min_headroom;
}

bool may_run(const worker_record& worker, const placement_query& query,
             const placement_options& options)
{
    return accepts_runs(worker, query.service, query.now, options) &&
           is_open_to(worker, query) && has_label(worker, query.step.label) &&
           is_below_step_bound(worker, query) && has_ticket(worker, query);
}

bool can_take(const worker_record& worker, const placement_query& query,
              const placement_options& options)
{
    return may_run(worker, query, options) &&
           has_free_capacity(worker, query) &&
           (!query.step.fills || query.ignore_interference ||
            has_fill_capacity(worker, query, options));
}

bool has_label(const worker_record& worker, const std::string& label)
{
    const auto& labels = worker.description.labels;
    return label.empty() ||
           std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool accepts_runs(const worker_record& worker, const std::string& service,
                  time_point now, const placement_options& options)
{
    return worker.description.service == service &&
           !worker.description.executor.empty() &&
           !worker.description.draining && worker.answering && !worker.closed &&
           !worker.lease_must_expire && !worker.isolated_suspect &&
           now - worker.reported < options.report_age &&
           now >= worker.ejected_until;
}

bool is_below_step_bound(const worker_record& worker,
                         const placement_query& query)
{
    if (query.step.most_per_worker == 0)
    {
        return true;
    }
    const auto found = worker.runs_of_step.find(query.group);
    return found == worker.runs_of_step.end() ||
           found->second < query.step.most_per_worker;
}

worker_record* choose_worker(worker_map& workers, const placement_query& query,
                             const placement_options& options)
{
    worker_record* best = nullptr;
    double best_score = 0;
    for (auto& [name, worker] : workers)
    {
        if (!can_take(worker, query, options))
        {
            continue;
        }
        const double value = score(worker, query, options);
        if (best == nullptr || value < best_score)
        {
            best = &worker;
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
    for (auto& [name, worker] : workers)
    {
        const bool is_eligible = worker.reserved == resources{} &&
                                 asked.fits(worker.eventual_capacity()) &&
                                 may_run(worker, query, options);
        if (is_eligible &&
            (best == nullptr || worker.free_capacity().cpu_millis >
                                    best->free_capacity().cpu_millis))
        {
            best = &worker;
        }
    }
    return best;
}

} // namespace springstair
