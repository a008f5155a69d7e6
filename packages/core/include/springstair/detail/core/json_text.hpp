#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string_view>

namespace springstair
{

using nlohmann::json;

/// @brief Deepest nesting of arrays and objects in a document from outside.
///
/// Copying, comparing and printing a JSON value recurse once a level; beyond
/// some 100,000 levels they exhaust the stack, which no handler can catch.
inline constexpr int max_nesting = 100;

/// @brief Parses a document that comes from outside this process.
/// @throw document_error 102, with the position, if @p text is no JSON
/// document or nested more deeply than max_nesting
json parse_json(std::string_view text);

/// @brief What a filter of a document is called for.
enum class json_event : std::uint8_t
{
    key,       ///< the name of a member was read; the value is that name
    array_end, ///< an array was read
    other
};

/// @brief Whether to keep a value that was read.
///
/// The depth is 0 for the document, 1 for its members and so on. A name that is
/// not kept drops its member.
using json_filter =
    std::function<bool(int depth, json_event event, const json& value)>;

/// @brief The same, but keeps only the values that @p filter accepts, so that a
/// long document needs little memory.
/// @throw whatever @p filter throws, but document_error for a json::exception
json parse_json(std::string_view text, const json_filter& filter);

/// @brief The same, but returns a discarded value instead of throwing.
json try_parse_json(std::string_view text);

} // namespace springstair
