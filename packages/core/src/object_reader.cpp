#include <springstair/core.hpp>

#include <utility>

namespace springstair
{

namespace
{

std::string escape_pointer(std::string_view key)
{
    std::string text;
    for (const char c : key)
    {
        if (c == '~')
        {
            text += "~0";
        }
        else if (c == '/')
        {
            text += "~1";
        }
        else
        {
            text += c;
        }
    }
    return text;
}

// Unsigned numbers above the maximum would wrap to negative ones.
bool is_int64(const json& value)
{
    constexpr auto max =
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    return value.is_number_unsigned() ? value.get<std::uint64_t>() <= max
                                      : value.is_number_integer();
}

} // namespace

object_reader::object_reader(const json& object, std::string place,
                             findings& out)
    : object_(object), place_(std::move(place)), out_(out)
{
    if (!object_.is_object())
    {
        out_.push_back({.place = place_, .message = "must be an object"});
    }
}

std::string object_reader::place_of(std::string_view key) const
{
    return place_ + "/" + escape_pointer(key);
}

void object_reader::report(std::string_view key, const std::string& message)
{
    out_.push_back({.place = place_of(key), .message = message});
}

const json* object_reader::member(std::string_view key)
{
    seen_.emplace(key);
    if (!object_.is_object())
    {
        return nullptr;
    }
    const auto found = object_.find(std::string(key));
    return found == object_.end() ? nullptr : &*found;
}

std::string object_reader::text(std::string_view key,
                                const std::optional<std::string>& fallback)
{
    const json* value = member(key);
    if (value == nullptr)
    {
        if (!fallback)
        {
            report(key, "is required");
        }
        return fallback.value_or("");
    }
    if (!value->is_string() || value->get_ref<const std::string&>().empty())
    {
        report(key, "must be a non-empty string");
        return fallback.value_or("");
    }
    return value->get<std::string>();
}

std::string object_reader::optional_text(std::string_view key)
{
    const json* value = member(key);
    if (value != nullptr && !value->is_string())
    {
        report(key, "must be a string");
    }
    return value != nullptr && value->is_string() ? value->get<std::string>()
                                                  : std::string();
}

std::int64_t object_reader::integer(std::string_view key,
                                    std::optional<std::int64_t> fallback,
                                    number_range range)
{
    const json* value = member(key);
    const std::int64_t default_value = fallback.value_or(range.min);
    if (value == nullptr)
    {
        if (!fallback)
        {
            report(key, "is required");
        }
        return default_value;
    }
    if (!is_int64(*value) || value->get<std::int64_t>() < range.min ||
        value->get<std::int64_t>() > range.max)
    {
        report(key, "must be an integer from " + std::to_string(range.min) +
                        " to " + std::to_string(range.max));
        return default_value;
    }
    return value->get<std::int64_t>();
}

double object_reader::positive(std::string_view key, double fallback)
{
    const json* value = member(key);
    if (value == nullptr)
    {
        return fallback;
    }
    if (!value->is_number() || !(value->get<double>() > 0))
    {
        report(key, "must be a number greater than 0");
        return fallback;
    }
    return value->get<double>();
}

bool object_reader::boolean(std::string_view key, bool fallback)
{
    const json* value = member(key);
    if (value == nullptr)
    {
        return fallback;
    }
    if (!value->is_boolean())
    {
        report(key, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::vector<std::string> object_reader::texts(std::string_view key)
{
    std::vector<std::string> elements;
    const json* value = member(key);
    if (value == nullptr)
    {
        return elements;
    }
    if (!value->is_array())
    {
        report(key, "must be an array of strings");
        return elements;
    }
    for (std::size_t index = 0; index < value->size(); ++index)
    {
        const json& element = (*value)[index];
        if (element.is_string())
        {
            elements.push_back(element.get<std::string>());
            continue;
        }
        out_.push_back({.place = place_of(key) + "/" + std::to_string(index),
                        .message = "must be a string"});
    }
    return elements;
}

std::string text_member(const json& document, std::string_view key)
{
    if (!document.is_object())
    {
        return {};
    }
    const auto found = document.find(std::string(key));
    return found != document.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
}

void object_reader::reject_unknown()
{
    if (!object_.is_object())
    {
        return;
    }
    for (const auto& [key, value] : object_.items())
    {
        if (!seen_.contains(key))
        {
            report(key, "is not a known member");
        }
    }
}

} // namespace springstair
