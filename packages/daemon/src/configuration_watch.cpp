#include "configuration_watch.hpp"

#include <utility>

namespace springstair
{

namespace
{

using platform::store_result;
using platform::store_status;

// A watch may hear nothing for a second while the history is dropped; the
// next one is then told to read anew. So short, a change is in force within
// two seconds all the same.
constexpr duration watch_wait = std::chrono::milliseconds(700);
constexpr duration pause = std::chrono::milliseconds(150);

} // namespace

configuration_watch::configuration_watch(job_process& process,
                                         platform::store_client& store,
                                         on_change changed)
    : process_(process), store_(store), changed_(std::move(changed))
{
}

void configuration_watch::tick(time_point now)
{
    if (reading_ || watching_ || now < next_read_)
    {
        return;
    }
    watched_ == 0 ? read() : watch();
}

void configuration_watch::read()
{
    reading_ = true;
    const time_point sent = boot_clock::now();
    store_.read(platform::configuration_key, timeout_.value(),
                process_.on_control<store_result>(
                    [this, sent](const store_result& result)
                    { on_read(result, sent); }));
}

void configuration_watch::on_read(const store_result& result, time_point sent)
{
    reading_ = false;
    if (result.status != store_status::done || result.items.empty())
    {
        timeout_.unanswered();
        next_read_ = boot_clock::now() + pause;
        return;
    }
    timeout_.answered(result.took);
    fresh_at_ = sent;
    watched_ = result.revision;
    take(result.items.front());
}

void configuration_watch::watch()
{
    watching_ = true;
    const time_point sent = boot_clock::now();
    store_.watch(platform::configuration_key, watched_, watch_wait,
                 process_.on_control<store_result>(
                     [this, sent](const store_result& result)
                     { on_watch(result, sent); }));
}

void configuration_watch::on_watch(const store_result& result, time_point sent)
{
    watching_ = false;
    if (result.status != store_status::done)
    {
        watched_ = 0;
        const bool at_once = boot_clock::now() - sent > pause;
        next_read_ = boot_clock::now() + (at_once ? duration{0} : pause);
        return;
    }
    fresh_at_ = boot_clock::now();
    for (const platform::store_item& item : result.items)
    {
        watched_ = std::max(watched_, item.revision);
        if (!item.gone && item.key == platform::configuration_key)
        {
            take(item);
        }
    }
}

void configuration_watch::take(const platform::store_item& item)
{
    try
    {
        const queue_table table = platform::decode_configuration(item.value);
        if (table.version <= version_)
        {
            return;
        }
        version_ = table.version;
        log_event(event_id::configuration_in_force,
                  {{"version", std::to_string(table.version)},
                   {"revision", std::to_string(item.revision)},
                   {"queues", std::to_string(table.queues.size())}});
        changed_(table);
    }
    catch (const document_error& error)
    {
        log_event(event_id::configuration_refused, {{"why", error.what()}});
    }
}

} // namespace springstair
