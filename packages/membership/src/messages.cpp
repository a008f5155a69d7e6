#include <springstair/membership.hpp>

#include <sstream>

namespace springstair
{

bool resources::fits(const resources& available) const noexcept
{
    return cpu_millis <= available.cpu_millis &&
           memory_mb <= available.memory_mb &&
           accelerators <= available.accelerators;
}

resources& resources::operator+=(const resources& other) noexcept
{
    cpu_millis += other.cpu_millis;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(const resources& other) noexcept
{
    cpu_millis -= other.cpu_millis;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
}

std::string to_header(const load_report& load)
{
    std::ostringstream text;
    text << load.slots << ' ' << load.running_critical << ' '
         << load.running_other << ' ' << load.queued_critical << ' '
         << load.queued_other << ' ' << load.own_critical << ' '
         << load.own_other;
    return text.str();
}

std::optional<load_report> load_of_header(const std::string& text)
{
    std::istringstream in(text);
    load_report load;
    in >> load.slots >> load.running_critical >> load.running_other >>
        load.queued_critical >> load.queued_other >> load.own_critical >>
        load.own_other;
    if (!in)
    {
        return std::nullopt;
    }
    return load;
}

} // namespace springstair
