// The platform adapters, the settings of the job system, job records and
// messages, and the rate limit of the log.

#include <doctest/doctest.h>

#include "platform.hpp"

#include <springstair/daemon.hpp>

#include <absl/synchronization/notification.h>

#include <set>

using namespace springstair; // NOLINT: a test
namespace adapter = springstair::platform;

namespace
{

const char* const configuration = R"({"version": 7,
  "routes": [
    {"name": "r1", "host": "a.example", "path_prefix": "/one/",
     "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0,
     "service": "s", "max_attempts": 2, "stretch": 1.5},
    {"name": "r2", "host": "a.example", "path_prefix": "/one/more/",
     "service": "s", "max_attempts": 4,
     "advice": {"decide_ms": 20, "each_ms": 1, "valid_ms": 3000}}],
  "services": [{"name": "s", "enforces_capacity": true}],
  "limits": {"max_body_bytes": 1000}})";

http_request request(const std::string& method, const std::string& path,
                     const std::string& body = {})
{
    return {.method = method,
            .path = path,
            .headers = {{"host", "a.example:80"}},
            .body = make_body(body)};
}

const std::string id = "5c0e7a21d94b36f8";

http_result answered(int status, const std::string& body)
{
    return {.how = delivery::answered,
            .response = {.status = status, .body = make_body(body)}};
}

// A store that gives a fixed answer and records the request.
class one_answer_store
{
public:
    explicit one_answer_store(http_response answer)
        : answer_(std::move(answer)),
          server_({},
                  [this](const http_request& got, http_responder to)
                  {
                      asked = got;
                      to.respond(answer_);
                  })
    {
    }

    template <class Call>
    adapter::store_result result_of(Call call)
    {
        http_client client;
        adapter::store_client store(client, "127.0.0.1:" +
                                                std::to_string(server_.port()));
        adapter::store_result out;
        absl::Notification ended;
        call(store,
             [&](adapter::store_result result)
             {
                 out = std::move(result);
                 ended.Notify();
             });
        ended.WaitForNotification();
        return out;
    }

    http_request asked;

private:
    http_response answer_;
    http_server server_;
};

constexpr duration call_timeout = std::chrono::seconds(2);

} // namespace

TEST_CASE("the operator's configuration is decoded into a queue table")
{
    const queue_table table = adapter::decode_configuration(configuration);
    CHECK(table.version == 7);
    REQUIRE(table.queues.size() == 2);
    CHECK(table.queues[0].most_attempts == 2);
    CHECK(table.queues[0].stretch == 1.5);
    CHECK(table.queues[0].target_ms == 250);
    CHECK_FALSE(table.queues[0].advice.has_value());
    CHECK(table.queues[1].advice->valid_ms == 3000);
    CHECK(table.pools.at(0).enforces_capacity);
    CHECK(table.bounds.body_bytes == 1000);
    CHECK(table.route("a.example", "/one/x")->name == "r1");
    CHECK(table.route("a.example", "/one/more/x")->name == "r2");
    CHECK(table.route("b.example", "/one/x") == nullptr);
    CHECK_THROWS_AS(adapter::decode_configuration("{}"), document_error);
    CHECK_THROWS_AS(adapter::decode_configuration("no"), document_error);
}

TEST_CASE("every field of a submission is decoded")
{
    const queue_table table = adapter::decode_configuration(configuration);
    const auto what = adapter::decode_request(
        request("POST", "/one/" + id, R"({"spec": "text",
          "start_at_ms": 5, "interval_ms": 6, "repeat_count": 7,
          "steps": [
            {"count": 4, "cpu": 500, "mem_mb": 256, "gpu": 1,
             "est_duration_ms": 900, "affinity": "r1-3",
             "requirements": "big", "anti_affinity": 2, "speculative": true},
            {"count": 2, "depends_on": [0], "gang": true, "same_rack": true,
             "checkpointing": true, "image": "i", "fills": true},
            {"count": 1, "long_running": true, "target_ms": 18,
             "may_miss": 3}]})"),
        table);
    const auto* const submission = std::get_if<adapter::submit_request>(&what);
    REQUIRE(submission != nullptr);
    const job& got = submission->definition;
    CHECK(got.id == id);
    CHECK(got.queue == "r1");
    CHECK(got.payload == "text");
    CHECK(got.schedule ==
          job_schedule{.first_due_ms = 5, .interval_ms = 6, .count = 7});
    REQUIRE(got.steps.size() == 3);
    CHECK(got.steps[0] == job_step{.count = 4,
                                   .demand = {.cpu_millis = 500,
                                              .memory_mb = 256,
                                              .accelerators = 1},
                                   .estimate_ms = 900,
                                   .label = "big",
                                   .data_rack = "r1-3",
                                   .most_per_worker = 2,
                                   .copies_allowed = true});
    CHECK(got.steps[1] == job_step{.count = 2,
                                   .after = {0},
                                   .gang = true,
                                   .same_rack = true,
                                   .image = "i",
                                   .fills = true,
                                   .checkpoints = true});
    CHECK(got.steps[2] == job_step{.count = 1,
                                   .lasting = true,
                                   .latency_target_ms = 18,
                                   .most_missing = 3});
}

TEST_CASE("refused requests and their status codes")
{
    const queue_table table = adapter::decode_configuration(configuration);
    struct row
    {
        const char* method;
        std::string path;
        const char* body;
        int status;
    };
    for (const row& one :
         {row{"GET", "/none/" + id, "", 404}, row{"POST", "/one/", "{}", 405},
          row{"GET", "/one/short", "", 404}, row{"PUT", "/one/" + id, "", 405},
          row{"POST", "/one/" + id, "no", 400},
          row{"POST", "/one/" + id, R"({"steps": []})", 400},
          row{"POST", "/one/" + id,
              R"({"steps": [{"count": 1, "depends_on": [0]}]})", 400}})
    {
        CAPTURE(one.method);
        CAPTURE(one.path);
        const auto what = adapter::decode_request(
            request(one.method, one.path, one.body), table);
        const auto* const refused =
            std::get_if<adapter::refused_request>(&what);
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.status == one.status);
    }
    const auto unknown = adapter::decode_request(request("GET", "/one/"), {});
    CHECK(std::get<adapter::refused_request>(unknown).answer.status == 503);
    const job_reference asked{.id = id, .queue = "r1"};
    CHECK(std::get<adapter::show_request>(
              adapter::decode_request(request("GET", "/one/" + id), table))
              .job == asked);
    CHECK(std::get<adapter::cancel_request>(
              adapter::decode_request(request("DELETE", "/one/" + id), table))
              .job == asked);
    CHECK(std::get<adapter::count_request>(
              adapter::decode_request(request("GET", "/one/"), table))
              .queue == "r1");
}

// Guards against work and memory for each element of a document that is
// refused for its first one, or for their number.
TEST_CASE("the first finding of a submission is told, with its place")
{
    const queue_table table = adapter::decode_configuration(configuration);
    const auto answer_to = [&](const std::string& steps)
    {
        const auto what = adapter::decode_request(
            request("POST", "/one/" + id, R"({"steps": [)" + steps + "]}"),
            table);
        return *std::get<adapter::refused_request>(what).answer.body;
    };
    CHECK(answer_to("{}, 0, 0").find("/steps/1") != std::string::npos);
    std::string many = "0";
    for (std::size_t steps = 0; steps < job_bounds().steps; ++steps)
    {
        many += ",0";
    }
    CHECK(answer_to(many).find("/steps: must be 1 to 256") !=
          std::string::npos);
}

TEST_CASE("a step that is named several times is one dependency")
{
    const queue_table table = adapter::decode_configuration(configuration);
    const auto what = adapter::decode_request(
        request("POST", "/one/" + id,
                R"({"steps": [{}, {}, {"depends_on": [1, 0, 1]}]})"),
        table);
    CHECK(std::get<adapter::submit_request>(what).definition.steps[2].after ==
          std::vector<std::size_t>{0, 1});
}

TEST_CASE("answers to callers: states, statuses and Retry-After")
{
    CHECK(*adapter::state_answer(job_state::succeeded).body ==
          R"({"state":"succeeded"})");
    CHECK(*adapter::count_answer(12).body == R"({"waiting":12})");
    CHECK(adapter::no_such_job_answer().status == 410);
    const http_response later =
        adapter::refused_answer(std::chrono::milliseconds(1200), "why");
    CHECK(later.status == 503);
    CHECK(later.headers.at("Retry-After") == "2");
    CHECK(adapter::unknown_answer("why").status == 504);
    http_request bounded = request("GET", "/one/" + id);
    bounded.headers["deadline-ms"] = "1500";
    CHECK(adapter::timeout_of(bounded) == std::chrono::milliseconds(1500));
    bounded.headers["deadline-ms"] = "x";
    CHECK(adapter::timeout_of(bounded) == std::chrono::seconds(3));
    // Guards against a deadline in the past, as its microseconds wrap round.
    bounded.headers["deadline-ms"] = "9223372036854775807";
    CHECK(adapter::timeout_of(bounded) == std::chrono::hours(1));
}

TEST_CASE("an executor's heartbeat and leave request are decoded")
{
    const auto beat = adapter::decode_heartbeat(
        request("POST", "/springstair/executors/i-7/heartbeat",
                R"({"service": "s", "address": "10.0.0.1:1", "zone": "z",
            "state": "draining", "remaining_ms": 900, "clock_ms": 5, "seq": 4,
            "capacity": {"cpu": 16000, "mem_mb": 100, "gpu": 2},
            "labels": ["a", "r1-3"]})"));
    REQUIRE(beat.has_value());
    CHECK(beat->address == "10.0.0.1:1");
    CHECK(beat->clock_ms == 5);
    CHECK(beat->sequence == 4);
    CHECK(beat->worker == worker_description{.executor = "i-7",
                                             .service = "s",
                                             .data_centre = "z",
                                             .rack = "r1-3",
                                             .labels = {"a", "r1-3"},
                                             .capacity = {.cpu_millis = 16000,
                                                          .memory_mb = 100,
                                                          .accelerators = 2},
                                             .draining = true,
                                             .leaves_ms = 900});
    CHECK(adapter::decode_leave(
              request("POST", "/springstair/executors/i-7/leave")) == "i-7");
    CHECK_FALSE(
        adapter::decode_heartbeat(request("GET", "/other")).has_value());
    CHECK_THROWS_AS(adapter::decode_heartbeat(request(
                        "POST", "/springstair/executors/i-7/heartbeat", "no")),
                    document_error);
}

TEST_CASE("the start time, if given, distinguishes incarnations of an executor")
{
    const auto beat = [](const std::string& born)
    {
        return request("POST", "/springstair/executors/i-7/heartbeat",
                       R"({"service": "s", "address": "10.0.0.1:1",
                           "zone": "z", "version": "v1", "slots": 8,
                           "state": "ready", "cold_remaining_ms": 0,
                           "capacity": {"cpu": 1, "mem_mb": 1},
                           "labels": ["a"], "clock_ms": 5, "seq": 1)" +
                           born + "}");
    };
    const auto told =
        adapter::decode_heartbeat(beat(R"(, "born": 1776000000001)"));
    CHECK(told->worker.executor ==
          executor_incarnation("i-7", 1'776'000'000'001));
    CHECK(adapter::decode_heartbeat(beat(""))->worker.executor ==
          executor_incarnation("i-7"));
    for (const char* const wrong : {R"("1776000000001")", "1.5", "-1", "null"})
    {
        CAPTURE(wrong);
        std::string place;
        try
        {
            adapter::decode_heartbeat(
                beat(std::string(R"(, "born": )") + wrong));
        }
        catch (const document_error& error)
        {
            place = error.what();
        }
        CHECK(place.find("born") != std::string::npos);
        CHECK_FALSE(
            adapter::decode_poll(
                answered(200, std::string(R"({"clock_ms": 9, "born": )") +
                                  wrong + "}"))
                .has_value());
    }
    CHECK(adapter::decode_poll(
              answered(200, R"({"clock_ms": 9, "born": 1776000000001})"))
              ->born_ms == 1'776'000'000'001);
    CHECK(adapter::decode_leave(request("POST",
                                        "/springstair/executors/i-7/leave",
                                        R"({"born": 1776000000001})")) ==
          executor_incarnation("i-7", 1'776'000'000'001));
}

TEST_CASE(
    "a poll that acknowledges ends reaches only the incarnation polled before")
{
    const time_point sent{std::chrono::hours(1)};
    CHECK(adapter::encode(
              poll_executor{.acknowledged = 3, .connected_before = sent}, "a:1")
              .connected_before == sent);
    CHECK_FALSE(adapter::encode(poll_executor{}, "a:1").connected_before);
}

TEST_CASE("orders contain the incarnation, the fencing token and the deadline")
{
    const http_call start =
        adapter::encode(start_run{.order = {.task = "j.0.0.0",
                                            .run = 2,
                                            .payload = "p",
                                            .checkpoint = "c"},
                                  .deadline_ms = 900,
                                  .fence = 7,
                                  .executor = "i-7"},
                        "10.0.0.1:1");
    CHECK(start.url == "http://10.0.0.1:1/springstair/run-start");
    CHECK(start.headers.at("Target-Executor") == "i-7");
    CHECK(json::parse(*start.body) == json{{"task", "j.0.0.0"},
                                           {"run", 2},
                                           {"spec", "p"},
                                           {"deadline_ms", 900},
                                           {"fencing_token", 7},
                                           {"checkpoint", "c"}});
    const http_call poll =
        adapter::encode(poll_executor{.acknowledged = 3, .fence = 7}, "a:1");
    CHECK(json::parse(*poll.body) ==
          json{{"fencing_token", 7}, {"last_seen", 3}});
}

TEST_CASE("rows of an executor's lists must be lists")
{
    for (const char* const rows : {"[7]", "[{}]", R"([[]])", "[[7]]", "7"})
    {
        for (const char* const member : {"running", "ended"})
        {
            CAPTURE(rows);
            const std::string body = R"({"clock_ms": 9, ")" +
                                     std::string(member) + R"(": )" + rows +
                                     "}";
            CHECK_FALSE(adapter::decode_poll(answered(200, body)).has_value());
        }
    }
}

TEST_CASE("members of an executor's answer that are not known are ignored")
{
    const auto snapshot = adapter::decode_poll(
        answered(200, R"({"other": [["running", 1], {"running": [[1]]}],
            "running": [["j.0.0.0", 2, "c", 50]], "clock_ms": 9,
            "more": {"ended": [[1, "j.0.0.0", 2, "done", ""]]}})"));
    REQUIRE(snapshot);
    CHECK(snapshot->running ==
          std::vector<running_task>{
              {.task = "j.0.0.0", .run = 2, .checkpoint = "c", .percent = 50}});
    CHECK(snapshot->ended.empty());
}

TEST_CASE("results of orders by the executor's answer")
{
    struct row
    {
        http_result from;
        order_result result;
    };
    for (const row& one :
         {row{answered(200, "{}"), order_result::accepted},
          row{answered(409, R"({"reason": "fence"})"), order_result::fenced},
          row{answered(409, R"({"reason": "old"})"), order_result::stale},
          row{answered(409, R"({"reason": "late"})"), order_result::late},
          row{answered(409, R"({"reason": "room"})"), order_result::no_room},
          row{answered(409, R"({"reason": "ticket"})"),
              order_result::no_ticket},
          row{answered(400, ""), order_result::rejected},
          row{answered(421, ""), order_result::other_life},
          row{answered(429, ""), order_result::unhealthy},
          row{answered(503, ""), order_result::unhealthy},
          row{answered(500, ""), order_result::unanswered},
          row{{.how = delivery::not_sent}, order_result::unhealthy},
          row{{.how = delivery::unknown}, order_result::unanswered}})
    {
        CAPTURE(to_string(one.result));
        CHECK(adapter::decode_result(one.from) == one.result);
    }
}

TEST_CASE("the answer to a poll: valid and malformed")
{
    const auto snapshot = adapter::decode_poll(answered(200, R"({"clock_ms": 9,
          "running": [["j.0.0.0", 2, "c", 41], ["j.0.0.1", 1, "", 5, 230]],
          "ended": [[58, "j.0.0.2", 1, "done", ""]]})"));
    REQUIRE(snapshot.has_value());
    CHECK(snapshot->clock_ms == 9);
    CHECK(snapshot->running.at(0).load == 0);
    CHECK(snapshot->running.at(1).load == 230);
    CHECK(snapshot->ended.at(0) ==
          ended_task{
              .number = 58, .task = "j.0.0.2", .run = 1, .how = run_end::done});
    CHECK_FALSE(adapter::decode_poll(answered(200, "{}")).has_value());
    CHECK_FALSE(adapter::decode_poll(answered(421, "")).has_value());
}

TEST_CASE("an advice query and its answer")
{
    const advice_query asked{.step = "a.0.1",
                             .executors = {{"x-1", 1'776'000'000'000}, "x-2"}};
    const http_call call = adapter::encode(asked, "10.0.0.9:1");
    CHECK(call.url == "http://10.0.0.9:1/springstair/advise");
    CHECK(json::parse(*call.body) ==
          json{{"step", "a.0.1"}, {"workers", {"x-1", "x-2"}}});
    const auto answer = adapter::decode_advice(
        asked, answered(200, R"({"good": [["x-1", "pass"], ["x-9", "other"]],
                                 "valid_ms": 3000})"));
    REQUIRE(answer.has_value());
    CHECK(answer->tickets == ticket_map{{{"x-1", 1'776'000'000'000}, "pass"}});
    CHECK(answer->valid_ms == 3000);
    CHECK_FALSE(adapter::decode_advice(asked, answered(429, "{}")).has_value());
    CHECK_FALSE(adapter::decode_advice(asked, answered(200, "{}")).has_value());
    CHECK_FALSE(adapter::decode_advice(asked, {}).has_value());
}

TEST_CASE("the store: values are base64, conditions are revisions")
{
    one_answer_store store(
        json_response(200, {{"revision", 412}, {"more", false}}));
    const auto result = store.result_of(
        [](adapter::store_client& client, adapter::store_completion done)
        {
            client.transact(
                {.compares = {{.key = "k",
                               .target = kv_compare::number::mod_revision,
                               .equals = 3}},
                 .puts = {{.key = "k", .value = "ab", .lease = 5}}},
                call_timeout, std::move(done));
        });
    CHECK(result.status == adapter::store_status::done);
    CHECK(result.revision == 412);
    CHECK(json::parse(*store.asked.body) ==
          json{{"expected_rev", {{{"tls_key", "k"}, {"revision", 3}}}},
               {"put", {{{"tls_key", "k"}, {"value", "YWI="}, {"lease", 5}}}},
               {"remove", json::array()}});
}

TEST_CASE("the store: result by HTTP status")
{
    struct row
    {
        int status;
        adapter::store_status means;
    };
    for (const row& one : {row{400, adapter::store_status::rejected},
                           row{403, adapter::store_status::rejected},
                           row{404, adapter::store_status::absent},
                           row{410, adapter::store_status::compacted},
                           row{413, adapter::store_status::rejected},
                           row{429, adapter::store_status::refused},
                           row{503, adapter::store_status::refused},
                           row{500, adapter::store_status::unknown}})
    {
        CAPTURE(one.status);
        one_answer_store store({.status = one.status, .body = make_body("")});
        CHECK(
            store
                .result_of([](adapter::store_client& client,
                              adapter::store_completion done)
                           { client.read("k", call_timeout, std::move(done)); })
                .status == one.means);
    }
    one_answer_store malformed({.status = 200, .body = make_body("no")});
    CHECK(malformed
              .result_of([](adapter::store_client& client,
                            adapter::store_completion done)
                         { client.read("k", call_timeout, std::move(done)); })
              .status == adapter::store_status::unknown);
}

TEST_CASE("the store: items of reads, conflicts and watches")
{
    const json item{{"tls_key", "my/a"},
                    {"value", "bm9kZS0x"},
                    {"revision", 4},
                    {"lease", 9}};
    one_answer_store conflict(json_response(412, {{"items", {item}}}));
    const auto refused = conflict.result_of(
        [](adapter::store_client& client, adapter::store_completion done)
        { client.transact({}, call_timeout, std::move(done)); });
    CHECK(refused.status == adapter::store_status::conflict);
    CHECK(refused.items.at(0).value == "node-1");
    CHECK(refused.items.at(0).lease == 9);

    one_answer_store events(json_response(
        200, {{"events",
               {item, {{"tls_key", "my/b"}, {"revision", 5}, {"gone", true}}}},
              {"at", 5}}));
    const auto watched = events.result_of(
        [](adapter::store_client& client, adapter::store_completion done)
        {
            client.watch("my/ \xc3\xa4", 3, std::chrono::milliseconds(20),
                         std::move(done));
        });
    CHECK(watched.items.size() == 2);
    CHECK(watched.items.at(1).gone);
    CHECK(watched.revision == 5);
    CHECK(events.asked.argument("path_prefix") == "my/ \xc3\xa4");
    CHECK(events.asked.argument("depends_on") == "3");
}

TEST_CASE("settings of the job system: all findings with their places")
{
    json good{{"role", "job_guard"},          {"name", "n"},
              {"data_centre", "d"},           {"address", "10.0.0.1"},
              {"internal_port", 7720},        {"store", "10.0.0.2:1"},
              {"entries", {"10.0.0.3:8166"}}, {"grace_s", 2.5},
              {"processors", 0.25},           {"executors", "10.0.0.1:8166"},
              {"executor", "10.0.0.1:8165"},  {"memory_mb", 160},
              {"descriptors", 4100}};
    CHECK(is_job_settings(good));
    const job_settings read = parse_job_settings(good);
    CHECK(read.entries.at(0) == "10.0.0.3:7720");
    CHECK(read.grace == std::chrono::milliseconds(2500));
    CHECK(read.processors == 0.25);
    CHECK(read.memory_mb == 160);
    CHECK(read.descriptors == 4100);
    CHECK(parse_job_settings(to_document(read)) == read);

    json bad = good;
    bad["store"] = "here";
    bad["internal_port"] = 0;
    bad["processors"] = 0;
    bad["memory_mb"] = -1;
    bad["descriptors"] = "many";
    bad["extra"] = 1;
    bad.erase("executor");
    try
    {
        parse_job_settings(bad);
        FAIL("invalid settings were accepted");
    }
    catch (const document_error& error)
    {
        std::set<std::string> places;
        for (const finding& one : error.all())
        {
            places.insert(one.place);
        }
        CHECK(places == std::set<std::string>{
                            "/store", "/internal_port", "/extra", "/executor",
                            "/processors", "/memory_mb", "/descriptors"});
    }
}

// A feature that a misspelt or misplaced section turns on or off by accident
// changes decisions without the operator's knowledge.
TEST_CASE("settings of the job system: optional features")
{
    const json plain{
        {"role", "job_entry"},        {"name", "n"},
        {"data_centre", "d"},         {"address", "10.0.0.1"},
        {"internal_port", 7720},      {"store", "10.0.0.2:1"},
        {"callers", "10.0.0.1:8161"}, {"readiness", "10.0.0.1:8167"}};
    const job_settings without = parse_job_settings(plain);
    CHECK_FALSE(without.urgent_room);
    CHECK_FALSE(without.outage_backoff);
    CHECK_FALSE(without.overload_order);
    CHECK_FALSE(without.disruption_budget);
    CHECK(parse_job_settings(to_document(without)) == without);

    json all = plain;
    all["urgent_room"] = {{"yield_after_ms", 300}};
    all["outage_backoff"] = json::object();
    all["overload_order"] = json::object();
    all["disruption_budget"] = json::object();
    const job_settings with = parse_job_settings(all);
    CHECK(with.urgent_room ==
          urgent_room_options{.yield_after = std::chrono::milliseconds(300)});
    CHECK(with.outage_backoff.has_value());
    CHECK(with.overload_order.has_value());
    CHECK(with.disruption_budget.has_value());
    CHECK(parse_job_settings(to_document(with)) == with);

    json bad = all;
    bad["urgent_room"] = {{"lasting_patience_ms", 0}, {"extra", 1}};
    bad["outage_backoff"] = true;
    bad["overload_order"] = {{"extra", 1}};
    std::set<std::string> places;
    try
    {
        parse_job_settings(bad);
    }
    catch (const document_error& error)
    {
        for (const finding& one : error.all())
        {
            places.insert(one.place);
        }
    }
    CHECK(places == std::set<std::string>{"/urgent_room/lasting_patience_ms",
                                          "/urgent_room/extra",
                                          "/outage_backoff",
                                          "/overload_order/extra"});
}

TEST_CASE("a job's limits, critical path and task names")
{
    job what{.id = "j",
             .queue = "q",
             .steps = {{.count = 2, .estimate_ms = 100},
                       {.count = 1, .estimate_ms = 50, .after = {0}},
                       {.count = 1, .estimate_ms = 120}}};
    CHECK(check_job(what).empty());
    CHECK(what.critical_path_ms() == 150);
    CHECK(json(what).get<job>() == what);
    what.payload = std::string(5000, 'p');
    what.steps[0].count = 100'000;
    CHECK(check_job(what).size() == 2);
    const task_name name{"j", {.round = 1, .step = 2, .index = 17}};
    CHECK(name.text() == "j.1.2.17");
    CHECK(task_name::parse("j.1.2.17") == name);
    for (const char* wrong : {"j", "j.1", "j.1.2", "j.1.2.x", "j.1.2.3.4"})
    {
        CHECK_FALSE(task_name::parse(wrong).has_value());
    }
}

TEST_CASE("a job's progress survives encoding and decoding")
{
    const job_progress kept{
        .state = job_state::running,
        .tasks = {{.position = {.step = 1, .index = 2},
                   .runs = 3,
                   .failures = 1,
                   .guard = "g",
                   .executor = "l",
                   .checkpoint = "c"},
                  {.position = {.round = 1}, .done = true, .runs = 1},
                  {.position = {.index = 3},
                   .runs = 4,
                   .failures = 2,
                   .failed_run = 4}}};
    CHECK(decode_progress(encode(kept)) == kept);
    CHECK_THROWS_AS(decode_progress("{}"), document_error);
}

// During an upgrade, each version reads records written by the other.
TEST_CASE("start times in records are compatible across versions")
{
    const auto incarnation_of = [](const std::string& row)
    {
        return decode_progress(R"({"state": 1, "tasks": [)" + row + "]}")
            .tasks.at(0)
            .executor;
    };
    CHECK(incarnation_of(R"([0,0,0,0,1,0,"g","i-7",""])") ==
          executor_incarnation("i-7"));
    CHECK(incarnation_of(R"([0,0,0,0,1,0,"g","i-7","",2,1,1])") ==
          executor_incarnation("i-7"));
    const job_progress kept{
        .state = job_state::running,
        .tasks = {{.runs = 1, .guard = "g", .executor = {"i-7", 5}}}};
    CHECK(decode_progress(encode(kept)) == kept);
    // Fields that older versions read keep their positions.
    const json row = json::parse(encode(kept)).at("tasks").at(0);
    CHECK(row.at(7) == "i-7");
    CHECK(row.at(9) == 0);
}

TEST_CASE("start times in messages are compatible with older versions")
{
    const executor_incarnation executor("i-7", 5);
    const json order = guard_orders{.epoch = 1, .executor = executor};
    CHECK(order.at("life") == "i-7");
    CHECK(order.get<guard_orders>().executor == executor);
    const json what = worker_description{.executor = executor, .service = "s"};
    CHECK(what.at("life") == "i-7");
    CHECK(what.get<worker_description>() ==
          worker_description{.executor = executor, .service = "s"});
    const json over = past_incarnation{.executor = executor};
    CHECK(over.get<past_incarnation>().executor == executor);
    CHECK(json{{"life", "i-7"}}.get<guard_orders>().executor ==
          executor_incarnation("i-7"));
    CHECK(executor.may_be(executor_incarnation("i-7")));
    CHECK_FALSE(executor.may_be({"i-7", 6}));
    CHECK_FALSE(executor.may_be(executor_incarnation("i-8")));
}

TEST_CASE("reports and answers survive encoding and decoding")
{
    const worker_report report{
        .guard = "g",
        .address = "a:1",
        .epoch = 7,
        .incarnation = "i",
        .sequence = 3,
        .worker = {.executor = "l", .service = "s"},
        .looked = true,
        .answering = true,
        .lease_ms = 12,
        .running = {{.task = "t", .run = 1, .percent = 4, .load = 5}},
        .ended = {{.number = 1, .task = "u", .run = 2, .how = run_end::alone}},
        .refused = {{.task = "v", .run = 1, .reason = "no_room"}},
        .paces = {{"image", 40}},
        .starting = {"w"},
        .unknown = {"x"}};
    CHECK(json(report).get<worker_report>() == report);
    const report_answer answer{
        .holds = true,
        .holder = "h:1",
        .permit_ms = 4000,
        .orders = {.epoch = 7,
                   .executor = "l",
                   .starts = {{.task = "t", .run = 1, .fills = true}},
                   .stops = {{.task = "u", .run = 2}},
                   .acknowledged = 9},
        .harms = {{.serving = "s", .filling = "f", .harm = 4}}};
    CHECK(json(answer).get<report_answer>() == answer);
}

TEST_CASE("the log rate is limited and dropped lines are counted")
{
    log_rate_limiter budget({.lines_a_second = 10, .burst = 3});
    time_point now{std::chrono::hours(1)};
    int written = 0;
    for (int count = 0; count < 5; ++count)
    {
        written += budget.admit(now, true) ? 1 : 0;
    }
    CHECK(written == 3);
    CHECK(budget.dropped() == 2);
    now += std::chrono::milliseconds(100);
    CHECK(budget.admit(now, true));
    now += std::chrono::seconds(1);
    CHECK_FALSE(budget.admit(now, false)); // the log is not writable
    CHECK(budget.admit(now, true));
    CHECK(budget.dropped() == 3);
}

TEST_CASE("an operator's key closes a data centre, whatever its value")
{
    CHECK(platform::closed_data_centre("op/evacuate/pos-a") == "pos-a");
    CHECK(platform::closed_data_centre("op/evacuate/") == std::nullopt);
    CHECK(platform::closed_data_centre("op/config") == std::nullopt);
    CHECK(platform::closed_data_centre("jobs/op/evacuate/x") == std::nullopt);
}
