#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace springstair
{

/// @brief A string that only mixes with strings of the same meaning.
template <class Tag>
struct named
{
    std::string value;

    auto operator<=>(const named&) const = default; // NOLINT: no pointer
};

/// @brief A name is its text on the wire.
template <class Json, class Tag>
void to_json(Json& to, const named<Tag>& from)
{
    to = from.value;
}

/// @copydoc to_json
template <class Json, class Tag>
void from_json(const Json& from, named<Tag>& to)
{
    from.get_to(to.value);
}

/// @brief Names one entry process, from its settings.
using entry_name = named<struct entry_tag>;
/// @brief Names one guard, from its settings.
using guard_name = named<struct guard_tag>;
/// @brief Names one attempt of one request, unique over the fleet.
using attempt_name = named<struct attempt_tag>;

/// @brief A class of work of one workspace.
struct class_name
{
    std::string workspace;
    std::string work_class;

    auto operator<=>(const class_name&) const = default; // NOLINT

    /// @brief `workspace/class`, the name of its row in the table.
    [[nodiscard]] std::string row() const
    {
        return workspace + "/" + work_class;
    }
};

/// @brief How work of a class behaves.
enum class class_kind : std::uint8_t
{
    latency_critical,
    heavy,
    batch
};

/// @brief What is known of a request that got no executor's answer.
enum class outcome : std::uint8_t
{
    not_run, ///< the request truly did not run
    unknown, ///< it may have run
    failed   ///< it ran and failed
};

/// @brief Why a request was refused or given up.
enum class refusal : std::uint8_t
{
    unauthenticated,
    bad_request,
    unknown_class,
    over_limit,
    queue_full,
    deadline,
    draining,
    no_executor,
    retry_budget,
    connection_lost,
    wrong_incarnation,
    duplicate,
    starting,
    store_unavailable,
    never_fits,
    busy ///< no slot is free at once, and the attempt may not wait
};

/// @brief The wire name of a value; empty for a value out of range.
std::string_view to_string(class_kind value) noexcept;
/// @copydoc to_string(class_kind)
std::string_view to_string(outcome value) noexcept;
/// @copydoc to_string(class_kind)
std::string_view to_string(refusal value) noexcept;

/// @brief The value of a wire name, or nothing if no value has it.
template <class Enum>
std::optional<Enum> from_string(std::string_view name) noexcept
{
    for (int index = 0;; ++index)
    {
        const auto value = static_cast<Enum>(index);
        const std::string_view candidate = to_string(value);
        if (candidate.empty())
        {
            return std::nullopt;
        }
        if (candidate == name)
        {
            return value;
        }
    }
}

} // namespace springstair
