#pragma once

#include <springstair/core.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace springstair
{

/// @brief Header fields by lower-case name.
using header_map = std::map<std::string, std::string, std::less<>>;

/// @brief A message body that is shared without copying.
using shared_body = std::shared_ptr<const std::string>;

/// @brief Makes a shared body from a text.
shared_body make_body(std::string text);

/// @brief A completely received request.
struct http_request
{
    std::string method;
    std::string path;
    header_map query;
    header_map headers;
    shared_body body;

    /// @brief The value of a header, or an empty string.
    [[nodiscard]] std::string header(std::string_view name) const;
    /// @brief The value of a query argument, or an empty string.
    [[nodiscard]] std::string argument(std::string_view name) const;
};

/// @brief A complete response.
struct http_response
{
    int status = 200;
    header_map headers;
    shared_body body;
};

/// @brief A response with a JSON body.
http_response json_response(int status, const json& document);

/// @brief Serialises a document. Bytes that are not UTF-8, which JSON cannot
/// represent, are replaced.
std::string to_text(const json& document);

/// @brief Encodes a text as a value in the query of a URL.
std::string percent_encoded(std::string_view text);

/// @brief Parses a body as JSON.
/// @throw document_error 102 if it is not JSON
json parse_body(const shared_body& body);

} // namespace springstair
