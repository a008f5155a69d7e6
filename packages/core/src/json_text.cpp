#include <springstair/core.hpp>

#include <optional>

namespace springstair
{

namespace
{

// Position of the first bracket that nests too deeply. Brackets in strings do
// not count.
std::optional<std::size_t> find_deep_nesting(std::string_view text)
{
    int depth = 0;
    bool in_string = false;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        const char c = text[at];
        if (in_string && c == '\\')
        {
            ++at; // the escaped character
        }
        else if (c == '"')
        {
            in_string = !in_string;
        }
        else if (!in_string && (c == '[' || c == '{'))
        {
            if (++depth > max_nesting)
            {
                return at;
            }
        }
        else if (!in_string && (c == ']' || c == '}'))
        {
            --depth;
        }
    }
    return std::nullopt;
}

json_event event_of(json::parse_event_t event) noexcept
{
    switch (event)
    {
    case json::parse_event_t::key:
        return json_event::key;
    case json::parse_event_t::array_end:
        return json_event::array_end;
    default:
        return json_event::other;
    }
}

json parse(std::string_view text, const json::parser_callback_t& callback)
{
    if (const auto at = find_deep_nesting(text))
    {
        throw document_error("nested more than " + std::to_string(max_nesting) +
                             " levels deep at byte " + std::to_string(*at + 1));
    }
    try
    {
        return json::parse(text, callback);
    }
    catch (const json::exception& error)
    {
        throw document_error(error.what());
    }
}

} // namespace

json parse_json(std::string_view text)
{
    return parse(text, nullptr);
}

json parse_json(std::string_view text, const json_filter& filter)
{
    return parse(text,
                 [&](int depth, json::parse_event_t event, const json& value)
                 { return filter(depth, event_of(event), value); });
}

json try_parse_json(std::string_view text)
{
    return find_deep_nesting(text) ? json(json::value_t::discarded)
                                   : json::parse(text, nullptr, false);
}

} // namespace springstair
