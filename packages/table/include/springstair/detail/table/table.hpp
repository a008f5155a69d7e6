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

/// @brief A row for a workspace. Limits hold over the whole fleet.
struct workspace_row
{
    double weight = 1;              ///< share against other workspaces
    std::int64_t max_in_flight = 0; ///< requests at once; 0: no limit
    std::int64_t max_rate = 0;      ///< requests a second; 0: no limit
    std::int64_t cpu_millis = 0;    ///< tasks' processors; 0: no limit
    std::int64_t memory_mb = 0;     ///< tasks' memory; 0: no limit
    std::int64_t accelerators = -1; ///< tasks' accelerators; -1: no limit
    std::vector<std::string> credential_hashes; ///< SHA-256, hexadecimal

    bool operator==(const workspace_row&) const = default;
};

/// @brief A row for a class of work of a workspace.
struct class_row
{
    class_kind kind = class_kind::heavy;
    double weight = 1;               ///< share within the workspace
    std::int64_t max_in_flight = 0;  ///< at one executor; 0: no limit
    std::int64_t max_queue = 64;     ///< waiting at one executor
    std::int64_t reserved_slots = 0; ///< of each executor, kept from others
    std::int64_t target_ms = 0;      ///< latency wanted; 0: none
    bool repeatable = false;         ///< where the caller does not say

    bool operator==(const class_row&) const = default;
};

/// @brief One revision of the table; immutable and cheap to copy.
class table
{
public:
    /// @brief An empty table of revision 0.
    table();

    /// @brief Checks a document as a whole.
    /// @param document `{"revision": n, "rows": {...}}`
    /// @return the table @throw document_error 101 with every finding
    static table parse(const json& document);

    /// @brief Counts committed edits; a higher one replaces a lower one.
    [[nodiscard]] std::int64_t revision() const noexcept;
    /// @brief The row of a workspace, or null. O(log n)
    [[nodiscard]] const workspace_row* find(std::string_view workspace) const;
    /// @brief The row of a class, or null. O(log n)
    [[nodiscard]] const class_row* find(const class_name& name) const;
    /// @brief All classes in the order of their names.
    [[nodiscard]] const std::map<class_name, class_row>& classes() const;
    /// @brief The workspace that a credential belongs to, if any.
    [[nodiscard]] std::optional<std::string>
    authenticate(std::string_view credential) const;
    /// @brief Slots of each executor that only latency-critical work may
    /// fill: the largest reservation of any such class.
    [[nodiscard]] std::int64_t reserved_slots() const noexcept;
    /// @brief The document that this table was parsed from.
    [[nodiscard]] const json& document() const noexcept;

private:
    struct content;
    explicit table(std::shared_ptr<const content> parsed);

    std::shared_ptr<const content> content_;
};

} // namespace springstair
