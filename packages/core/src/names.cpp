#include <springstair/core.hpp>

#include <array>

namespace springstair
{

namespace
{

constexpr std::array<std::string_view, 3> kind_names{"latency-critical",
                                                     "heavy", "batch"};
constexpr std::array<std::string_view, 3> outcome_names{"not_run", "unknown",
                                                        "failed"};
constexpr std::array<std::string_view, 16> refusal_names{
    "unauthenticated", "bad_request",       "unknown_class",     "over_limit",
    "queue_full",      "deadline",          "draining",          "no_executor",
    "retry_budget",    "connection_lost",   "wrong_incarnation", "duplicate",
    "starting",        "store_unavailable", "never_fits",        "busy"};

template <class Names, class Enum>
std::string_view name_of(const Names& names, Enum value) noexcept
{
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : std::string_view{};
}

} // namespace

std::string_view to_string(class_kind value) noexcept
{
    return name_of(kind_names, value);
}

std::string_view to_string(outcome value) noexcept
{
    return name_of(outcome_names, value);
}

std::string_view to_string(refusal value) noexcept
{
    return name_of(refusal_names, value);
}

} // namespace springstair
