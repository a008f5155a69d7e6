#pragma once

#include <springstair/core.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace springstair
{

/// @brief Maximum age of a count of waiting jobs that callers are told
/// (platform).
inline constexpr duration max_count_age = std::chrono::seconds(2);

/// @brief The newest counts of waiting jobs that an entry has received, by
/// queue. They serve callers for a limited time while no leader answers.
class waiting_counts
{
public:
    /// @brief Records a count.
    /// @param as_of time up to which it includes all changes
    void record(const std::string& queue, std::int64_t waiting,
                time_point as_of);

    /// @brief The count of a queue; nothing if there is none of at most
    /// max_count_age.
    [[nodiscard]] std::optional<std::int64_t> recent(const std::string& queue,
                                                     time_point now) const;

private:
    struct dated_count
    {
        std::int64_t waiting = 0;
        time_point as_of;
    };

    std::map<std::string, dated_count> counts_;
};

} // namespace springstair
