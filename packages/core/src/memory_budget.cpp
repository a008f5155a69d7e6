#include <springstair/core.hpp>

namespace springstair
{

bool memory_budget::resize(std::size_t held, std::size_t wanted) noexcept
{
    const std::size_t kept = wanted > small_ ? capacity_ / kept_divisor : 0;
    std::size_t used = used_;
    while (true)
    {
        const std::size_t next = used - held + wanted;
        if (capacity_ > 0 && wanted > held && next > capacity_ - kept)
        {
            return false;
        }
        if (used_.compare_exchange_weak(used, next))
        {
            return true;
        }
    }
}

bool memory_reservation::resize(std::size_t bytes) noexcept
{
    if (!budget_.resize(held_, bytes))
    {
        return false;
    }
    held_ = bytes;
    return true;
}

void memory_reservation::release() noexcept
{
    // A reservation that was released may outlive its budget.
    if (held_ > 0)
    {
        static_cast<void>(resize(0)); // less memory always fits
    }
}

} // namespace springstair
