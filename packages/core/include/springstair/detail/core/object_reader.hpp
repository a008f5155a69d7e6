#pragma once

#include <springstair/detail/core/errors.hpp>
#include <springstair/detail/core/json_text.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace springstair
{

/// @brief Inclusive bounds of a number in a document.
struct number_range
{
    std::int64_t min = 0;
    std::int64_t max = std::numeric_limits<std::int32_t>::max();
};

/// @brief Reads the members of a JSON object and collects its errors.
///
/// Every accessor returns its fallback if the member is absent or invalid; an
/// invalid member adds a finding with its JSON pointer. Nothing throws.
class object_reader
{
public:
    /// @param object the object to read; must outlive the reader
    /// @param place JSON pointer of the object
    /// @param out receives the findings; must outlive the reader
    object_reader(const json& object, std::string place, findings& out);

    /// @brief A non-empty string; required if there is no @p fallback.
    std::string text(std::string_view key,
                     const std::optional<std::string>& fallback = {});
    /// @brief A string, which may be empty; empty if the member is absent.
    std::string optional_text(std::string_view key);
    /// @brief An integer within @p range; required if there is no @p fallback.
    std::int64_t integer(std::string_view key,
                         std::optional<std::int64_t> fallback,
                         number_range range = {});
    /// @brief A number greater than 0.
    double positive(std::string_view key, double fallback);
    /// @brief A boolean.
    bool boolean(std::string_view key, bool fallback);
    /// @brief An array of strings; empty if the member is absent.
    std::vector<std::string> texts(std::string_view key);
    /// @brief A member of any type; nullptr if it is absent.
    const json* member(std::string_view key);
    /// @brief Adds a finding for every member that no accessor has read.
    void reject_unknown();
    /// @brief Adds a finding for the member @p key.
    void report(std::string_view key, const std::string& message);
    /// @brief The JSON pointer of the member @p key.
    [[nodiscard]] std::string place_of(std::string_view key) const;

private:
    const json& object_;
    std::string place_;
    findings& out_;
    std::set<std::string, std::less<>> seen_;
};

/// @brief A string member of a document that may have any form; empty if the
/// document is no object, or the member is absent or no string.
std::string text_member(const json& document, std::string_view key);

} // namespace springstair
