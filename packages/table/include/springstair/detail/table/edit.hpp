#pragma once

#include <springstair/core.hpp>

#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief A change of one cell, or of a whole row if @a column is empty.
struct cell_edit
{
    std::string row;
    std::string column;          ///< empty: the whole row
    std::optional<json> expects; ///< value the operator saw, if known
    json value;                  ///< null removes the cell or the row

    bool operator==(const cell_edit&) const = default;
};

/// @brief A cell whose value differs from the one the operator saw.
struct edit_conflict
{
    std::string row;
    std::string column;
    json expected;
    json present;
};

/// @brief Result of applying edits to a document.
struct edit_result
{
    json document; ///< with the next revision; unusable on conflict
    std::vector<edit_conflict> conflicts;
};

/// @brief Applies edits to the current document of the table.
///
/// Cells that the edits do not name keep their value, so edits of different
/// cells merge. A named cell whose current value is not the expected one is a
/// conflict. The resulting document is not validated: see table::parse().
edit_result apply_edits(const json& document,
                        const std::vector<cell_edit>& edits);

/// @brief Parses the edits in an operator's JSON.
/// @throw document_error 101 with every finding
std::vector<cell_edit> parse_edits(const json& list);

/// @brief Converts an edit to JSON, the inverse of parse_edits().
json to_document(const cell_edit& edit);

/// @brief The nonces of the most recent writes of a document, newest last.
///
/// A write whose answer was lost has taken effect if its nonce is among them.
std::vector<std::string> write_nonces_of(const json& document);

/// @brief Adds the nonce of the write that stores the document.
void add_write_nonce(json& document, const std::string& nonce);

} // namespace springstair
