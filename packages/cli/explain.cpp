#include "explain.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <regex>
#include <set>

namespace springstair::cli
{

namespace
{

std::string text_field(const json& event, const char* name)
{
    const auto found = event.find(name);
    const bool is_text = found != event.end() && found->is_string();
    return is_text ? found->get<std::string>() : std::string();
}

bool concerns_job(const json& event, const std::string& job)
{
    return text_field(event, "job") == job ||
           text_field(event, "task").starts_with(job + ".");
}

// Events that affect many jobs.
bool concerns_many_jobs(const json& event)
{
    static const std::set<std::string> names{"office_taken",
                                             "office_lost",
                                             "office_offered",
                                             "store_lost",
                                             "store_back",
                                             "commit_uncertain",
                                             "configuration_in_force",
                                             "closure_in_force",
                                             "starts_withheld"};
    return names.contains(text_field(event, "name"));
}

// Events about a guard, logged by itself or by the leader.
bool concerns_guard(const json& event, const std::set<std::string>& guards)
{
    static const std::set<std::string> names{
        "worker_known", "worker_lost",  "worker_ejected",
        "worker_paced", "holder_lost",  "process_started",
        "holder_found", "order_failed", "process_draining"};
    return names.contains(text_field(event, "name")) &&
           (guards.contains(text_field(event, "guard")) ||
            guards.contains(text_field(event, "process")));
}

std::optional<log_line> parse_line(const std::string& text)
{
    static const std::regex time_pattern(
        R"(\d{4}-\d\d-\d\d \d\d:\d\d:\d\d\.\d+)");
    const std::size_t brace = text.find('{');
    std::smatch time;
    if (brace == std::string::npos ||
        !std::regex_search(text.begin(),
                           text.begin() + static_cast<std::ptrdiff_t>(brace),
                           time, time_pattern))
    {
        return std::nullopt;
    }
    json event = try_parse_json(text.substr(brace));
    if (!event.is_object())
    {
        return std::nullopt;
    }
    return log_line{.time = time.str(), .event = std::move(event)};
}

} // namespace

std::vector<log_line> read_log(std::istream& log)
{
    std::vector<log_line> lines;
    std::string text;
    while (std::getline(log, text))
    {
        if (auto line = parse_line(text))
        {
            lines.push_back(std::move(*line));
        }
    }
    return lines;
}

std::vector<log_line> timeline_of(const std::string& job,
                                  std::vector<log_line> lines)
{
    std::stable_sort(lines.begin(), lines.end(),
                     [](const log_line& left, const log_line& right)
                     { return left.time < right.time; });
    std::string first;
    std::string last;
    std::set<std::string> guards;
    for (const log_line& line : lines)
    {
        if (!concerns_job(line.event, job))
        {
            continue;
        }
        first = first.empty() ? line.time : first;
        last = line.time;
        if (const std::string guard = text_field(line.event, "guard");
            !guard.empty())
        {
            guards.insert(guard);
        }
    }
    std::erase_if(lines,
                  [&](const log_line& line)
                  {
                      const bool is_in_period = !first.empty() &&
                                                line.time >= first &&
                                                line.time <= last;
                      const bool is_related =
                          concerns_many_jobs(line.event) ||
                          concerns_guard(line.event, guards);
                      return !concerns_job(line.event, job) &&
                             !(is_in_period && is_related);
                  });
    return lines;
}

std::vector<log_line> closures_in(const std::vector<log_line>& lines)
{
    std::map<std::string, log_line> newest; // by data centre
    for (const log_line& line : lines)
    {
        if (text_field(line.event, "name") != "closure_in_force")
        {
            continue;
        }
        log_line& known = newest[text_field(line.event, "data_centre")];
        if (known.time <= line.time)
        {
            known = line;
        }
    }
    std::vector<log_line> out;
    out.reserve(newest.size());
    for (const auto& [data_centre, line] : newest)
    {
        out.push_back(line);
    }
    return out;
}

std::string text_of(const log_line& line)
{
    static const std::set<std::string> shown{"event", "name", "process"};
    std::string out = line.time + "  " + text_field(line.event, "process") +
                      "  " + text_field(line.event, "name");
    for (const auto& [name, value] : line.event.items())
    {
        if (!shown.contains(name))
        {
            out +=
                "  " + name + "=" +
                (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return out;
}

} // namespace springstair::cli
