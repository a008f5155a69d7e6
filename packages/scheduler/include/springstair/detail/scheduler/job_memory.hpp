#pragma once

#include <springstair/core.hpp>

#include <cstdint>
#include <optional>

namespace springstair
{

/// @brief The bytes of a set of jobs.
///
/// All sizes are those of job_record::memory_bytes().
struct job_bytes
{
    std::int64_t total = 0;
    std::int64_t large = 0; ///< share of jobs that are not small

    /// @brief Counts a job.
    void add(std::int64_t bytes) noexcept;
    /// @brief Counts a job no longer.
    void remove(std::int64_t bytes) noexcept;

    bool operator==(const job_bytes&) const = default;
};

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

/// @brief Whether a leader loads a stored job beside others.
///
/// Admission depends on the order of the submissions, which a later leader does
/// not know. So every set of jobs that admission can lead to is loaded, in any
/// order: large jobs are compared with the large ones alone, and the total may
/// exceed the capacity, as entries accept small jobs in parallel. Only jobs
/// that an earlier version or entries of more memory accepted may not fit.
/// @param loaded the jobs that are loaded already
/// @param capacity_bytes of the leader
[[nodiscard]] bool can_load(const job_bytes& loaded, std::int64_t bytes,
                            std::int64_t capacity_bytes) noexcept;

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
