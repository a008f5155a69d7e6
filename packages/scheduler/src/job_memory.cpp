#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

bool job_memory::admits(std::int64_t bytes) const noexcept
{
    const std::int64_t kept =
        bytes > small_job_bytes ? capacity_bytes / kept_divisor : 0;
    return bytes <= capacity_bytes - kept - held_bytes;
}

std::int64_t job_memory::allotment(std::size_t entries) const noexcept
{
    const std::int64_t left =
        std::max<std::int64_t>(0, capacity_bytes - held_bytes);
    return left / std::max<std::int64_t>(1, static_cast<std::int64_t>(entries));
}

job_allotment::job_allotment(std::int64_t capacity_bytes) noexcept
    : initial_bytes_(capacity_bytes / job_memory::kept_divisor),
      left_bytes_(initial_bytes_)
{
}

// Leaders of earlier versions state none.
void job_allotment::renew(std::optional<std::int64_t> bytes) noexcept
{
    left_bytes_ = bytes.value_or(initial_bytes_);
}

bool job_allotment::take(std::int64_t bytes) noexcept
{
    if (bytes > job_memory::small_job_bytes || bytes > left_bytes_)
    {
        return false;
    }
    left_bytes_ -= bytes;
    return true;
}

} // namespace springstair
