#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace springstair
{

/// @brief A strongly typed string: values of different tags do not mix.
template <class Tag>
struct named
{
    std::string value;

    auto operator<=>(const named&) const = default; // NOLINT: no pointer
};

/// @brief Serializes a name as a plain JSON string.
template <class Json, class Tag>
void to_json(Json& out, const named<Tag>& name)
{
    out = name.value;
}

/// @copydoc to_json
template <class Json, class Tag>
void from_json(const Json& in, named<Tag>& name)
{
    in.get_to(name.value);
}

/// @brief Name of an entry process, from its settings.
using entry_name = named<struct entry_tag>;
/// @brief Name of a guard, from its settings.
using guard_name = named<struct guard_tag>;
/// @brief Id of one attempt of a request, unique in the fleet.
using attempt_name = named<struct attempt_tag>;

/// @brief A class of work of one workspace.
struct class_name
{
    std::string workspace;
    std::string work_class;

    auto operator<=>(const class_name&) const = default; // NOLINT

    /// @brief Name of the class's row in the table: `workspace/class`.
    [[nodiscard]] std::string row() const
    {
        return workspace + "/" + work_class;
    }
};

/// @brief Kind of work in a class.
enum class class_kind : std::uint8_t
{
    latency_critical,
    heavy,
    batch
};

/// @brief What is known of a request that got no answer from an executor.
enum class outcome : std::uint8_t
{
    not_run, ///< the request certainly did not run
    unknown, ///< it may have run
    failed   ///< it ran and failed
};

/// @brief Why a request was refused or abandoned.
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
    retry_budget, ///< unused; the attempt's own refusal is reported
    connection_lost,
    wrong_incarnation, ///< addressed to a past incarnation
    duplicate,         ///< the attempt was received before
    starting,          ///< the process does not accept this request yet
    store_unavailable,
    never_fits,
    busy ///< no slot is free now, and the attempt may not be queued
};

/// @brief The wire name of a value; empty if the value is out of range.
std::string_view to_string(class_kind value) noexcept;
/// @copydoc to_string(class_kind)
std::string_view to_string(outcome value) noexcept;
/// @copydoc to_string(class_kind)
std::string_view to_string(refusal value) noexcept;

/// @brief Parses a wire name; empty if no value has that name.
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
