#include "operator_watch.hpp"

#include <utility>

namespace springstair
{

namespace
{

using platform::store_item;
using platform::store_result;
using platform::store_status;

// A watch may hear nothing for a second while the history is dropped; the
// next one is then told to read anew. So short, a change is in force within
// two seconds all the same.
constexpr duration watch_wait = std::chrono::milliseconds(700);
// Where another entry tells of a change that is missed.
constexpr duration long_wait = std::chrono::seconds(20);
constexpr duration pause = std::chrono::milliseconds(150);

} // namespace

operator_watch::operator_watch(process_context& process,
                               platform::store_client& store, callbacks then)
    : process_(process), store_(store), then_(std::move(then))
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

// From now on nobody else tells of what a long watch does not hear.
void operator_watch::use_long_poll(bool relies)
{
    const bool ends = long_poll_ && !relies;
    long_poll_ = relies;
    if (ends)
    {
        restart_read();
    }
}

void operator_watch::expect(std::int64_t revision)
{
    const bool is_read = watched_revision_ != 0;
    if (is_read && revision > watched_revision_)
    {
        restart_read();
    }
}

// Reads anew. A watch that is under way has its answer later; it is void.
void operator_watch::restart_read()
{
    ++turn_;
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
    store_.range(platform::operator_prefix, page_after_, timeout_.value(),
                 process_.on_control<store_result>(
                     [this, sent, turn = turn_](const store_result& result)
                     {
                         if (turn == turn_)
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
        next_read_ = boot_clock::now() + pause;
        return;
    }
    timeout_.answered(result.took);
    if (page_after_.empty())
    {
        reading_since_ = result.revision;
        reading_sent_ = sent;
        closed_read_.clear();
    }
    for (const store_item& item : result.items)
    {
        newest_change_ = std::max(newest_change_, item.revision);
        take_table(item);
        if (const auto name = platform::closed_data_centre(item.key))
        {
            closed_read_.insert(*name);
            note_closure(*name, true, item.revision);
        }
    }
    page_after_ = result.next_page();
    if (page_after_.empty())
    {
        end_reading();
    }
}

// What is not in a reading is gone.
void operator_watch::end_reading()
{
    const std::set<std::string> before = closed_.names;
    for (const std::string& name : before)
    {
        if (!closed_read_.contains(name))
        {
            newest_change_ = reading_since_; // at the latest
            note_closure(name, false, reading_since_);
        }
    }
    watched_revision_ = reading_since_;
    fresh_at_ = reading_sent_;
    tell_closed(reading_sent_);
}

// ---------------------------------------------------------------------------
// Watching
// ---------------------------------------------------------------------------

// Watches of earlier turns are still open: no more of them at a time than one.
void operator_watch::watch()
{
    busy_ = true;
    const time_point sent = boot_clock::now();
    const duration wait = long_poll_ && waiting_ < 2 ? long_wait : watch_wait;
    ++waiting_;
    store_.watch(
        platform::operator_prefix, watched_revision_, wait,
        process_.on_control<store_result>(
            [this, sent, wait, turn = turn_](const store_result& result)
            {
                --waiting_;
                if (turn == turn_)
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
        const bool at_once = now - sent > pause;
        next_read_ = now + (at_once ? duration{0} : pause);
        return;
    }
    fresh_at_ = now;
    for (const store_item& item : result.items)
    {
        watched_revision_ = std::max(watched_revision_, item.revision);
        newest_change_ = std::max(newest_change_, item.revision);
        take(item);
    }
    // Without a change the store has waited to the end; with one, all that is
    // known of its answer's age is that it came after the call.
    tell_closed(result.items.empty() ? std::min(now, sent + waited) : sent);
}

void operator_watch::take(const store_item& item)
{
    if (const auto name = platform::closed_data_centre(item.key))
    {
        note_closure(*name, !item.gone, item.revision);
    }
    else if (!item.gone)
    {
        take_table(item);
    }
}

void operator_watch::take_table(const store_item& item)
{
    if (item.key != platform::configuration_key)
    {
        return;
    }
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
        then_.table(table);
    }
    catch (const document_error& error)
    {
        log_event(event_id::configuration_refused, {{"why", error.what()}});
    }
}

// The key alone says what is meant: an entry whose value cannot be read
// closes its data centre, too.
void operator_watch::note_closure(const std::string& data_centre,
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

void operator_watch::tell_closed(time_point known_at)
{
    closed_.as_of = std::max(closed_.as_of, known_at);
    then_.closed(closed_);
}

} // namespace springstair
