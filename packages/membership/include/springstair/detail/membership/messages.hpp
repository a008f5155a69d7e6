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

/// @brief An amount of a worker's resources.
struct resources
{
    std::int64_t cpu_millis = 0; ///< thousandths of a processor
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0; ///< whole devices

    bool operator==(const resources&) const = default;

    /// @brief Whether this amount is at most @p available in every dimension.
    [[nodiscard]] bool fits(const resources& available) const noexcept;
    resources& operator+=(const resources& other) noexcept;
    resources& operator-=(const resources& other) noexcept;
};

// ---------------------------------------------------------------------------
// Guard to entry: the heartbeat
// ---------------------------------------------------------------------------

/// @brief Numbers of running and queued requests at a guard.
struct load_report
{
    std::int64_t slots = 0;
    std::int64_t running_critical = 0;
    std::int64_t running_other = 0;
    std::int64_t queued_critical = 0;
    std::int64_t queued_other = 0;
    /// Of these, the requests sent by the receiver of this report. The
    /// receiver replaces them with its own, more recent count.
    std::int64_t own_critical = 0;
    std::int64_t own_other = 0;

    bool operator==(const load_report&) const = default;
};

/// @brief State of a task attempt at a guard.
struct attempt_report
{
    std::string task;
    std::int64_t attempt = 0;
    std::string state; ///< starting, running, finished, failed, evicted or
                       ///< lost
    std::string detail;

    bool operator==(const attempt_report&) const = default;
};

/// @brief An entry's acknowledgement that the end of an attempt is committed.
struct attempt_ack
{
    std::string task;
    std::int64_t attempt = 0;
    std::int64_t shard = 0;
    std::int64_t epoch = 0; ///< of the shard owner that sends this

    bool operator==(const attempt_ack&) const = default;
};

/// @brief A guard's heartbeat.
struct guard_report
{
    guard_name guard;
    std::string incarnation; ///< different for each process start
    std::string data_centre;
    std::string rack;
    std::string address; ///< IP address and port
    bool leaving = false;
    bool ready = false;       ///< has learned what its executor runs
    bool tasks_ready = false; ///< has learned all that its worker
                              ///< runs or may start
    load_report load;
    std::int64_t table_revision = 0;
    std::vector<std::string> entries_heard; ///< entries it considers alive
    resources capacity;                     ///< of the worker, for tasks
    resources free;
    std::vector<attempt_report> attempts;

    bool operator==(const guard_report&) const = default;
};

/// @brief An entry's answer to a heartbeat.
struct heartbeat_answer
{
    entry_name entry;
    json table;                       ///< null unless newer than the guard's
    std::vector<std::string> entries; ///< addresses of all known entries
    std::vector<attempt_ack> acked;   ///< ended attempts now committed

    bool operator==(const heartbeat_answer&) const = default;
};

// ---------------------------------------------------------------------------
// Entry to entry: the exchange
// ---------------------------------------------------------------------------

/// @brief Units of a workspace's fleet-wide limit.
using unit_map = std::map<std::string, std::int64_t>;

/// @brief State that entries exchange, in the call and in its answer.
struct entry_summary
{
    entry_name entry;
    std::string incarnation;
    std::string address;
    std::string data_centre;
    bool leaving = false;
    std::int64_t table_revision = 0;
    json table;                       ///< null unless the receiver's is older
    std::vector<std::string> entries; ///< addresses of known entries
    unit_map wants;                   ///< additional units it could use
    unit_map lends;                   ///< units lent to the receiver
    unit_map holds;                   ///< borrowed units in use
    std::vector<std::int64_t> shards; ///< shards of tasks it owns
    /// Resources of placed tasks, by workspace.
    std::map<std::string, resources> task_usage;

    bool operator==(const entry_summary&) const = default;
};

// ---------------------------------------------------------------------------
// JSON format; parsing an invalid message throws nlohmann's exceptions
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

/// @brief Encodes a load report as the value of an HTTP header.
std::string to_header(const load_report& load);
/// @brief Parses the result of to_header(); empty if it is invalid.
std::optional<load_report> load_of_header(const std::string& text);

// ---------------------------------------------------------------------------
// Header, path and method names on the wire
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
