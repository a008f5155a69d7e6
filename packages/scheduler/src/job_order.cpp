#include <springstair/scheduler.hpp>

namespace springstair
{

namespace
{

// Above every configured priority: jobs of a removed queue sort last.
constexpr std::int64_t last_priority = 1'000'000;

} // namespace

job_rank rank_of(const job_record& record, const queue_row* queue,
                 time_point now, const order_options& options,
                 const job_forecast* known)
{
    if (queue == nullptr)
    {
        return {.priority = last_priority,
                .objective = record.accepted,
                .order = record.order};
    }
    const duration chain =
        known == nullptr ? std::chrono::milliseconds(record.critical_path_ms)
                         : known->chain;
    const duration objective =
        from_seconds(to_seconds(chain) * queue->stretch) +
        std::chrono::milliseconds(queue->target_ms);
    const duration remaining =
        known == nullptr ? duration{0} : known->remaining;
    const duration age = now - record.accepted + remaining;
    const bool lasting = record.definition().steps.front().lasting;
    job_prospect prospect = job_prospect::in_time;
    if (!lasting && age > objective)
    {
        prospect = age > objective * options.late_factor
                       ? job_prospect::too_late
                       : job_prospect::late;
    }
    return {.priority = queue->priority,
            .prospect = prospect,
            .is_unbegun = known != nullptr && !known->has_begun,
            .objective_span_index =
                (record.accepted + objective).time_since_epoch() /
                options.objective_span,
            .negative_size =
                lasting ? -record.definition().steps.front().demand.cpu_millis
                        : 0,
            .objective = record.accepted + objective,
            .order = record.order};
}

} // namespace springstair
