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

constexpr duration in_force_timeout = std::chrono::seconds(6);
constexpr duration status_poll_interval = std::chrono::milliseconds(100);

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

int show(session& api, const answer& response,
         const std::function<void(const json&)>& print)
{
    if (exit_code_of(response) != exit_ok)
    {
        return report_error(response);
    }
    if (api.call().as_json)
    {
        std::cout << response.body.dump(4) << "\n";
        return exit_ok;
    }
    print(response.body);
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
    json value = try_parse_json(text);
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

int await_in_force(session& api, std::int64_t revision)
{
    const time_point until = boot_clock::now() + in_force_timeout;
    std::pair<int, int> count{0, 0};
    while (boot_clock::now() < until)
    {
        const answer status = api.ask("GET", "/v1/status");
        if (exit_code_of(status) == exit_ok)
        {
            count = count_in_force(status.body, revision);
            if (count.first == count.second)
            {
                break;
            }
        }
        std::this_thread::sleep_for(status_poll_interval);
    }
    if (!api.call().as_json)
    {
        std::cout << "in force at " << count.first << " of " << count.second
                  << " processes\n";
    }
    return exit_ok;
}

int send_edits(session& api, const json& edits)
{
    const answer response = api.ask("PATCH", "/v1/table", edits);
    if (exit_code_of(response) != exit_ok)
    {
        return report_error(response);
    }
    const std::int64_t revision = response.body.at("revision");
    if (api.call().as_json)
    {
        std::cout << response.body.dump() << "\n";
    }
    else
    {
        std::cout << "saved as revision " << revision << std::endl;
    }
    return api.call().wait ? await_in_force(api, revision) : exit_ok;
}

json edit_of(session& api, const std::string& row, const std::string& column,
             const json& value)
{
    json edit{{"row", row}, {"value", value}};
    if (!column.empty())
    {
        edit["column"] = column;
    }
    if (api.call().expects)
    {
        edit["expects"] = read_value(*api.call().expects);
    }
    return json::array({edit});
}

int import_table(session& api, const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    const json document = try_parse_json(text.str());
    if (!file || !document.is_object() || !document.contains("rows"))
    {
        throw usage_error{path + " is not an exported table"};
    }
    const answer present = api.ask("GET", "/v1/table");
    if (exit_code_of(present) != exit_ok)
    {
        return report_error(present);
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
    return send_edits(api, edits);
}

int export_table(session& api, const std::string& path)
{
    const answer response = api.ask("GET", "/v1/table");
    if (exit_code_of(response) != exit_ok)
    {
        return report_error(response);
    }
    std::ofstream file(path);
    file << json{{"rows", response.body.at("rows")}}.dump(4) << "\n";
    if (!file.flush())
    {
        throw usage_error{path + " cannot be written"};
    }
    return exit_ok;
}

void require_arguments(const std::vector<std::string>& arguments,
                       std::size_t count)
{
    if (arguments.size() != count)
    {
        throw usage_error{"wrong number of arguments; see --help"};
    }
}

int table_command(session& api)
{
    const std::vector<std::string>& arguments = api.call().arguments;
    const std::string verb = arguments.size() > 1 ? arguments[1] : "";
    if (verb == "show")
    {
        return show(api, api.ask("GET", "/v1/table"), print_table);
    }
    if (verb == "get")
    {
        require_arguments(arguments, 4);
        return show(api, api.ask("GET", "/v1/table"),
                    [&](const json& document)
                    {
                        const json row = document.at("rows").value(
                            arguments[2], json::object());
                        std::cout << cell_text(row.value(arguments[3], json()))
                                  << "\n";
                    });
    }
    if (verb == "set")
    {
        require_arguments(arguments, 5);
        return send_edits(api, edit_of(api, arguments[2], arguments[3],
                                       read_value(arguments[4])));
    }
    if (verb == "add-row")
    {
        require_arguments(arguments, 4);
        json edits = edit_of(api, arguments[2], "", read_value(arguments[3]));
        edits[0]["expects"] = nullptr; // an existing row is a conflict
        return send_edits(api, edits);
    }
    if (verb == "remove-row")
    {
        require_arguments(arguments, 3);
        return send_edits(api, edit_of(api, arguments[2], "", nullptr));
    }
    if (verb == "import")
    {
        require_arguments(arguments, 3);
        return import_table(api, arguments[2]);
    }
    if (verb == "export")
    {
        require_arguments(arguments, 3);
        return export_table(api, arguments[2]);
    }
    if (verb == "history")
    {
        return show(api, api.ask("GET", "/v1/table/history"),
                    [](const json& body)
                    {
                        for (const json& one : body.at("history"))
                        {
                            std::cout << one.at("revision") << "  "
                                      << one.at("edits").dump() << "\n";
                        }
                    });
    }
    throw usage_error{"unknown command: table " + verb};
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

int task_command(session& api)
{
    const std::vector<std::string>& arguments = api.call().arguments;
    const std::string verb = arguments.size() > 1 ? arguments[1] : "";
    const auto print = [](const json& task)
    {
        print_rows(json::array({task}),
                   {"id", "class", "state", "attempt", "worker", "detail"});
    };
    if (verb == "submit")
    {
        require_arguments(arguments, 3);
        return show(api, api.ask("POST", "/v1/tasks", read_value(arguments[2])),
                    print);
    }
    if (verb == "show")
    {
        require_arguments(arguments, 3);
        return show(api, api.ask("GET", "/v1/tasks/" + arguments[2]), print);
    }
    if (verb == "cancel")
    {
        require_arguments(arguments, 3);
        return show(api, api.ask("DELETE", "/v1/tasks/" + arguments[2]), print);
    }
    if (verb == "list")
    {
        const std::string& whose = api.call().workspace;
        const std::string path = whose.empty()
                                     ? "/v1/tasks"
                                     : "/v1/operator/tasks?workspace=" + whose;
        return show(api, api.ask("GET", path),
                    [](const json& body)
                    {
                        print_rows(body.at("tasks"),
                                   {"id", "class", "state", "attempt",
                                    "evictions", "worker"});
                        if (!body.at("complete").get<bool>())
                        {
                            std::cerr << "an entry did not answer: the list "
                                         "is incomplete\n";
                        }
                    });
    }
    throw usage_error{"unknown command: task " + verb};
}

// ---------------------------------------------------------------------------
// Jobs
// ---------------------------------------------------------------------------

// Reads log files only, so it works while all processes are down.
std::optional<std::vector<log_line>>
read_logs(const std::vector<std::string>& arguments, std::size_t first)
{
    std::vector<log_line> lines;
    for (std::size_t index = first; index < arguments.size(); ++index)
    {
        std::ifstream file(arguments[index]);
        if (!file)
        {
            std::cerr << arguments[index] << ": cannot be read\n";
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

int explain_job(const std::vector<std::string>& arguments, bool as_json)
{
    auto lines = read_logs(arguments, 3);
    if (!lines)
    {
        return exit_failed;
    }
    const auto timeline = timeline_of(arguments[2], std::move(*lines));
    if (timeline.empty())
    {
        std::cerr << "no log event refers to job " << arguments[2] << "\n";
        return exit_failed;
    }
    print_lines(timeline, as_json);
    return exit_ok;
}

int show_closures(const std::vector<std::string>& arguments, bool as_json)
{
    const auto lines = read_logs(arguments, 2);
    if (!lines)
    {
        return exit_failed;
    }
    print_lines(closures_in(*lines), as_json);
    return exit_ok;
}

int job_command(const std::vector<std::string>& arguments, bool as_json)
{
    const std::string verb = arguments.size() < 2 ? "" : arguments[1];
    if (verb == "explain" && arguments.size() >= 4)
    {
        return explain_job(arguments, as_json);
    }
    if (verb == "closures" && arguments.size() >= 3)
    {
        return show_closures(arguments, as_json);
    }
    throw usage_error{"job explain ID LOG... or job closures LOG...; see "
                      "--help"};
}

int dispatch(session& api)
{
    const std::vector<std::string>& arguments = api.call().arguments;
    const std::string noun = arguments.empty() ? "" : arguments[0];
    if (noun == "job")
    {
        return job_command(arguments, api.call().as_json);
    }
    if (api.call().entries.empty())
    {
        throw usage_error{"--entries or SPRINGSTAIR_ENTRIES is required"};
    }
    if (noun == "table")
    {
        return table_command(api);
    }
    if (noun == "task")
    {
        return task_command(api);
    }
    if (noun == "status")
    {
        return show(api, api.ask("GET", "/v1/status"), print_status);
    }
    if (noun == "drain")
    {
        require_arguments(arguments, 2);
        return show(
            api, api.ask("POST", "/v1/drain", json{{"guard", arguments[1]}}),
            [&](const json&) { std::cout << arguments[1] << " drains\n"; });
    }
    throw usage_error{"unknown command: " + noun};
}

} // namespace

const char* usage()
{
    return "table show|history|get ROW COLUMN|set ROW COLUMN VALUE|"
           "add-row ROW JSON|remove-row ROW|import FILE|export FILE, "
           "status, drain GUARD, task submit JSON|show ID|cancel ID|list, "
           "job explain ID LOG..., job closures LOG...";
}

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::stringstream in(text);
    std::string part;
    while (std::getline(in, part, separator))
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
        session api(call);
        return dispatch(api);
    }
    catch (const usage_error& error)
    {
        std::cerr << error.message << "\n";
        return exit_usage;
    }
    catch (const json::exception& error)
    {
        std::cerr << "unexpected format of an answer: " << error.what() << "\n";
        return exit_failed;
    }
}

} // namespace springstair::cli
