#include <springstair/platform.hpp>

#include <array>
#include <utility>

namespace springstair
{

static_assert(task_worker<worker_client>);

namespace
{

constexpr int http_ok = 200;
constexpr duration call_timeout = std::chrono::seconds(2);
constexpr std::array<std::string_view, 6> state_names{
    "running", "finished", "failed", "lapsed", "stopped", "checkpointed"};

json to_names(const std::vector<task_attempt>& names)
{
    json list = json::array();
    for (const auto& [task, attempt] : names)
    {
        list.push_back({{"task", task}, {"attempt", attempt}});
    }
    return list;
}

listed_task parse_task(const json& item)
{
    listed_task task;
    task.name = {item.at("task").get<std::string>(),
                 item.at("attempt").get<std::int64_t>()};
    const auto name = item.at("state").get<std::string>();
    const auto state = from_string<listed_task::state>(name);
    if (!state)
    {
        throw document_error("a task of a worker is " + name);
    }
    task.how = *state;
    item.at("needs").get_to(task.needs);
    task.detail = item.value("detail", std::string());
    return task;
}

// Fetches and parses a document; passes nothing to `done` on failure.
template <class Value>
void fetch(http_client& client, const std::string& location,
           Value (*parse)(const json&),
           std::function<void(std::optional<Value>)> done)
{
    client.send({.method = "GET",
                 .url = "http://" + location,
                 .headers = {},
                 .body = {},
                 .timeout = call_timeout},
                [parse, done = std::move(done)](const http_result& result)
                {
                    std::optional<Value> value;
                    try
                    {
                        if (result.how == delivery::answered &&
                            result.response.status == http_ok)
                        {
                            value = parse(parse_body(result.response.body));
                        }
                    }
                    catch (const std::exception&)
                    {
                        value.reset(); // malformed document
                    }
                    done(std::move(value));
                });
}

} // namespace

std::string_view to_string(listed_task::state value) noexcept
{
    const auto index = static_cast<std::size_t>(value);
    return index < state_names.size() ? state_names[index] : std::string_view{};
}

worker_list parse_worker_list(const json& document)
{
    worker_list list;
    document.at("requests").get_to(list.requests);
    for (const json& item : document.at("tasks"))
    {
        list.tasks.push_back(parse_task(item));
    }
    list.clock =
        std::chrono::milliseconds(document.at("clock_ms").get<std::int64_t>());
    return list;
}

worker_client::worker_client(http_client& client, std::string address,
                             duration lease)
    : client_(client), address_(std::move(address)), lease_(lease)
{
}

void worker_client::list(list_completion done)
{
    fetch(client_, address_ + "/v1/worker", parse_worker_list, std::move(done));
}

void worker_client::post(const std::string& path, const json& body)
{
    client_.send({.method = "POST",
                  .url = "http://" + address_ + path,
                  .headers = {{"content-type", "application/json"}},
                  .body = make_body(body.dump()),
                  .timeout = call_timeout,
                  .dedicated_connection = true},
                 [](const http_result&) {});
}

void worker_client::execute(const worker_action& action)
{
    if (const auto* start = std::get_if<worker_start>(&action))
    {
        post("/v1/worker/start",
             {{"task", start->request.spec.id},
              {"attempt", start->request.attempt},
              {"needs", start->request.spec.needs},
              {"class", start->request.spec.of.row()},
              {"payload", start->request.spec.payload},
              {"checkpoint", start->request.checkpoint},
              {"not_after_ms", to_milliseconds(start->not_after)},
              {"lease_ms", to_milliseconds(lease_)}});
        return;
    }
    if (const auto* stop = std::get_if<worker_stop>(&action))
    {
        post("/v1/worker/stop", {{"task", stop->name.first},
                                 {"attempt", stop->name.second},
                                 {"checkpoint", stop->keep_checkpoint}});
        return;
    }
    if (const auto* forget = std::get_if<worker_forget>(&action))
    {
        post("/v1/worker/forget", {{"attempts", to_names(forget->names)}});
        return;
    }
    const auto& renew = std::get<worker_renew>(action);
    post("/v1/worker/renew", {{"attempts", to_names(renew.names)},
                              {"lease_ms", to_milliseconds(lease_)}});
}

std::vector<listed_vm> parse_vms(const json& document)
{
    std::vector<listed_vm> vms;
    for (const json& item : document.at("vms"))
    {
        vms.push_back({.name = item.at("name"),
                       .address = item.at("address"),
                       .role = item.at("role"),
                       .leaving = item.at("state") == "leaving"});
    }
    return vms;
}

void fetch_vms(http_client& client, const std::string& address,
               vm_completion done)
{
    fetch(client, address + "/v1/vms", parse_vms, std::move(done));
}

} // namespace springstair
