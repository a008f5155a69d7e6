#pragma once

#include <springstair/core.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace springstair
{

/// @brief Row of a workspace. Limits apply to the whole fleet.
struct workspace_row
{
    double weight = 1;              ///< share relative to other workspaces
    std::int64_t max_in_flight = 0; ///< concurrent requests; 0: no limit
    std::int64_t max_rate = 0;      ///< requests per second; 0: no limit
    std::int64_t cpu_millis = 0;    ///< of all tasks; 0: no limit
    std::int64_t memory_mb = 0;     ///< of all tasks; 0: no limit
    std::int64_t accelerators = -1; ///< of all tasks; -1: no limit
    std::vector<std::string> credential_hashes; ///< SHA-256, hexadecimal

    bool operator==(const workspace_row&) const = default;
};

/// @brief Row of a class of work of a workspace.
struct class_row
{
    class_kind kind = class_kind::heavy;
    double weight = 1;               ///< share within the workspace
    std::int64_t max_in_flight = 0;  ///< per executor; 0: no limit
    std::int64_t max_queue = 64;     ///< queued requests per executor
    std::int64_t reserved_slots = 0; ///< per executor; latency-critical only
    std::int64_t target_ms = 0;      ///< target latency; 0: none
    bool repeatable = false;         ///< default if the caller gives none

    bool operator==(const class_row&) const = default;
};

/// @brief One revision of the operators' table; immutable, cheap to copy.
class table
{
public:
    /// @brief Creates an empty table of revision 0.
    table();

    /// @brief Parses and validates a document.
    /// @param document `{"revision": n, "rows": {...}}`
    /// @throw document_error 101 with every finding
    static table parse(const json& document);

    /// @brief Incremented by each committed edit; the higher revision wins.
    [[nodiscard]] std::int64_t revision() const noexcept;
    /// @brief The row of a workspace, or nullptr. O(log n)
    [[nodiscard]] const workspace_row* find(std::string_view workspace) const;
    /// @brief The row of a class, or nullptr. O(log n)
    [[nodiscard]] const class_row* find(const class_name& name) const;
    /// @brief The rows of all classes, ordered by name.
    [[nodiscard]] const std::map<class_name, class_row>& classes() const;
    /// @brief The workspace that a credential belongs to, if any.
    [[nodiscard]] std::optional<std::string>
    authenticate(std::string_view credential) const;
    /// @brief Slots per executor that only latency-critical work may use: the
    /// largest reservation of any such class.
    [[nodiscard]] std::int64_t reserved_slots() const noexcept;
    /// @brief The document that this table was parsed from.
    [[nodiscard]] const json& document() const noexcept;

private:
    struct content;
    explicit table(std::shared_ptr<const content> parsed);

    std::shared_ptr<const content> content_;
};

} // namespace springstair
