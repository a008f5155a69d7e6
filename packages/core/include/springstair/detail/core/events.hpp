#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace springstair
{

/// @brief Ids of all log events; docs/EVENTS.md describes them.
enum class event_id : std::uint16_t
{
    process_started = 1001,
    process_draining = 1002,
    process_stopped = 1003,
    settings_refused = 1004,
    part_restarted = 1005,
    part_given_up = 1006,
    process_bounds = 1007,
    message_failed = 1008,
    requests_refused = 1009,
    table_in_force = 1101,
    table_refused = 1102,
    store_lost = 1201,
    store_back = 1202,
    connection_silent = 1203,
    connection_not_opened = 1204,
    guard_joined = 1301,
    guard_leaving = 1302,
    guard_lost = 1303,
    guard_ejected = 1304,
    guard_restored = 1305,
    stranger_refused = 1401,
    shard_taken = 1501,
    shard_lost = 1502,
    task_ended = 1503,
    shard_unreadable = 1504,
    office_taken = 1601,
    office_lost = 1602,
    entry_ready = 1603,
    entry_unready = 1604,
    office_offered = 1605,
    configuration_in_force = 1611,
    configuration_refused = 1612,
    record_unreadable = 1613,
    advice_came = 1614,
    data_centre_closed = 1615,
    data_centre_opened = 1616,
    closure_in_force = 1617,
    starts_withheld = 1618,
    job_accepted = 1621,
    job_not_taken = 1622,
    job_known = 1623,
    job_ended = 1624,
    job_cancelled = 1625,
    job_service = 1626,
    job_passed_on = 1627,
    run_unwanted = 1630,
    run_placed = 1631,
    run_ended = 1632,
    run_refused = 1633,
    run_stuck = 1634,
    order_failed = 1635,
    run_moved = 1636,
    tasks_wait = 1637,
    run_lost = 1638,
    task_suspected = 1639,
    run_missing = 1640,
    worker_known = 1641,
    worker_lost = 1642,
    worker_ejected = 1643,
    worker_unreadable = 1644,
    worker_paced = 1645,
    guard_unproven = 1646,
    executor_unproven = 1647,
    lease_awaited = 1648,
    guard_paused = 1649,
    holder_lost = 1651,
    holder_found = 1652,
    commit_uncertain = 1661,
    write_rejected = 1662,
    checkpoints_left_out = 1663,
    run_yielded = 1671,
    job_deferred = 1677,
    stop_held = 1685,
    stop_forced = 1686
};

/// @brief Severity of an event.
enum class severity : std::uint8_t
{
    info,
    warning,
    error
};

/// @brief Description of one event in the catalogue.
struct event_description
{
    event_id id;
    severity level;
    std::string_view name;
    std::string_view meaning;
};

/// @brief Descriptions of all events, ordered by id.
std::span<const event_description> event_catalogue() noexcept;

/// @brief A named value that is logged with an event.
struct event_field
{
    std::string_view name;
    std::string value;
};

/// @brief Writes one event as a line of JSON to the log.
/// Thread-safe.
void log_event(event_id id, std::initializer_list<event_field> fields = {});

/// @copydoc log_event
void log_event(event_id id, std::span<const event_field> fields);

/// @brief Number of log lines dropped because the rate limit was exceeded or
/// standard output was not writable.
std::int64_t dropped_log_lines() noexcept;

/// @brief Directs the log to standard output, one line per event. Lines are
/// dropped rather than blocking when standard output is not writable.
/// @param process process name written in each line
void start_log(const std::string& process);

/// @brief The version of this build.
std::string_view version() noexcept;

} // namespace springstair
