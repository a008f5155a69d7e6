#include "operator_watch.hpp"

#include <utility>

namespace springstair
{

namespace
{

using platform::store_item;
using platform::store_result;
using platform::store_status;

// While the store compacts its history, a watch may report nothing for a
// second; the next watch then fails and the keys are read again. With this
// short timeout a change still takes effect within two seconds.
constexpr duration watch_wait = std::chrono::milliseconds(700);
// Timeout of a long poll, used while another entry reports the changes that a
// watch misses.
constexpr duration long_poll_wait = std::chrono::seconds(20);
constexpr duration retry_delay = std::chrono::milliseconds(150);

} // namespace

operator_watch::operator_watch(process_context& process,
                               platform::store_client& store,
                               callbacks handlers)
    : process_(process), store_(store), callbacks_(std::move(handlers))
{
}

void operator_watch::tick(time_point now)
{
    if (busy_ || now < next_read_)
    {
        return;
    }
    watched_revision_ == 0 ? read() : watch();
}

// When long polls end, a change that the last one missed is not reported by
// another entry any more: read again.
void operator_watch::use_long_poll(bool enabled)
{
    const bool ends = long_poll_ && !enabled;
    long_poll_ = enabled;
    if (ends)
    {
        restart_read();
    }
}

void operator_watch::on_remote_change(std::int64_t revision)
{
    const bool is_read = watched_revision_ != 0;
    if (is_read && revision > watched_revision_)
    {
        restart_read();
    }
}

// The answer to a call in flight is ignored as stale.
void operator_watch::restart_read()
{
    ++generation_;
    busy_ = false;
    watched_revision_ = 0;
    page_after_.clear();
    next_read_ = {};
}

// ---------------------------------------------------------------------------
// Reading
// ---------------------------------------------------------------------------

void operator_watch::read()
{
    busy_ = true;
    const time_point sent = boot_clock::now();
    store_.range(
        platform::operator_prefix, page_after_, timeout_.value(),
        process_.on_control<store_result>(
            [this, sent, generation = generation_](const store_result& result)
            {
                if (generation == generation_)
                {
                    on_read(result, sent);
                }
            }));
}

void operator_watch::on_read(const store_result& result, time_point sent)
{
    busy_ = false;
    if (result.status != store_status::done)
    {
        timeout_.unanswered();
        page_after_.clear();
        next_read_ = boot_clock::now() + retry_delay;
        return;
    }
    timeout_.answered(result.latency);
    if (page_after_.empty())
    {
        read_revision_ = result.revision;
        read_sent_at_ = sent;
        closed_in_read_.clear();
    }
    for (const store_item& item : result.items)
    {
        newest_change_ = std::max(newest_change_, item.revision);
        apply_table(item);
        if (const auto name = platform::closed_data_centre(item.key))
        {
            closed_in_read_.insert(*name);
            apply_closure(*name, true, item.revision);
        }
    }
    page_after_ = result.next_page();
    if (page_after_.empty())
    {
        end_read();
    }
}

// A data centre that a complete read does not contain is open again.
void operator_watch::end_read()
{
    const std::set<std::string> before = closed_.names;
    for (const std::string& name : before)
    {
        if (!closed_in_read_.contains(name))
        {
            // Upper bound: the exact revision is unknown.
            newest_change_ = read_revision_;
            apply_closure(name, false, read_revision_);
        }
    }
    watched_revision_ = read_revision_;
    fresh_at_ = read_sent_at_;
    publish_closed(read_sent_at_);
}

// ---------------------------------------------------------------------------
// Watching
// ---------------------------------------------------------------------------

// Watches of earlier generations may still be in flight. A long poll is started
// only while at most one such watch is in flight.
void operator_watch::watch()
{
    busy_ = true;
    const time_point sent = boot_clock::now();
    const duration wait =
        long_poll_ && open_watches_ < 2 ? long_poll_wait : watch_wait;
    ++open_watches_;
    store_.watch(platform::operator_prefix, watched_revision_, wait,
                 process_.on_control<store_result>(
                     [this, sent, wait,
                      generation = generation_](const store_result& result)
                     {
                         --open_watches_;
                         if (generation == generation_)
                         {
                             on_watch(result, sent, wait);
                         }
                     }));
}

void operator_watch::on_watch(const store_result& result, time_point sent,
                              duration waited)
{
    busy_ = false;
    const time_point now = boot_clock::now();
    if (result.status != store_status::done)
    {
        watched_revision_ = 0;
        const bool at_once = now - sent > retry_delay;
        next_read_ = now + (at_once ? duration{0} : retry_delay);
        return;
    }
    fresh_at_ = now;
    for (const store_item& item : result.items)
    {
        watched_revision_ = std::max(watched_revision_, item.revision);
        newest_change_ = std::max(newest_change_, item.revision);
        apply_change(item);
    }
    // Without a change the store waited for the whole timeout. With a change,
    // it is only known that the store answered after the call was sent.
    publish_closed(result.items.empty() ? std::min(now, sent + waited) : sent);
}

void operator_watch::apply_change(const store_item& item)
{
    if (const auto name = platform::closed_data_centre(item.key))
    {
        apply_closure(*name, !item.gone, item.revision);
    }
    else if (!item.gone)
    {
        apply_table(item);
    }
}

void operator_watch::apply_table(const store_item& item)
{
    if (item.key != platform::configuration_key)
    {
        return;
    }
    try
    {
        const queue_table table = platform::decode_configuration(item.value);
        if (table.version <= table_version_)
        {
            return;
        }
        table_version_ = table.version;
        log_event(event_id::configuration_in_force,
                  {{"version", std::to_string(table.version)},
                   {"revision", std::to_string(item.revision)},
                   {"queues", std::to_string(table.queues.size())}});
        callbacks_.table(table);
    }
    catch (const document_error& error)
    {
        log_event(event_id::configuration_refused, {{"why", error.what()}});
    }
}

// The key alone counts: a key whose value is unreadable closes its data centre
// as well.
void operator_watch::apply_closure(const std::string& data_centre,
                                   bool is_closed, std::int64_t revision)
{
    const bool changed = is_closed ? closed_.names.insert(data_centre).second
                                   : closed_.names.erase(data_centre) > 0;
    if (changed)
    {
        log_event(is_closed ? event_id::data_centre_closed
                            : event_id::data_centre_opened,
                  {{"data_centre", data_centre},
                   {"revision", std::to_string(revision)}});
    }
}

void operator_watch::publish_closed(time_point known_at)
{
    closed_.as_of = std::max(closed_.as_of, known_at);
    callbacks_.closed(closed_);
}

} // namespace springstair
