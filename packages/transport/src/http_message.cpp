#include <springstair/transport.hpp>

#include <cctype>
#include <utility>

namespace springstair
{

namespace
{

std::string value_or_empty(const header_map& map, std::string_view name)
{
    const auto found = map.find(name);
    return found == map.end() ? std::string() : found->second;
}

} // namespace

shared_body make_body(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

std::string http_request::header(std::string_view name) const
{
    return value_or_empty(headers, name);
}

std::string http_request::argument(std::string_view name) const
{
    return value_or_empty(query, name);
}

http_response json_response(int status, const json& document)
{
    return {.status = status,
            .headers = {{"content-type", "application/json"}},
            .body = make_body(to_text(document))};
}

std::string to_text(const json& document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string percent_encoded(std::string_view text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string out;
    for (const char sign : text)
    {
        const auto byte = static_cast<unsigned char>(sign);
        if (std::isalnum(byte) != 0 || sign == '-' || sign == '.' ||
            sign == '_' || sign == '/')
        {
            out += sign;
            continue;
        }
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 15U];
    }
    return out;
}

json parse_body(const shared_body& body)
{
    json document = try_parse_json(body ? *body : std::string());
    if (document.is_discarded())
    {
        throw document_error("the body is not JSON");
    }
    return document;
}

} // namespace springstair
