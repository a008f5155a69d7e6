// Routing of calls, operator calls, and periodic work.

#include "entry_control.hpp"

#include <utility>

namespace springstair
{

namespace
{

constexpr int ok = 200;
constexpr int unavailable = 503;
constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view request_path = "/v1/request";
constexpr std::string_view tasks_path = "/v1/tasks";
constexpr duration vms_interval = std::chrono::seconds(2);
constexpr duration exchange_interval = std::chrono::milliseconds(250);
constexpr duration min_drain_time = std::chrono::milliseconds(500);
constexpr int missed_lists_until_gone = 3;
constexpr duration min_warm_up = std::chrono::seconds(1);
constexpr duration max_warm_up = std::chrono::seconds(5);

std::string nonce_prefix(const settings& own_settings,
                         const std::string& incarnation)
{
    return own_settings.common.name + "." + incarnation;
}

// Parses an operator's request to drain a guard. Throws document_error.
std::string guard_to_drain(const json& body)
{
    findings wrong;
    object_reader reader(body, "", wrong);
    std::string name = reader.text("guard");
    reader.reject_unknown();
    if (!wrong.empty())
    {
        throw document_error(std::move(wrong));
    }
    return name;
}

} // namespace

entry_control::entry_control(entry_process& process)
    : process_(process), started_(clock_.now()),
      incarnation_(random_hex(incarnation_bytes)),
      requests_({.name = {process.own_settings.common.name},
                 .incarnation = incarnation_,
                 .data_centre = process.own_settings.common.data_centre,
                 .router = *router_named(process.own_settings.entry.routing),
                 .seed = std::hash<std::string>{}(incarnation_)}),
      table_({.writer = nonce_prefix(process.own_settings, incarnation_)}),
      tasks_({.name = {process.own_settings.common.name},
              .incarnation = incarnation_,
              .shards = process.own_settings.entry.shards,
              .commit_interval = process.own_settings.entry.commit_interval,
              .liveness = requests_.guards().options(),
              .seed = std::hash<std::string>{}(incarnation_)})
{
    for (const std::string& address : process.own_settings.common.entries)
    {
        if (address != own_address())
        {
            peers_[address].in_settings = true;
        }
    }
    rpc_.add(wire::heartbeat_method,
             [this](const json& message) { return on_heartbeat(message); });
    rpc_.add(wire::exchange_method,
             [this](const json& message) { return on_exchange(message); });
}

void entry_control::run()
{
    while (!process_.parts.stopping())
    {
        for (entry_event& event : process_.events.drain(tick_length))
        {
            std::visit([this](auto& one) { on(one); }, event);
        }
        tick();
    }
}

std::string entry_control::own_address() const
{
    const common_settings& common = process_.own_settings.common;
    return common.address + ":" + std::to_string(common.port);
}

// An entry serves once it has a table, which it needs to authenticate
// callers, and once the guards have had time to send heartbeats. It does not
// wait for guards longer than max_warm_up.
bool entry_control::serving() const
{
    const duration uptime = clock_.now() - started_;
    const bool guards_known =
        !requests_.guards().all().empty() && uptime >= min_warm_up;
    return requests_.rows().revision() > 0 && !drain_since_ &&
           (guards_known || uptime >= max_warm_up);
}

// ---------------------------------------------------------------------------
// Routing of calls
// ---------------------------------------------------------------------------

bool entry_control::is_operator(const http_request& request) const
{
    std::string credential = request.header(wire::operator_key);
    const std::string authorization = request.header("authorization");
    if (credential.empty() && authorization.starts_with(bearer))
    {
        credential = authorization.substr(bearer.size());
    }
    const std::string hash = sha256_hex(credential);
    bool known = false;
    for (const std::string& one :
         process_.own_settings.entry.operator_credential_hashes)
    {
        known = equal_in_constant_time(one, hash) || known;
    }
    return known;
}

std::optional<std::string>
entry_control::workspace_of(const http_request& request) const
{
    if (request.headers.contains(wire::fleet_key) &&
        has_fleet_key(request, process_.own_settings.common.fleet_key))
    {
        return request.header(wire::workspace); // forwarded by an entry
    }
    return requests_.rows().authenticate(request.header(wire::credential));
}

void entry_control::on(http_arrival& arrival)
{
    const std::string& path = arrival.request.path;
    if (path == wire::rpc_path)
    {
        if (!has_fleet_key(arrival.request,
                           process_.own_settings.common.fleet_key))
        {
            log_event(event_id::stranger_refused, {{"path", path}});
            answer_not_found(*arrival.responder);
            return;
        }
        answer_rpc(arrival, rpc_);
    }
    else if (path == "/healthz")
    {
        arrival.responder->respond(json_response(serving() ? ok : unavailable,
                                                 {{"serving", serving()}}));
    }
    else if (path.starts_with(request_path) || path.starts_with(tasks_path))
    {
        on_caller(arrival);
    }
    else if (is_operator(arrival.request))
    {
        on_operator(arrival);
    }
    else
    {
        answer_not_found(*arrival.responder);
    }
}

void entry_control::on_caller(http_arrival& arrival)
{
    if (requests_.rows().revision() == 0)
    {
        arrival.responder->respond(
            to_response({.reason = refusal::starting,
                         .retry_after = std::chrono::seconds(1)}));
        return;
    }
    const auto workspace = workspace_of(arrival.request);
    if (!workspace)
    {
        arrival.responder->respond(
            to_response({.reason = refusal::unauthenticated}));
        return;
    }
    if (arrival.request.path.starts_with(request_path))
    {
        on_request(arrival, *workspace);
        return;
    }
    on_task_call(arrival, *workspace);
}

void entry_control::on_operator(http_arrival& arrival)
{
    const http_request& request = arrival.request;
    if (request.path == "/v1/table" && request.method == "GET")
    {
        arrival.responder->respond(
            json_response(ok, requests_.rows().document()));
    }
    else if (request.path == "/v1/table" && request.method == "PATCH")
    {
        on_edit(arrival);
    }
    else if (request.path == "/v1/table/history")
    {
        const store_call call{
            .token = next_number_++,
            .operation = kv_range{.key = store_keys::history, .prefix = true}};
        history_calls_[call.token] = arrival.responder;
        act(call, store_user::history);
    }
    else if (request.path == "/v1/status")
    {
        arrival.responder->respond(json_response(ok, status(clock_.now())));
    }
    else if (request.path == "/v1/drain" && request.method == "POST")
    {
        on_drain_guard(arrival);
    }
    else if (request.path == "/v1/operator/tasks")
    {
        on_list(arrival, request.argument("workspace"));
    }
    else if (request.path == "/metrics")
    {
        answer_metrics(*arrival.responder, process_.numbers);
    }
    else
    {
        answer_not_found(*arrival.responder);
    }
}

// ---------------------------------------------------------------------------
// Operators
// ---------------------------------------------------------------------------

json entry_control::status(time_point now) const
{
    json guards = json::array();
    const std::set<guard_name> ejected = requests_.ejected();
    for (const auto& [name, view] : requests_.guards().all())
    {
        const guard_report& report = view.report;
        const bool usable = view.usable(now, requests_.guards().options());
        const bool leaving = report.leaving || view.listed_leaving;
        const char* const state = leaving                  ? "leaving"
                                  : !usable                ? "silent"
                                  : ejected.contains(name) ? "ejected"
                                                           : "live";
        guards.push_back(
            {{"guard", name.value},
             {"data_centre", report.data_centre},
             {"address", report.address},
             {"state", state},
             {"table_revision", report.table_revision},
             {"slots", report.load.slots},
             {"running",
              report.load.running_critical + report.load.running_other},
             {"queued", report.load.queued_critical + report.load.queued_other},
             {"tasks_ready", report.tasks_ready},
             {"tasks", report.attempts.size()}});
    }
    json entries = json::array();
    entries.push_back({{"entry", process_.own_settings.common.name},
                       {"address", own_address()},
                       {"state", drain_since_ ? "leaving" : "live"},
                       {"table_revision", requests_.rows().revision()},
                       {"shards", tasks_.owned_shards()}});
    const std::set<std::string> alive = requests_.entries().alive(now);
    for (const auto& [name, peer_summary] : requests_.entries().summaries())
    {
        const char* const state = peer_summary.leaving   ? "leaving"
                                  : alive.contains(name) ? "live"
                                                         : "silent";
        entries.push_back({{"entry", name},
                           {"address", peer_summary.address},
                           {"state", state},
                           {"table_revision", peer_summary.table_revision},
                           {"shards", peer_summary.shards}});
    }
    json unreadable = json::array();
    for (const unreadable_shard& one : tasks_.unreadable_shards())
    {
        unreadable.push_back({{"shard", one.shard},
                              {"key", one.record.key},
                              {"why", one.record.why}});
    }
    return {{"entry", process_.own_settings.common.name},
            {"store_available", table_.store_available()},
            {"table_revision", requests_.rows().revision()},
            {"open_requests", requests_.open()},
            {"journal",
             {{"commits", tasks_.cost().commits},
              {"transitions", tasks_.cost().transitions},
              {"bytes", tasks_.cost().bytes}}},
            {"unreadable_shards", unreadable},
            {"entries", entries},
            {"guards", guards}};
}

void entry_control::on_drain_guard(http_arrival& arrival)
{
    std::string name;
    try
    {
        name = guard_to_drain(parse_body(arrival.request.body));
    }
    catch (const document_error& error)
    {
        arrival.responder->respond(to_response(
            {.reason = refusal::bad_request, .detail = error.what()}));
        return;
    }
    const guard_view* const view = requests_.guards().find({name});
    if (view == nullptr)
    {
        answer_not_found(*arrival.responder);
        return;
    }
    process_.client.send(
        make_rpc_call(view->report.address,
                      process_.own_settings.common.fleet_key,
                      wire::drain_method, json::object()),
        [responder = arrival.responder](const http_result& result)
        {
            const bool draining = rpc_result_of(result).has_value();
            responder->respond(json_response(draining ? ok : unavailable,
                                             {{"draining", draining}}));
        });
}

// ---------------------------------------------------------------------------
// Periodic work
// ---------------------------------------------------------------------------

void entry_control::poll_platform(time_point now)
{
    if (process_.own_settings.common.platform.empty() || vms_in_flight_ ||
        now < next_vms_poll_)
    {
        return;
    }
    vms_in_flight_ = true;
    next_vms_poll_ = now + vms_interval;
    fetch_vms(process_.client, process_.own_settings.common.platform,
              [&process = process_](auto vms)
              { process.events.post(vms_listed{std::move(vms)}); });
}

void entry_control::on(vms_listed& listed)
{
    vms_in_flight_ = false;
    if (!listed.vms)
    {
        return;
    }
    std::set<std::string> leaving;
    std::set<std::string> present;
    std::vector<std::string> entries;
    for (const listed_vm& vm : *listed.vms)
    {
        present.insert(vm.name);
        if (vm.leaving)
        {
            leaving.insert(vm.address);
        }
        else if (vm.role == "entry")
        {
            entries.push_back(vm.address);
        }
    }
    learn_addresses(entries);
    requests_.on_leaving_list(leaving);
    std::set<std::string> gone;
    for (const std::string& name : listed_vms_)
    {
        int& missed = missed_lists_[name];
        missed = present.contains(name) ? 0 : missed + 1;
        if (missed >= missed_lists_until_gone)
        {
            gone.insert(name);
        }
    }
    listed_vms_.insert(present.begin(), present.end());
    tasks_.on_gone(clock_.now(), gone, requests_.guards().all());
}

void entry_control::drain_if_requested(time_point now)
{
    if (process_.drain && !drain_since_)
    {
        drain_since_ = now;
        process_.closing = true;
        log_event(event_id::process_draining);
        task_actions actions;
        tasks_.on_drain(now, actions);
        carry_out(actions);
        exchange_with_all();
    }
    if (!drain_since_)
    {
        return;
    }
    const duration grace =
        std::max(process_.own_settings.entry.drain_grace, min_drain_time);
    const bool no_open_calls = open_.empty() && edits_.empty() &&
                               committed_.empty() && task_calls_.empty() &&
                               task_lists_.empty() && history_calls_.empty();
    const bool may_drop_shards = tasks_.owned_shards().empty() ||
                                 !table_.store_available() ||
                                 now - *drain_since_ > 2 * grace;
    if (no_open_calls && may_drop_shards && now - *drain_since_ >= grace)
    {
        process_.parts.stop();
    }
}

void entry_control::tick()
{
    const time_point now = clock_.now();
    carry_out(requests_.on_tick(now));
    carry_out(table_.on_tick(now));
    std::set<std::string> entries = requests_.entries().alive(now);
    for (const auto& [name, peer_summary] : requests_.entries().summaries())
    {
        if (peer_summary.leaving)
        {
            entries.erase(name);
        }
    }
    entries.insert(process_.own_settings.common.name);
    task_actions actions;
    tasks_.keep_peer_usage(
        requests_.entries().heard_within(now, tasks_.ownership_timeout()));
    tasks_.on_tick(now, requests_.guards().all(), entries, actions);
    carry_out(actions);
    if (now >= next_exchange_)
    {
        next_exchange_ = now + exchange_interval;
        exchange_with_all();
    }
    poll_platform(now);
    finish_edits(now);
    drain_if_requested(now);
}

} // namespace springstair
