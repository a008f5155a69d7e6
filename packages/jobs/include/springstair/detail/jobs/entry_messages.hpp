#pragma once

#include <springstair/core.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief The method of an entry's heartbeat.
inline constexpr const char* entry_heartbeat_method = "entry_heartbeat";

/// @brief The method by which a holder asks another entry to take its office.
inline constexpr const char* take_over_method = "take_over";
/// @brief The method by which that one tells what came of it.
inline constexpr const char* took_over_method = "took_over";

/// @brief The method by which a former holder tells its guards of the next.
inline constexpr const char* leader_changed_method = "holder_changed";

/// @brief Another entry holds the jobs from now on.
struct leader_change
{
    std::int64_t epoch = 0;
    std::string holder; ///< its address

    bool operator==(const leader_change&) const = default;
};

/// @brief A holder asks another entry to take its office.
struct take_over_request
{
    std::int64_t epoch = 0; ///< of that office
    std::string from;       ///< the holder's address

    bool operator==(const take_over_request&) const = default;
};

/// @brief What came of it.
struct take_over_result
{
    std::int64_t epoch = 0; ///< of the new office; 0: it was not taken
    std::string by;         ///< who was asked

    bool operator==(const take_over_result&) const = default;
};

/// @brief What an entry says of itself to the holder of all jobs.
struct entry_heartbeat
{
    std::string address; ///< its internal address, and its name here
    std::string data_centre;
    double processors = 1; ///< of its VM, in cores
    /// Whether the newest call to the platform's store that ended got no
    /// service.
    bool store_away = false;

    bool operator==(const entry_heartbeat&) const = default;
};

/// @brief The holder's answer, or that of an entry that is not the holder.
struct entry_heartbeat_answer
{
    /// The newest office that the answering entry knows of; 0: none.
    std::int64_t epoch = 0;
    std::string holder; ///< its address
    bool holds = false; ///< whether it is the answering entry's own

    // Told by the holder only.

    /// Place among those that take the office next, from 0.
    std::optional<std::int64_t> rank;
    /// Entries that the store serves, to pass requests on to.
    std::vector<std::string> peers;
    /// The store's revision of the newest change of the operator's that the
    /// holder knows; 0: what it knows is not fresh.
    std::int64_t operator_change = 0;

    bool operator==(const entry_heartbeat_answer&) const = default;
};

void to_json(json& to, const entry_heartbeat_answer& from);
void from_json(const json& from, entry_heartbeat_answer& to);
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(leader_change, epoch, holder)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(take_over_request, epoch, from)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(take_over_result, epoch, by)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(entry_heartbeat, address,
                                                data_centre, processors,
                                                store_away)

} // namespace springstair
