#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

// The total that is loaded, as a multiple of the capacity.
constexpr std::int64_t load_factor = 2;

std::int64_t large_share(std::int64_t bytes) noexcept
{
    return bytes > job_memory::small_job_bytes ? bytes : 0;
}

} // namespace

void job_bytes::add(std::int64_t bytes) noexcept
{
    total += bytes;
    large += large_share(bytes);
}

void job_bytes::remove(std::int64_t bytes) noexcept
{
    total -= bytes;
    large -= large_share(bytes);
}

bool can_load(const job_bytes& loaded, std::int64_t bytes,
              std::int64_t capacity_bytes) noexcept
{
    job_bytes next = loaded;
    next.add(bytes);
    const bool is_small = next.large == loaded.large;
    return (is_small || next.large <= capacity_bytes) &&
           next.total <= load_factor * capacity_bytes;
}

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
