#include <springstair/table.hpp>

namespace springstair
{

namespace
{

constexpr std::size_t max_write_nonces = 64;

json member_or_null(const json& object, const std::string& key)
{
    const auto found = object.find(key);
    return found == object.end() ? json() : *found;
}

json current_value(const json& rows, const cell_edit& edit)
{
    json row = member_or_null(rows, edit.row);
    if (edit.column.empty() || row.is_null())
    {
        return row;
    }
    return member_or_null(row, edit.column);
}

void set_or_erase(json& object, const std::string& key, const json& value)
{
    if (value.is_null())
    {
        object.erase(key);
        return;
    }
    object[key] = value;
}

void apply_edit(json& rows, const cell_edit& edit)
{
    if (edit.column.empty())
    {
        set_or_erase(rows, edit.row, edit.value);
        return;
    }
    json& row = rows[edit.row];
    if (row.is_null())
    {
        row = json::object();
    }
    set_or_erase(row, edit.column, edit.value);
}

} // namespace

edit_result apply_edits(const json& document,
                        const std::vector<cell_edit>& edits)
{
    edit_result result{.document = document, .conflicts = {}};
    json& rows = result.document["rows"];
    if (rows.is_null())
    {
        rows = json::object();
    }
    for (const cell_edit& edit : edits)
    {
        const json present = current_value(rows, edit);
        if (edit.expects && *edit.expects != present)
        {
            result.conflicts.push_back({.row = edit.row,
                                        .column = edit.column,
                                        .expected = *edit.expects,
                                        .present = present});
            continue;
        }
        apply_edit(rows, edit);
    }
    result.document["revision"] =
        document.value("revision", std::int64_t{0}) + 1;
    return result;
}

std::vector<cell_edit> parse_edits(const json& list)
{
    findings problems;
    std::vector<cell_edit> edits;
    if (!list.is_array())
    {
        throw document_error(
            findings{{.place = "", .message = "must be an array of edits"}});
    }
    for (std::size_t index = 0; index < list.size(); ++index)
    {
        object_reader reader(list[index], "/" + std::to_string(index),
                             problems);
        cell_edit edit{.row = reader.text("row"),
                       .column = reader.text("column", std::string()),
                       .expects = {},
                       .value = {}};
        if (const json* expects = reader.member("expects"))
        {
            edit.expects = *expects;
        }
        if (const json* value = reader.member("value"))
        {
            edit.value = *value;
        }
        reader.reject_unknown();
        edits.push_back(std::move(edit));
    }
    if (!problems.empty())
    {
        throw document_error(std::move(problems));
    }
    return edits;
}

json to_document(const cell_edit& edit)
{
    json document{{"row", edit.row}, {"value", edit.value}};
    if (!edit.column.empty())
    {
        document["column"] = edit.column;
    }
    if (edit.expects)
    {
        document["expects"] = *edit.expects;
    }
    return document;
}

std::vector<std::string> write_nonces_of(const json& document)
{
    return document.value("writers", std::vector<std::string>{});
}

void add_write_nonce(json& document, const std::string& nonce)
{
    std::vector<std::string> writers = write_nonces_of(document);
    writers.push_back(nonce);
    if (writers.size() > max_write_nonces)
    {
        writers.erase(writers.begin());
    }
    document["writers"] = writers;
}

} // namespace springstair
