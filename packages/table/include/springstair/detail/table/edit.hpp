#pragma once

#include <springstair/core.hpp>

#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief A change to one cell, or to a whole row if @a column is empty.
struct cell_edit
{
    std::string row;
    std::string column;          ///< empty: the row itself
    std::optional<json> expects; ///< what the operator saw, if it saw it
    json value;                  ///< null removes the cell or the row

    bool operator==(const cell_edit&) const = default;
};

/// @brief A cell that somebody else changed since the operator looked.
struct edit_conflict
{
    std::string row;
    std::string column;
    json expected;
    json present;
};

/// @brief What came of applying edits to a document.
struct edit_result
{
    json document; ///< with the next revision; meaningless on conflict
    std::vector<edit_conflict> conflicts;
};

/// @brief Applies edits to the present document of the table.
///
/// Cells that the edits do not name keep their present value, so edits of
/// different cells merge; a named cell whose present value is not the one
/// expected is a conflict. The result is not checked: see table::parse().
edit_result apply_edits(const json& document,
                        const std::vector<cell_edit>& edits);

/// @brief Reads edits from an operator's JSON.
/// @throw document_error 101 with every finding
std::vector<cell_edit> parse_edits(const json& list);

/// @brief Writes an edit as JSON, the inverse of parse_edits().
json to_document(const cell_edit& edit);

/// @brief The most recent writers of a document, newest last.
///
/// A write whose answer was lost is known to have taken effect if its
/// nonce is among them.
std::vector<std::string> writers_of(const json& document);

/// @brief Marks a document with the nonce of the write that stores it.
void sign_document(json& document, const std::string& nonce);

} // namespace springstair
