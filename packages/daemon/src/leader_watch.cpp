#include "leader_watch.hpp"

#include <utility>

namespace springstair
{

namespace
{

using platform::store_result;
using platform::store_status;

constexpr duration retry_delay = std::chrono::milliseconds(200);

} // namespace

leader_watch::leader_watch(process_context& process,
                           platform::store_client& store, duration wait,
                           on_change changed)
    : process_(process), store_(store), wait_(wait),
      changed_(std::move(changed))
{
}

void leader_watch::tick(time_point now)
{
    if (busy_ || now < next_call_at_)
    {
        return;
    }
    watched_revision_ == 0 ? read_key() : watch();
}

void leader_watch::refresh()
{
    ++generation_;
    busy_ = false;
    watched_revision_ = 0;
}

void leader_watch::read_key()
{
    busy_ = true;
    store_.range(
        leader_key, {}, timeout_.value(),
        process_.on_control<store_result>(
            [this, generation = generation_](const store_result& result)
            {
                if (generation == generation_)
                {
                    on_key_read(result);
                }
            }));
}

void leader_watch::on_key_read(const store_result& result)
{
    busy_ = false;
    if (result.status != store_status::done)
    {
        timeout_.unanswered();
        next_call_at_ = boot_clock::now() + retry_delay;
        return;
    }
    timeout_.answered(result.latency);
    store_answered_ = boot_clock::now();
    watched_revision_ = result.revision;
    changed_(result.items.empty() ? std::nullopt
                                  : std::optional(result.items.front()));
}

void leader_watch::watch()
{
    busy_ = true;
    const time_point sent = boot_clock::now();
    store_.watch(
        leader_key, watched_revision_, wait_,
        process_.on_control<store_result>(
            [this, sent, generation = generation_](const store_result& result)
            {
                if (generation == generation_)
                {
                    on_watch(result, sent);
                }
            }));
}

void leader_watch::on_watch(const store_result& result, time_point sent)
{
    busy_ = false;
    if (result.status != store_status::done)
    {
        // Disconnected, compacted or unavailable: reads the key again.
        watched_revision_ = 0;
        const bool at_once = boot_clock::now() - sent > retry_delay;
        next_call_at_ =
            boot_clock::now() + (at_once ? duration{0} : retry_delay);
        return;
    }
    store_answered_ = boot_clock::now();
    for (const platform::store_item& item : result.items)
    {
        watched_revision_ = std::max(watched_revision_, item.revision);
        changed_(item.gone ? std::nullopt : std::optional(item));
    }
}

} // namespace springstair
