#include <doctest/doctest.h>

#include <springstair/table.hpp>

using namespace springstair; // NOLINT: a test

namespace
{

json document_with(const json& rows)
{
    return {{"revision", 1}, {"rows", rows}};
}

struct bad_table
{
    const char* name;
    json rows;
    const char* place;
};

} // namespace

TEST_CASE("an invalid table is rejected with the place of the finding")
{
    const std::vector<bad_table> cases{
        {"no kind",
         {{"a", json::object()}, {"a/b", json::object()}},
         "/rows/a~1b/kind"},
        {"class without workspace",
         {{"a/b", {{"kind", "heavy"}}}},
         "/rows/a~1b"},
        {"negative weight", {{"a", {{"weight", -1}}}}, "/rows/a/weight"},
        {"zero weight", {{"a", {{"weight", 0}}}}, "/rows/a/weight"},
        {"unknown column", {{"a", {{"wieght", 1}}}}, "/rows/a/wieght"},
        {"bad name", {{"A b", json::object()}}, "/rows/A b"},
        {"limit that is a string",
         {{"a", {{"max_rate", "9"}}}},
         "/rows/a/max_rate"},
        {"reserved slots of heavy work",
         {{"a", json::object()},
          {"a/b", {{"kind", "heavy"}, {"reserved_slots", 1}}}},
         "/rows/a~1b/reserved_slots"},
        {"bad hash",
         {{"a", {{"credential_hashes", {"abc"}}}}},
         "/rows/a/credential_hashes"},
        {"row that is not an object", {{"a", 3}}, "/rows/a"},
    };
    for (const bad_table& one : cases)
    {
        CAPTURE(one.name);
        try
        {
            table::parse(document_with(one.rows));
            FAIL("the invalid table was accepted");
        }
        catch (const document_error& error)
        {
            REQUIRE(!error.all().empty());
            CHECK(error.all().front().place == one.place);
        }
    }
}

TEST_CASE("all findings are reported together")
{
    try
    {
        table::parse(document_with(
            {{"a", {{"weight", 0}, {"max_rate", -1}}}, {"b", {{"c", 1}}}}));
        FAIL("the invalid table was accepted");
    }
    catch (const document_error& error)
    {
        CHECK(error.all().size() == 3);
    }
}

TEST_CASE("edits of different cells merge; edits of one cell conflict")
{
    const json before = document_with({{"a", {{"weight", 1}}}});
    const cell_edit first{
        .row = "a", .column = "weight", .expects = json(1), .value = 2};
    const cell_edit second{
        .row = "a", .column = "max_rate", .expects = json(), .value = 9};
    const edit_result one = apply_edits(before, {first});
    const edit_result two = apply_edits(one.document, {second});
    REQUIRE(two.conflicts.empty());
    CHECK(two.document["rows"]["a"] == json{{"weight", 2}, {"max_rate", 9}});
    CHECK(two.document["revision"] == 3);
    const edit_result late = apply_edits(two.document, {first});
    REQUIRE(late.conflicts.size() == 1);
    CHECK(late.conflicts.front().present == 2);
}

TEST_CASE("a credential belongs to one workspace")
{
    const std::string hash = sha256_hex("secret");
    const json rows{{"a", {{"credential_hashes", {hash}}}},
                    {"b", json::object()}};
    const table parsed = table::parse(document_with(rows));
    CHECK(parsed.authenticate("secret") == "a");
    CHECK(!parsed.authenticate("other"));
    json shared = rows;
    shared["b"]["credential_hashes"] = {hash};
    CHECK_THROWS_AS(table::parse(document_with(shared)), document_error);
}
