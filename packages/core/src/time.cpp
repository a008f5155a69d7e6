#include <springstair/core.hpp>

#include <ctime>

namespace springstair
{

boot_clock::time_point boot_clock::now() noexcept
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(reading.tv_sec) +
        std::chrono::nanoseconds(reading.tv_nsec)));
}

} // namespace springstair
