#pragma once

#include <springstair/core.hpp>

#include <cstdint>
#include <optional>

namespace springstair
{

/// @brief Whether the jobs of a deployment fit into the memory of each entry
/// that may become leader.
///
/// A part of the capacity is kept for small jobs, so that a few large ones
/// never exclude them. All sizes are those of job_record::memory_bytes().
struct job_memory
{
    /// Largest job that may use the kept part: some hundred tasks.
    static constexpr std::int64_t small_job_bytes = std::int64_t{256} * 1024;
    static constexpr std::int64_t kept_divisor = 4;

    std::int64_t capacity_bytes = 0; ///< of the smallest entry
    std::int64_t held_bytes = 0;     ///< by the leader

    /// @brief Whether another job fits.
    [[nodiscard]] bool admits(std::int64_t bytes) const noexcept;
    /// @brief What each of @p entries may accept until it asks again.
    [[nodiscard]] std::int64_t allotment(std::size_t entries) const noexcept;

    bool operator==(const job_memory&) const = default;
};

/// @brief The bytes of small jobs that an entry other than the leader may
/// accept on its own, between two answers of the leader.
class job_allotment
{
public:
    /// @param capacity_bytes of this entry, used until a leader answers
    explicit job_allotment(std::int64_t capacity_bytes) noexcept;

    /// @brief The leader's newest answer; nothing if it stated no allotment.
    void renew(std::optional<std::int64_t> bytes) noexcept;
    /// @brief Takes the bytes of a job. Returns false if it must be left to the
    /// leader.
    [[nodiscard]] bool take(std::int64_t bytes) noexcept;

private:
    std::int64_t initial_bytes_;
    std::int64_t left_bytes_;
};

} // namespace springstair
