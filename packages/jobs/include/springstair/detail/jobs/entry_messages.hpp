#pragma once

#include <springstair/core.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Method of an entry's heartbeat to the leader.
inline constexpr const char* entry_heartbeat_method = "entry_heartbeat";

/// @brief Method by which the leader asks another entry to take over.
inline constexpr const char* take_over_method = "take_over";
/// @brief Method by which that entry reports the result.
inline constexpr const char* took_over_method = "took_over";

/// @brief Method by which a previous leader names its successor to its guards.
inline constexpr const char* leader_changed_method = "holder_changed";

/// @brief Method by which an entry asks the leader for a number of waiting
/// jobs.
inline constexpr const char* count_method = "count";

/// @brief A job as a caller names it.
struct job_reference
{
    std::string id;
    /// Queue of the caller's path; empty from entries of earlier versions.
    std::string queue;

    bool operator==(const job_reference&) const = default;
};

/// @brief Request for the number of waiting jobs of a queue.
struct waiting_count_query
{
    std::string queue;

    bool operator==(const waiting_count_query&) const = default;
};

/// @brief Number of jobs of a queue of which no task has begun.
struct waiting_count
{
    std::int64_t waiting = 0;
    /// Time since the leader last verified its leadership: another entry may
    /// have accepted or started jobs since then. 0 from earlier versions.
    std::int64_t age_ms = 0;

    bool operator==(const waiting_count&) const = default;
};

/// @brief Notification that another entry is the leader now.
struct leader_change
{
    std::int64_t epoch = 0;
    std::string holder; ///< address of the new leader

    bool operator==(const leader_change&) const = default;
};

/// @brief Request of the leader that another entry takes over.
struct take_over_request
{
    std::int64_t epoch = 0; ///< of the leader's term
    std::string from;       ///< the leader's address

    bool operator==(const take_over_request&) const = default;
};

/// @brief Result of a request to take over.
struct take_over_result
{
    std::int64_t epoch = 0; ///< of the new term; 0: leadership was not taken
    std::string by;         ///< address of the entry that was asked

    bool operator==(const take_over_result&) const = default;
};

/// @brief An entry's heartbeat to the leader.
struct entry_heartbeat
{
    std::string address; ///< internal address, which also names the entry
    std::string data_centre;
    double processors = 1; ///< of its VM, in cores
    /// Whether the store did not serve the most recently completed call.
    bool store_away = false;
    /// Bytes of jobs that it can hold as the leader; 0: unknown.
    std::int64_t job_capacity_bytes = 0;

    bool operator==(const entry_heartbeat&) const = default;
};

/// @brief Answer to a heartbeat, by the leader or another entry.
struct entry_heartbeat_answer
{
    /// Newest epoch that the answering entry knows; 0: none.
    std::int64_t epoch = 0;
    std::string holder; ///< address of the leader
    bool holds = false; ///< whether the answering entry is the leader

    // Set by the leader only.

    /// Rank among the successors, from 0; nothing if it cannot succeed.
    std::optional<std::int64_t> rank;
    /// Entries that the store serves, as peers to forward requests to.
    std::vector<std::string> peers;
    /// Store revision of the newest operator's change that the leader knows; 0:
    /// its knowledge is not up to date.
    std::int64_t operator_change = 0;
    /// Bytes of small jobs that the asking entry may accept until its next
    /// heartbeat; nothing from earlier versions.
    std::optional<std::int64_t> job_allotment_bytes;

    bool operator==(const entry_heartbeat_answer&) const = default;
};

void to_json(json& to, const waiting_count& from);
void from_json(const json& from, waiting_count& to);
void to_json(json& to, const entry_heartbeat_answer& from);
void from_json(const json& from, entry_heartbeat_answer& to);
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job_reference, id, queue)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(waiting_count_query, queue)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(leader_change, epoch, holder)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(take_over_request, epoch, from)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(take_over_result, epoch, by)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(entry_heartbeat, address,
                                                data_centre, processors,
                                                store_away, job_capacity_bytes)

} // namespace springstair
