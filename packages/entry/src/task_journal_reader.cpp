// Replay of a shard's journal.

#include "task_keys.hpp"

#include <springstair/entry.hpp>

#include <charconv>
#include <map>

namespace springstair
{

namespace
{

constexpr const char* missing = "the segment is missing";

// Segments by sequence number.
using segment_map = std::map<std::int64_t, const kv_item*>;

std::int64_t sequence_in(std::string_view digits)
{
    std::int64_t sequence = 0;
    const char* const end = digits.data() + digits.size();
    const auto [parsed, error] = std::from_chars(digits.data(), end, sequence);
    if (error != std::errc{} || parsed != end || sequence < 1)
    {
        throw document_error("the key does not end with a sequence number");
    }
    return sequence;
}

void read_snapshot(const kv_item& item, task_journal& journal)
{
    const json document = parse_json(item.value);
    shard_tasks tasks = shard_tasks::parse(document.at("book"));
    const auto next = document.at("next_segment").get<std::int64_t>();
    if (next < 1)
    {
        throw document_error("next_segment must be at least 1");
    }
    journal.snapshot_revision = item.mod_revision;
    journal.tasks = std::move(tasks);
    journal.next_segment = next;
}

void apply_segment(const kv_item& item, task_journal& journal)
{
    const json segment = parse_json(item.value);
    const auto steps = segment.at("steps").get<std::vector<task_transition>>();
    for (const task_transition& step : steps)
    {
        journal.tasks.apply(step);
    }
    ++journal.next_segment;
    ++journal.segments_since_snapshot;
}

// Calls `read` and records its error, if any, as that of the key.
template <class Read>
void try_read(task_journal& journal, const std::string& key, Read read)
{
    try
    {
        read();
    }
    catch (const std::exception& error)
    {
        journal.unreadable = unreadable_record{.key = key, .why = error.what()};
    }
}

segment_map segments_in(std::int64_t shard, const std::vector<kv_item>& items,
                        task_journal& journal)
{
    const std::string prefix = task_keys::segments(shard);
    segment_map segments;
    for (const kv_item& item : items)
    {
        if (!item.key.starts_with(prefix))
        {
            continue;
        }
        try_read(journal, item.key,
                 [&]
                 {
                     const std::string_view key = item.key;
                     segments[sequence_in(key.substr(prefix.size()))] = &item;
                 });
    }
    return segments;
}

// Segments are written one after another, so that a gap in their numbers is a
// lost record.
void apply_segments(std::int64_t shard, const segment_map& segments,
                    task_journal& journal)
{
    for (auto next = segments.lower_bound(journal.next_segment);
         next != segments.end() && !journal.unreadable; ++next)
    {
        if (next->first != journal.next_segment)
        {
            journal.unreadable = unreadable_record{
                .key = task_keys::segment(shard, journal.next_segment),
                .why = missing};
            return;
        }
        try_read(journal, next->second->key,
                 [&] { apply_segment(*next->second, journal); });
    }
}

} // namespace

task_journal read_task_journal(std::int64_t shard,
                               const std::vector<kv_item>& items)
{
    task_journal journal;
    const segment_map segments = segments_in(shard, items, journal);
    for (const kv_item& item : items)
    {
        if (item.key == task_keys::snapshot(shard))
        {
            try_read(journal, item.key, [&] { read_snapshot(item, journal); });
        }
    }
    if (!journal.unreadable)
    {
        apply_segments(shard, segments, journal);
    }
    return journal;
}

} // namespace springstair
