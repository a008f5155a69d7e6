#pragma once

#include <springstair/table.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace springstair
{

// ---------------------------------------------------------------------------
// Resources
// ---------------------------------------------------------------------------

/// @brief An amount of what a worker has.
struct resources
{
    std::int64_t cpu_millis = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const resources&) const = default;

    /// @brief Whether this amount fits into @p room in every dimension.
    [[nodiscard]] bool fits(const resources& room) const noexcept;
    resources& operator+=(const resources& other) noexcept;
    resources& operator-=(const resources& other) noexcept;
};

// ---------------------------------------------------------------------------
// Guard to entry: the heartbeat
// ---------------------------------------------------------------------------

/// @brief What runs and waits at a guard.
struct load_report
{
    std::int64_t slots = 0;
    std::int64_t running_critical = 0;
    std::int64_t running_other = 0;
    std::int64_t queued_critical = 0;
    std::int64_t queued_other = 0;
    /// Of these, what the entry that is told sent itself: it knows better
    /// how much of that is still out.
    std::int64_t own_critical = 0;
    std::int64_t own_other = 0;

    bool operator==(const load_report&) const = default;
};

/// @brief A task attempt that a guard answers for.
struct attempt_report
{
    std::string task;
    std::int64_t attempt = 0;
    std::string state; ///< running, finished, failed, evicted or stopped
    std::string detail;

    bool operator==(const attempt_report&) const = default;
};

/// @brief An entry's word that the end of an attempt is on record.
struct attempt_ack
{
    std::string task;
    std::int64_t attempt = 0;
    std::int64_t shard = 0;
    std::int64_t epoch = 0; ///< of the shard's holder that says so

    bool operator==(const attempt_ack&) const = default;
};

/// @brief A guard's heartbeat.
struct guard_report
{
    guard_name guard;
    std::string incarnation; ///< differs each time the process starts
    std::string data_centre;
    std::string rack;
    std::string address; ///< IP number and port
    bool leaving = false;
    bool ready = false;       ///< knows what its executor works on
    bool tasks_ready = false; ///< knows all its worker runs or may start
    load_report load;
    std::int64_t table_revision = 0;
    std::vector<std::string> entries_heard; ///< entries alive in its view
    resources capacity;                     ///< of the worker, for tasks
    resources free;
    std::vector<attempt_report> attempts;

    bool operator==(const guard_report&) const = default;
};

/// @brief What an entry answers to a heartbeat.
struct heartbeat_answer
{
    entry_name entry;
    json table;                       ///< null unless newer than reported
    std::vector<std::string> entries; ///< addresses of all known entries
    std::vector<attempt_ack> acked;   ///< ended attempts now on record

    bool operator==(const heartbeat_answer&) const = default;
};

// ---------------------------------------------------------------------------
// Entry to entry: the exchange
// ---------------------------------------------------------------------------

/// @brief Units of a workspace's fleet-wide limit.
using unit_map = std::map<std::string, std::int64_t>;

/// @brief What entries tell each other, in the call and in its answer.
struct entry_summary
{
    entry_name entry;
    std::string incarnation;
    std::string address;
    std::string data_centre;
    bool leaving = false;
    std::int64_t table_revision = 0;
    json table;                       ///< null unless the other's is older
    std::vector<std::string> entries; ///< addresses of known entries
    unit_map wants;                   ///< more in flight would be used
    unit_map lends;                   ///< lent to the one addressed
    unit_map holds;                   ///< borrowed from it and in use
    std::vector<std::int64_t> shards; ///< shards of tasks it holds
    std::map<std::string, resources> task_usage; ///< by workspace, placed

    bool operator==(const entry_summary&) const = default;
};

// ---------------------------------------------------------------------------
// Wire form; reading throws nlohmann's exceptions on a bad message
// ---------------------------------------------------------------------------

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(resources, cpu_millis, memory_mb,
                                   accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(load_report, slots, running_critical,
                                   running_other, queued_critical, queued_other,
                                   own_critical, own_other)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_report, task, attempt, state, detail)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_ack, task, attempt, shard, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(guard_report, guard, incarnation,
                                   data_centre, rack, address, leaving, ready,
                                   tasks_ready, load, table_revision,
                                   entries_heard, capacity, free, attempts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(heartbeat_answer, entry, table, entries,
                                   acked)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(entry_summary, entry, incarnation, address,
                                   data_centre, leaving, table_revision, table,
                                   entries, wants, lends, holds, shards,
                                   task_usage)

/// @brief A load report as the value of one header field.
std::string to_header(const load_report& load);
/// @brief Reads to_header()'s text; nothing if it is not one.
std::optional<load_report> load_of_header(const std::string& text);

// ---------------------------------------------------------------------------
// Names on the wire
// ---------------------------------------------------------------------------

namespace wire
{
inline constexpr const char* fleet_key = "springstair-fleet-key";
inline constexpr const char* attempt = "springstair-attempt";
inline constexpr const char* incarnation = "springstair-incarnation";
inline constexpr const char* workspace = "springstair-workspace";
inline constexpr const char* work_class = "springstair-class";
inline constexpr const char* deadline_ms = "springstair-deadline-ms";
inline constexpr const char* repeatable = "springstair-repeatable";
inline constexpr const char* credential = "springstair-credential";
inline constexpr const char* may_wait = "springstair-may-wait";
inline constexpr const char* load = "springstair-load";
inline constexpr const char* entry = "springstair-entry";
inline constexpr const char* operator_key = "springstair-operator";
inline constexpr const char* execute_path = "/v1/execute";
inline constexpr const char* rpc_path = "/v1/rpc";
inline constexpr const char* heartbeat_method = "guard.heartbeat";
inline constexpr const char* exchange_method = "entry.exchange";
inline constexpr const char* start_task_method = "task.start";
inline constexpr const char* stop_task_method = "task.stop";
inline constexpr const char* drain_method = "guard.drain";
inline constexpr const char* ending = "springstair-ending";
inline constexpr const char* ending_answered = "answered";
inline constexpr const char* ending_failed = "failed";
inline constexpr const char* ending_refused = "refused";
inline constexpr const char* path = "springstair-path";
inline constexpr const char* own_prefix = "springstair-";
} // namespace wire

} // namespace springstair
