// Placement of queued tasks: workspace shares, quotas and free capacity.

#include <springstair/entry.hpp>

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

constexpr std::size_t sample_size = 3;
// Failed searches of a workspace after which a pass skips its other tasks.
constexpr std::size_t max_failed_searches = 20;

double fraction(std::int64_t part, std::int64_t whole)
{
    return whole <= 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

// The largest fraction that `used` takes of `whole` in any dimension.
double dominant_share(const resources& used, const resources& whole)
{
    return std::max({fraction(used.cpu_millis, whole.cpu_millis),
                     fraction(used.memory_mb, whole.memory_mb),
                     fraction(used.accelerators, whole.accelerators)});
}

} // namespace

// ---------------------------------------------------------------------------
// Shares and quotas
// ---------------------------------------------------------------------------

// Capacity is reserved for a task from its placement until its guard lists it.
// Drops reservations of tasks that are no longer placed there, e.g. after a
// change of shard owner or guard.
void task_core::drop_stale_reservations()
{
    for (auto& reserved : reservations_)
    {
        const std::string& guard = reserved.first.value;
        auto& tasks = reserved.second;
        std::erase_if(tasks,
                      [&](const auto& item)
                      {
                          const shard_state* const shard =
                              owned_shard(item.first);
                          const task_record* const record = find(item.first);
                          const bool placed_there =
                              record != nullptr &&
                              record->state == task_state::placed &&
                              record->guard == guard;
                          const bool on_its_way =
                              shard != nullptr &&
                              shard->uncommitted_tasks.contains(item.first);
                          return !placed_there && !on_its_way;
                      });
    }
}

void task_core::update_usage()
{
    drop_stale_reservations();
    usage_.clear();
    placed_on_.clear();
    for (const auto& [number, shard] : shards_)
    {
        for (const auto& [id, record] : shard.tasks.all())
        {
            if (record.state == task_state::placed)
            {
                usage_[record.spec.of.workspace] += record.spec.needs;
                placed_on_[record.guard].insert(id);
            }
        }
        for (const task_transition& step : shard.pending)
        {
            const task_record* const record = shard.tasks.find(step.task);
            if (step.what == task_transition::step::place && record != nullptr)
            {
                usage_[record->spec.of.workspace] += record->spec.needs;
            }
        }
        for (const task_transition& step : shard.committing)
        {
            const task_record* const record = shard.tasks.find(step.task);
            if (step.what == task_transition::step::place && record != nullptr)
            {
                usage_[record->spec.of.workspace] += record->spec.needs;
            }
        }
    }
}

resources task_core::used_by(const std::string& workspace) const
{
    resources used;
    if (const auto own = usage_.find(workspace); own != usage_.end())
    {
        used += own->second;
    }
    for (const auto& [peer, usage] : peer_usage_)
    {
        if (const auto found = usage.find(workspace); found != usage.end())
        {
            used += found->second;
        }
    }
    return used;
}

bool task_core::within_quota(const task_spec& spec) const
{
    const workspace_row* const row = table_.find(spec.of.workspace);
    if (row == nullptr)
    {
        return false;
    }
    resources wanted = used_by(spec.of.workspace);
    wanted += spec.needs;
    return (row->cpu_millis == 0 || wanted.cpu_millis <= row->cpu_millis) &&
           (row->memory_mb == 0 || wanted.memory_mb <= row->memory_mb) &&
           (row->accelerators < 0 || wanted.accelerators <= row->accelerators);
}

double task_core::share_of(const std::string& workspace,
                           const resources& fleet) const
{
    const workspace_row* const row = table_.find(workspace);
    const double weight = row == nullptr ? 1 : row->weight;
    return dominant_share(used_by(workspace), fleet) / weight;
}

// ---------------------------------------------------------------------------
// Workers
// ---------------------------------------------------------------------------

bool task_core::fits_somewhere(const task_spec& spec, const guard_views& guards)
{
    return std::any_of(guards.begin(), guards.end(),
                       [&](const auto& item) {
                           return spec.needs.fits(item.second.report.capacity);
                       });
}

resources task_core::free_of(const guard_view& view) const
{
    resources free = view.report.free;
    const auto reserved = reservations_.find(view.report.guard);
    if (reserved != reservations_.end())
    {
        for (const auto& [task, needs] : reserved->second)
        {
            free -= needs;
        }
    }
    return free;
}

task_core::loaded_guards task_core::fitting_guards(time_point now,
                                                   const task_record& record,
                                                   const guard_views& guards,
                                                   bool include_failed) const
{
    const auto failed = failed_on_.find(record.spec.id);
    loaded_guards all;
    for (const auto& [name, view] : guards)
    {
        const bool failed_here =
            failed != failed_on_.end() && failed->second.contains(name);
        if (!view.usable(now, options_.liveness) || !view.report.tasks_ready ||
            (failed_here && !include_failed) ||
            !workers_.may_send(now, name, true) ||
            !record.spec.needs.fits(free_of(view)))
        {
            continue;
        }
        resources used = view.report.capacity;
        used -= free_of(view);
        all.emplace_back(dominant_share(used, view.report.capacity), name);
    }
    return all;
}

// Chooses the least loaded of a random sample of fitting guards. A worker on
// which the task failed is tried again only if the task fits on no other.
std::optional<guard_name> task_core::choose_guard(time_point now,
                                                  const task_record& record,
                                                  const guard_views& guards)
{
    loaded_guards found = fitting_guards(now, record, guards, false);
    if (found.empty() && failed_on_.contains(record.spec.id))
    {
        found = fitting_guards(now, record, guards, true);
    }
    if (found.empty())
    {
        return std::nullopt;
    }
    const std::size_t sample_count = std::min(sample_size, found.size());
    for (std::size_t index = 0; index < sample_count; ++index)
    {
        std::uniform_int_distribution<std::size_t> rest(index,
                                                        found.size() - 1);
        std::swap(found[index], found[rest(random_)]);
    }
    return std::min_element(found.begin(),
                            found.begin() +
                                static_cast<std::ptrdiff_t>(sample_count))
        ->second;
}

// ---------------------------------------------------------------------------
// Placement
// ---------------------------------------------------------------------------

task_core::waiting_tasks task_core::waiting() const
{
    waiting_tasks all;
    for (const auto& [number, shard] : shards_)
    {
        if (shard.state != phase::owned)
        {
            continue;
        }
        for (const auto& [id, record] : shard.tasks.all())
        {
            if (record.state == task_state::queued &&
                !shard.uncommitted_tasks.contains(id))
            {
                all[record.spec.of.workspace].push_back(&record);
            }
        }
    }
    for (auto& [workspace, tasks] : all)
    {
        std::stable_sort(tasks.begin(), tasks.end(),
                         [](const auto* left, const auto* right)
                         { return left->spec.urgent > right->spec.urgent; });
        std::reverse(tasks.begin(), tasks.end()); // taken from the back
    }
    return all;
}

bool task_core::place_task(time_point now, const task_record& record,
                           const guard_views& guards)
{
    if (!within_quota(record.spec))
    {
        return false;
    }
    const auto chosen = choose_guard(now, record, guards);
    if (!chosen)
    {
        return false;
    }
    const guard_view& view = guards.at(*chosen);
    task_transition step;
    step.what = task_transition::step::place;
    step.task = record.spec.id;
    step.attempt = record.attempt + 1;
    step.guard = chosen->value;
    step.incarnation = view.report.incarnation;
    reservations_[*chosen][record.spec.id] = record.spec.needs;
    usage_[record.spec.of.workspace] += record.spec.needs;
    workers_.sent(now, *chosen);
    append_transition(*owned_shard(record.spec.id), std::move(step));
    return true;
}

void task_core::run_placement_pass(time_point now, const guard_views& guards)
{
    if (!store_available_ || draining_)
    {
        return;
    }
    resources fleet;
    for (const auto& [name, view] : guards)
    {
        fleet += view.report.capacity;
    }
    waiting_tasks queues = waiting();
    std::map<std::string, std::size_t> failed_searches;
    std::size_t places = 0;
    while (!queues.empty() && places < options_.max_placements_per_tick)
    {
        const auto next =
            std::min_element(queues.begin(), queues.end(),
                             [&](const auto& left, const auto& right) {
                                 return share_of(left.first, fleet) <
                                        share_of(right.first, fleet);
                             });
        const task_record* const record = next->second.back();
        next->second.pop_back();
        const bool placed = place_task(now, *record, guards);
        places += placed ? 1 : 0;
        const bool exhausted =
            !placed && ++failed_searches[next->first] >= max_failed_searches;
        if (next->second.empty() || exhausted)
        {
            queues.erase(next);
        }
    }
}

void task_core::start_placed(time_point now, const task_record& record,
                             task_actions& actions)
{
    const auto address = addresses_.find(record.guard);
    const std::int64_t number = *shard_of(record.spec.id);
    starts_[record.spec.id] = {.attempt = record.attempt, .sent_at = now};
    if (address == addresses_.end())
    {
        return;
    }
    actions.emplace_back(
        send_start{.guard = {record.guard},
                   .address = address->second,
                   .request = {.spec = record.spec,
                               .attempt = record.attempt,
                               .incarnation = record.incarnation,
                               .checkpoint = record.checkpoint,
                               .shard = number,
                               .epoch = shards_.at(number).epoch}});
}

} // namespace springstair
