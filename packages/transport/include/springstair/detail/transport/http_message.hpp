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

/// @brief A body that is handed on without being copied.
using shared_body = std::shared_ptr<const std::string>;

/// @brief Makes a body that can be handed on.
shared_body make_body(std::string text);

/// @brief A request, received whole.
struct http_request
{
    std::string method;
    std::string path;
    header_map query;
    header_map headers;
    shared_body body;

    /// @brief A header's value, or an empty text.
    [[nodiscard]] std::string header(std::string_view name) const;
    /// @brief A query argument's value, or an empty text.
    [[nodiscard]] std::string argument(std::string_view name) const;
};

/// @brief A whole answer.
struct http_response
{
    int status = 200;
    header_map headers;
    shared_body body;
};

/// @brief An answer that carries JSON.
http_response json_response(int status, const json& document);

/// @brief Reads a body as JSON.
/// @throw document_error 102 if it is not JSON
json parse_body(const shared_body& body);

} // namespace springstair
