#pragma once

#include <atomic>
#include <cstddef>

namespace springstair
{

/// @brief A number of bytes that several owners share. Thread-safe.
///
/// Memory is reserved before it is used. A part of the budget is kept for small
/// reservations, so that large ones never exclude them.
class memory_budget
{
public:
    /// @param capacity in bytes; 0: unlimited
    /// @param small largest reservation that may use the kept part, in bytes
    explicit memory_budget(std::size_t capacity, std::size_t small) noexcept
        : capacity_(capacity), small_(small)
    {
    }

    /// @brief Changes a reservation of @p held bytes to one of @p wanted.
    /// Returns false, and changes nothing, if it does not fit.
    [[nodiscard]] bool resize(std::size_t held, std::size_t wanted) noexcept;

    /// @brief Bytes that are reserved now.
    [[nodiscard]] std::size_t used() const noexcept
    {
        return used_;
    }

private:
    static constexpr std::size_t kept_divisor = 4;

    std::size_t capacity_;
    std::size_t small_;
    std::atomic<std::size_t> used_ = 0;
};

/// @brief A reservation of a budget, returned when it is destroyed.
class memory_reservation
{
public:
    /// @brief An empty reservation of a budget, which must exist until it is
    /// released.
    explicit memory_reservation(memory_budget& budget) noexcept
        : budget_(budget)
    {
    }
    ~memory_reservation()
    {
        release();
    }
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;

    /// @brief Reserves so many bytes in place of those held. Returns false, and
    /// changes nothing, if they do not fit.
    [[nodiscard]] bool resize(std::size_t bytes) noexcept;
    /// @brief Returns all bytes to the budget.
    void release() noexcept;

    /// @brief Bytes that are reserved.
    [[nodiscard]] std::size_t held() const noexcept
    {
        return held_;
    }

private:
    memory_budget& budget_;
    std::size_t held_ = 0;
};

} // namespace springstair
