#pragma once

#include <springstair/detail/core/errors.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace springstair
{

using nlohmann::json;

/// @brief Inclusive bounds of a number in a document.
struct number_range
{
    std::int64_t least = 0;
    std::int64_t most = std::numeric_limits<std::int32_t>::max();
};

/// @brief Reads the members of a JSON object and collects what is wrong.
///
/// Every accessor returns its fallback when the member is absent or bad; a
/// bad member adds a finding with its JSON pointer. Nothing throws.
class object_reader
{
public:
    /// @param object what to read @param place its JSON pointer
    /// @param out where findings go; must outlive the reader
    object_reader(const json& object, std::string place, findings& out);

    /// @brief A text member; without @p fallback it is required.
    std::string text(std::string_view key,
                     const std::optional<std::string>& fallback = {});
    /// @brief A whole number within @p range.
    std::int64_t integer(std::string_view key,
                         std::optional<std::int64_t> fallback,
                         number_range range = {});
    /// @brief A real number above zero.
    double positive(std::string_view key, double fallback);
    /// @brief True or false.
    bool boolean(std::string_view key, bool fallback);
    /// @brief A list of texts; empty when absent.
    std::vector<std::string> texts(std::string_view key);
    /// @brief A member of any type, or null when absent.
    const json* member(std::string_view key);
    /// @brief Adds a finding for every member that was never asked for.
    void reject_unknown();
    /// @brief Adds a finding at a member of this object.
    void report(std::string_view key, const std::string& message);
    /// @brief The JSON pointer of a member.
    [[nodiscard]] std::string place_of(std::string_view key) const;

private:
    const json& object_;
    std::string place_;
    findings& out_;
    std::set<std::string, std::less<>> seen_;
};

} // namespace springstair
