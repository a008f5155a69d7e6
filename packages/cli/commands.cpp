#include "commands.hpp"
#include "explain.hpp"
#include "session.hpp"

#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

namespace springstair::cli
{

namespace
{

constexpr duration in_force_within = std::chrono::seconds(6);
constexpr duration look_again = std::chrono::milliseconds(100);

struct usage_error
{
    std::string message;
};

// ---------------------------------------------------------------------------
// Printing
// ---------------------------------------------------------------------------

std::string cell_text(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

// Prints objects as a table with the given members as columns.
void print_rows(const json& rows, const std::vector<std::string>& columns)
{
    std::map<std::string, std::size_t> widths;
    for (const std::string& column : columns)
    {
        widths[column] = column.size();
        for (const json& row : rows)
        {
            const json value = row.value(column, json("-"));
            widths[column] = std::max(widths[column], cell_text(value).size());
        }
    }
    const auto print_cell =
        [&](const std::string& column, const std::string& text)
    {
        std::cout << std::left
                  << std::setw(static_cast<int>(widths[column]) + 2) << text;
    };
    for (const std::string& column : columns)
    {
        print_cell(column, column);
    }
    std::cout << "\n";
    for (const json& row : rows)
    {
        for (const std::string& column : columns)
        {
            print_cell(column, cell_text(row.value(column, json("-"))));
        }
        std::cout << "\n";
    }
}

int show(session& with, const answer& got,
         const std::function<void(const json&)>& print)
{
    if (code_of(got) != exit_ok)
    {
        return complain(got);
    }
    if (with.call().as_json)
    {
        std::cout << got.body.dump(4) << "\n";
        return exit_ok;
    }
    print(got.body);
    return exit_ok;
}

// ---------------------------------------------------------------------------
// The table
// ---------------------------------------------------------------------------

void print_table(const json& document)
{
    std::cout << "revision " << document.at("revision") << "\n";
    for (const auto& [name, cells] : document.at("rows").items())
    {
        std::cout << name << "\n";
        for (const auto& [column, value] : cells.items())
        {
            std::cout << "    " << std::left << std::setw(20) << column
                      << cell_text(value) << "\n";
        }
    }
}

json read_value(const std::string& text)
{
    json value = json::parse(text, nullptr, false);
    return value.is_discarded() ? json(text) : value;
}

// How many responsive processes have the revision, and how many there are.
std::pair<int, int> count_in_force(const json& status, std::int64_t revision)
{
    int have = 0;
    int all = 0;
    for (const char* const kind : {"entries", "guards"})
    {
        for (const json& one : status.at(kind))
        {
            if (one.at("state") == "silent")
            {
                continue;
            }
            ++all;
            have += one.at("table_revision") >= revision ? 1 : 0;
        }
    }
    return {have, all};
}

int await_in_force(session& with, std::int64_t revision)
{
    const time_point until = boot_clock::now() + in_force_within;
    std::pair<int, int> count{0, 0};
    while (boot_clock::now() < until)
    {
        const answer status = with.ask("GET", "/v1/status");
        if (code_of(status) == exit_ok)
        {
            count = count_in_force(status.body, revision);
            if (count.first == count.second)
            {
                break;
            }
        }
        std::this_thread::sleep_for(look_again);
    }
    if (!with.call().as_json)
    {
        std::cout << "in force at " << count.first << " of " << count.second
                  << " processes\n";
    }
    return exit_ok;
}

int send_edits(session& with, const json& edits)
{
    const answer got = with.ask("PATCH", "/v1/table", edits);
    if (code_of(got) != exit_ok)
    {
        return complain(got);
    }
    const std::int64_t revision = got.body.at("revision");
    if (with.call().as_json)
    {
        std::cout << got.body.dump() << "\n";
    }
    else
    {
        std::cout << "saved as revision " << revision << std::endl;
    }
    return with.call().wait ? await_in_force(with, revision) : exit_ok;
}

json edit_of(session& with, const std::string& row, const std::string& column,
             const json& value)
{
    json edit{{"row", row}, {"value", value}};
    if (!column.empty())
    {
        edit["column"] = column;
    }
    if (with.call().expects)
    {
        edit["expects"] = read_value(*with.call().expects);
    }
    return json::array({edit});
}

int import_table(session& with, const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    const json document = json::parse(text.str(), nullptr, false);
    if (!file || !document.is_object() || !document.contains("rows"))
    {
        throw usage_error{path + " is not an exported table"};
    }
    const answer present = with.ask("GET", "/v1/table");
    if (code_of(present) != exit_ok)
    {
        return complain(present);
    }
    json edits = json::array();
    const json& before = present.body.at("rows");
    const json& after = document.at("rows");
    for (const auto& [row, cells] : before.items())
    {
        if (!after.contains(row))
        {
            edits.push_back(
                {{"row", row}, {"expects", cells}, {"value", nullptr}});
        }
    }
    for (const auto& [row, cells] : after.items())
    {
        const json old = before.value(row, json());
        if (old != cells)
        {
            edits.push_back({{"row", row}, {"expects", old}, {"value", cells}});
        }
    }
    if (edits.empty())
    {
        std::cout << "nothing to change\n";
        return exit_ok;
    }
    return send_edits(with, edits);
}

int export_table(session& with, const std::string& path)
{
    const answer got = with.ask("GET", "/v1/table");
    if (code_of(got) != exit_ok)
    {
        return complain(got);
    }
    std::ofstream file(path);
    file << json{{"rows", got.body.at("rows")}}.dump(4) << "\n";
    if (!file.flush())
    {
        throw usage_error{path + " cannot be written"};
    }
    return exit_ok;
}

void need(const std::vector<std::string>& words, std::size_t count)
{
    if (words.size() != count)
    {
        throw usage_error{"wrong number of words; see --help"};
    }
}

int table_command(session& with)
{
    const std::vector<std::string>& words = with.call().words;
    const std::string verb = words.size() > 1 ? words[1] : "";
    if (verb == "show")
    {
        return show(with, with.ask("GET", "/v1/table"), print_table);
    }
    if (verb == "get")
    {
        need(words, 4);
        return show(with, with.ask("GET", "/v1/table"),
                    [&](const json& document)
                    {
                        const json row =
                            document.at("rows").value(words[2], json::object());
                        std::cout << cell_text(row.value(words[3], json()))
                                  << "\n";
                    });
    }
    if (verb == "set")
    {
        need(words, 5);
        return send_edits(
            with, edit_of(with, words[2], words[3], read_value(words[4])));
    }
    if (verb == "add-row")
    {
        need(words, 4);
        json edits = edit_of(with, words[2], "", read_value(words[3]));
        edits[0]["expects"] = nullptr; // an existing row is a conflict
        return send_edits(with, edits);
    }
    if (verb == "remove-row")
    {
        need(words, 3);
        return send_edits(with, edit_of(with, words[2], "", nullptr));
    }
    if (verb == "import")
    {
        need(words, 3);
        return import_table(with, words[2]);
    }
    if (verb == "export")
    {
        need(words, 3);
        return export_table(with, words[2]);
    }
    if (verb == "history")
    {
        return show(with, with.ask("GET", "/v1/table/history"),
                    [](const json& body)
                    {
                        for (const json& one : body.at("history"))
                        {
                            std::cout << one.at("revision") << "  "
                                      << one.at("edits").dump() << "\n";
                        }
                    });
    }
    throw usage_error{"unknown: table " + verb};
}

// ---------------------------------------------------------------------------
// Status, drain, tasks
// ---------------------------------------------------------------------------

void print_status(const json& body)
{
    std::cout << "asked " << body.at("entry").get<std::string>()
              << "; table revision " << body.at("table_revision") << "; store "
              << (body.at("store_available").get<bool>() ? "answers"
                                                         : "does not answer")
              << "\n\n";
    print_rows(body.at("entries"),
               {"entry", "address", "state", "table_revision", "shards"});
    std::cout << "\n";
    print_rows(body.at("guards"),
               {"guard", "data_centre", "state", "table_revision", "slots",
                "running", "queued", "tasks"});
}

int task_command(session& with)
{
    const std::vector<std::string>& words = with.call().words;
    const std::string verb = words.size() > 1 ? words[1] : "";
    const auto print = [](const json& task)
    {
        print_rows(json::array({task}),
                   {"id", "class", "state", "attempt", "worker", "detail"});
    };
    if (verb == "submit")
    {
        need(words, 3);
        return show(with, with.ask("POST", "/v1/tasks", read_value(words[2])),
                    print);
    }
    if (verb == "show")
    {
        need(words, 3);
        return show(with, with.ask("GET", "/v1/tasks/" + words[2]), print);
    }
    if (verb == "cancel")
    {
        need(words, 3);
        return show(with, with.ask("DELETE", "/v1/tasks/" + words[2]), print);
    }
    if (verb == "list")
    {
        const std::string& whose = with.call().workspace;
        const std::string path = whose.empty()
                                     ? "/v1/tasks"
                                     : "/v1/operator/tasks?workspace=" + whose;
        return show(with, with.ask("GET", path),
                    [](const json& body)
                    {
                        print_rows(body.at("tasks"),
                                   {"id", "class", "state", "attempt",
                                    "evictions", "worker"});
                        if (!body.at("complete").get<bool>())
                        {
                            std::cerr << "an entry did not answer: the list "
                                         "is not whole\n";
                        }
                    });
    }
    throw usage_error{"unknown: task " + verb};
}

// ---------------------------------------------------------------------------
// Jobs
// ---------------------------------------------------------------------------

// Reads log files only, so it works while all processes are down.
std::optional<std::vector<log_line>>
read_logs(const std::vector<std::string>& words, std::size_t first)
{
    std::vector<log_line> lines;
    for (std::size_t index = first; index < words.size(); ++index)
    {
        std::ifstream file(words[index]);
        if (!file)
        {
            std::cerr << words[index] << ": cannot be read\n";
            return std::nullopt;
        }
        const auto of_file = read_log(file);
        lines.insert(lines.end(), of_file.begin(), of_file.end());
    }
    return lines;
}

void print_lines(const std::vector<log_line>& lines, bool as_json)
{
    for (const log_line& line : lines)
    {
        std::cout << (as_json ? line.event.dump() : text_of(line)) << "\n";
    }
}

int explain_job(const std::vector<std::string>& words, bool as_json)
{
    auto lines = read_logs(words, 3);
    if (!lines)
    {
        return exit_failed;
    }
    const auto story = timeline_of(words[2], std::move(*lines));
    if (story.empty())
    {
        std::cerr << "no line of these logs tells of job " << words[2] << "\n";
        return exit_failed;
    }
    print_lines(story, as_json);
    return exit_ok;
}

int show_closures(const std::vector<std::string>& words, bool as_json)
{
    const auto lines = read_logs(words, 2);
    if (!lines)
    {
        return exit_failed;
    }
    print_lines(closures_in(*lines), as_json);
    return exit_ok;
}

int job_command(const std::vector<std::string>& words, bool as_json)
{
    const std::string verb = words.size() < 2 ? "" : words[1];
    if (verb == "explain" && words.size() >= 4)
    {
        return explain_job(words, as_json);
    }
    if (verb == "closures" && words.size() >= 3)
    {
        return show_closures(words, as_json);
    }
    throw usage_error{"job explain ID LOG... or job closures LOG...; see "
                      "--help"};
}

int dispatch(session& with)
{
    const std::vector<std::string>& words = with.call().words;
    const std::string noun = words.empty() ? "" : words[0];
    if (noun == "job")
    {
        return job_command(words, with.call().as_json);
    }
    if (with.call().entries.empty())
    {
        throw usage_error{"--entries or SPRINGSTAIR_ENTRIES is required"};
    }
    if (noun == "table")
    {
        return table_command(with);
    }
    if (noun == "task")
    {
        return task_command(with);
    }
    if (noun == "status")
    {
        return show(with, with.ask("GET", "/v1/status"), print_status);
    }
    if (noun == "drain")
    {
        need(words, 2);
        return show(with,
                    with.ask("POST", "/v1/drain", json{{"guard", words[1]}}),
                    [&](const json&) { std::cout << words[1] << " drains\n"; });
    }
    throw usage_error{"unknown: " + noun};
}

} // namespace

const char* usage()
{
    return "table show|history|get ROW COLUMN|set ROW COLUMN VALUE|"
           "add-row ROW JSON|remove-row ROW|import FILE|export FILE, "
           "status, drain GUARD, task submit JSON|show ID|cancel ID|list, "
           "job explain ID LOG..., job closures LOG...";
}

std::vector<std::string> split(const std::string& text, char at)
{
    std::vector<std::string> parts;
    std::stringstream in(text);
    std::string part;
    while (std::getline(in, part, at))
    {
        if (!part.empty())
        {
            parts.push_back(part);
        }
    }
    return parts;
}

int run_command(const invocation& call)
{
    try
    {
        session with(call);
        return dispatch(with);
    }
    catch (const usage_error& error)
    {
        std::cerr << error.message << "\n";
        return exit_usage;
    }
    catch (const json::exception& error)
    {
        std::cerr << "an answer has not the shape expected: " << error.what()
                  << "\n";
        return exit_failed;
    }
}

} // namespace springstair::cli
