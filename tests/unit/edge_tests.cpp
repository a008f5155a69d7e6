// Tests of the external interfaces: HTTP, the store's gateway, settings,
// messages, secrets; and of the supervisor, metrics and event catalogue.

#include <doctest/doctest.h>

#include <springstair/daemon.hpp>
#include <springstair/entry.hpp>
#include <springstair/guard.hpp>

#include <absl/synchronization/notification.h>

#include <fstream>
#include <thread>

using namespace springstair; // NOLINT: a test

namespace
{

std::string url_of(const http_server& server, const std::string& path = "/")
{
    return "http://127.0.0.1:" + std::to_string(server.port()) + path;
}

} // namespace

TEST_CASE("body, query and headers pass HTTP unchanged")
{
    http_server server({},
                       [](const http_request& request, http_responder responder)
                       {
                           responder.respond(
                               {.status = 201,
                                .headers = {{"x-seen", request.header("x-own")},
                                            {"x-arg", request.argument("q")}},
                                .body = request.body});
                       });
    http_client client;
    const std::string body(300'000, 'b');
    const http_result result =
        client.send_and_wait({.url = url_of(server, "/p?q=7"),
                              .headers = {{"x-own", "v"}},
                              .body = make_body(body)});
    REQUIRE(result.how == delivery::answered);
    CHECK(result.response.status == 201);
    CHECK(*result.response.body == body);
    CHECK(result.response.headers.at("x-seen") == "v");
    CHECK(result.response.headers.at("x-arg") == "7");
}

TEST_CASE("a failed call is reported as not_sent or unknown")
{
    http_client client;
    std::string closed_url;
    {
        const http_server closed({},
                                 [](const http_request&, http_responder) {});
        closed_url = url_of(closed);
    }
    CHECK(client.send_and_wait({.url = closed_url}).how == delivery::not_sent);
    std::vector<std::shared_ptr<http_responder>> responders;
    absl::Mutex mutex;
    const http_server silent(
        {},
        [&](const http_request&, http_responder responder)
        {
            const absl::MutexLock lock(&mutex);
            responders.push_back(
                std::make_shared<http_responder>(std::move(responder)));
        });
    CHECK(client
              .send_and_wait({.url = url_of(silent),
                              .timeout = std::chrono::milliseconds(100)})
              .how == delivery::unknown);
    const absl::MutexLock lock(&mutex);
    responders.clear();
}

TEST_CASE("a server can be destroyed right after an answer")
{
    http_client client;
    for (int count = 0; count < 400; ++count)
    {
        const http_server server(
            {}, [](const http_request&, http_responder responder)
            { responder.respond({.status = 200}); });
        const http_result result =
            client.send_and_wait({.url = url_of(server)});
        CHECK(result.how == delivery::answered);
    }
}

TEST_CASE("a responder destroyed without an answer answers unknown")
{
    const http_server server({}, [](const http_request&, http_responder) {});
    http_client client;
    const http_result result = client.send_and_wait({.url = url_of(server)});
    REQUIRE(result.how == delivery::answered);
    const auto problem = problem_of(result.response);
    REQUIRE(problem);
    CHECK(problem->result == outcome::unknown);
}

TEST_CASE("bodies over the size limit are refused")
{
    const http_server server({.limits = {.body_bytes = 1000}},
                             [](const http_request&, http_responder responder)
                             { responder.respond({.status = 200}); });
    http_client client;
    const http_result result = client.send_and_wait(
        {.url = url_of(server), .body = make_body(std::string(5000, 'x'))});
    const bool refused =
        result.how != delivery::answered || result.response.status == 413;
    CHECK(refused);
}

TEST_CASE("problem reports pass HTTP unchanged and set retry-after")
{
    const problem_report problem{.result = outcome::not_run,
                                 .reason = refusal::queue_full,
                                 .retry_after = std::chrono::milliseconds(1200),
                                 .detail = "d"};
    const http_response response = to_response(problem);
    CHECK(response.headers.at("retry-after") == "2");
    CHECK(problem_of(response) == problem);
    CHECK(!problem_of({.status = 503, .body = make_body("{}")}));
    for (int index = 0;; ++index)
    {
        const auto reason = static_cast<refusal>(index);
        if (to_string(reason).empty())
        {
            break;
        }
        CHECK(from_string<refusal>(to_string(reason)) == reason);
    }
}

TEST_CASE("store gateway: encoding of calls, decoding of answers")
{
    struct encoding_case
    {
        kv_operation operation;
        const char* path;
        json body;
    };
    const std::vector<encoding_case> cases{
        {kv_range{.key = "a", .min_mod_revision = 5},
         "/v3/kv/range",
         {{"key", "YQ=="}, {"min_mod_revision", "5"}}},
        {kv_range{.key = "a/", .prefix = true},
         "/v3/kv/range",
         {{"key", "YS8="}, {"range_end", "YTA="}}},
        {kv_grant{.ttl_seconds = 9}, "/v3/lease/grant", {{"TTL", "9"}}},
        {kv_keep_alive{.lease = 7}, "/v3/lease/keepalive", {{"ID", "7"}}},
        {kv_transaction{
             .compares = {{.key = "a",
                           .target = kv_compare::number::create_revision,
                           .equals = 3}},
             .puts = {{.key = "a", .value = "v", .lease = 4}},
             .deletes = {{.key = "b"}}},
         "/v3/kv/txn",
         {{"compare",
           {{{"key", "YQ=="},
             {"result", "EQUAL"},
             {"target", "CREATE"},
             {"create_revision", "3"}}}},
          {"success",
           {{{"request_put",
              {{"key", "YQ=="}, {"value", "dg=="}, {"lease", "4"}}}},
            {{"request_delete_range", {{"key", "Yg=="}}}}}}}},
    };
    for (const encoding_case& one : cases)
    {
        const gateway_call call = to_gateway(one.operation);
        CHECK(call.path == one.path);
        CHECK(call.body == one.body);
    }
    const kv_answer answer = from_gateway(
        kv_range{.key = "a"},
        {{"header", {{"revision", "12"}}},
         {"kvs",
          {{{"key", "YQ=="}, {"value", "dg=="}, {"mod_revision", "11"}}}}});
    REQUIRE(answer.items.size() == 1);
    CHECK(answer.items.front().value == "v");
    CHECK(answer.items.front().mod_revision == 11);
    CHECK(answer.revision == 12);
    const kv_answer expired =
        from_gateway(kv_keep_alive{.lease = 7}, {{"result", {{"ID", "7"}}}});
    CHECK(expired.ttl_seconds == 0);
    CHECK_THROWS(from_gateway(kv_keep_alive{}, json::object()));
    for (const std::string text : {"", "a", "ab", "abc", "\xff\x00"})
    {
        CHECK(from_base64(to_base64(text)) == text);
    }
}

TEST_CASE("store calls: invalid answers and 5xx are unknown, 4xx is not_done")
{
    int status = 200;
    const http_server server(
        {},
        [&](const http_request&, http_responder responder) {
            responder.respond(
                {.status = status, .body = make_body("half of {")});
        });
    http_client client;
    etcd_client store(
        client, {.endpoints = {"127.0.0.1:" + std::to_string(server.port())}});
    const auto read_state = [&]
    {
        kv_answer received;
        absl::Notification done;
        store.send(kv_range{.key = "a"},
                   [&](kv_answer answer)
                   {
                       received = std::move(answer);
                       done.Notify();
                   });
        done.WaitForNotification();
        return received.how;
    };
    CHECK(read_state() == kv_answer::state::unknown);
    status = 503;
    CHECK(read_state() == kv_answer::state::unknown);
    status = 400;
    CHECK(read_state() == kv_answer::state::not_done);
}

TEST_CASE("messages are unchanged after encoding and decoding")
{
    const guard_report report{.guard = {"g"},
                              .incarnation = "i",
                              .ready = true,
                              .load = {1, 2, 3, 4, 5, 6, 7},
                              .entries_heard = {"e"},
                              .capacity = {1, 2, 3},
                              .attempts = {{"t1-a", 2, "running", "d"}}};
    CHECK(json(report).get<guard_report>() == report);
    CHECK(load_of_header(to_header(report.load)) == report.load);
    CHECK(!load_of_header("1 2 x"));
    const entry_summary summary{.entry = {"e"},
                                .wants = {{"a", 1}},
                                .holds = {{"a", 2}},
                                .shards = {1, 2},
                                .task_usage = {{"a", {1, 2, 3}}}};
    CHECK(json(summary).get<entry_summary>() == summary);
    const start_task start{
        .spec = {.id = "t1-a", .urgent = true}, .attempt = 3, .epoch = 9};
    CHECK(json(start).get<start_task>() == start);
    CHECK(shard_of("t12-abc") == 12);
    for (const char* const bad : {"", "t-", "x1-a", "t1", "t1x-a", "t-1-a"})
    {
        CHECK(!shard_of(bad));
    }
}

TEST_CASE("a task transition that does not fit the state is ignored")
{
    using step = task_transition::step;
    shard_tasks tasks;
    const auto apply = [&](step kind, std::int64_t attempt)
    {
        task_transition one;
        one.what = kind;
        one.task = "t1-a";
        one.attempt = attempt;
        one.guard = "g";
        one.spec = task_spec{.id = "t1-a"};
        return tasks.apply(one);
    };
    CHECK(apply(step::accept, 0));
    CHECK(!apply(step::accept, 0));
    CHECK(!apply(step::finish, 1)); // never placed
    CHECK(!apply(step::place, 2));  // attempt 1 must come first
    CHECK(apply(step::place, 1));
    CHECK(!apply(step::place, 2)); // attempt 1 is still placed
    CHECK(!apply(step::finish, 2));
    CHECK(apply(step::evict, 1));
    CHECK(!apply(step::evict, 1));  // evicted already
    CHECK(!apply(step::finish, 1)); // attempt 1 was evicted
    CHECK(apply(step::place, 2));
    CHECK(apply(step::finish, 2));
    CHECK(!apply(step::cancel, 0)); // ended already
    CHECK(shard_tasks::parse(tasks.to_document()) == tasks);
}

TEST_CASE("settings: all findings are reported with their places")
{
    const json invalid{{"role", "guard"},
                       {"name", ""},
                       {"port", 70000},
                       {"address", "here"},
                       {"fleet_key", "short"},
                       {"entries", {"10.0.0.1:1", "nowhere"}},
                       {"colour", 1},
                       {"guard", {{"slots", 0}, {"executor", "10.0.0.1"}}}};
    try
    {
        parse_settings(invalid);
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
                            "/name", "/port", "/address", "/fleet_key",
                            "/entries", "/colour", "/data_centre",
                            "/guard/slots", "/guard/executor", "/guard/worker",
                            "/guard/cpu_millis", "/guard/memory_mb"});
        CHECK(error.id() == 101);
    }
    CHECK_THROWS_AS(read_settings("/no/such/file"), document_error);
}

TEST_CASE("hashing, constant-time comparison and random hex")
{
    CHECK(sha256_hex("abc") ==
          "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(equal_in_constant_time("key", "key"));
    CHECK(!equal_in_constant_time("key", "keY"));
    CHECK(!equal_in_constant_time("key", "longer key"));
    CHECK(random_hex(8) != random_hex(8));
}

TEST_CASE("the supervisor restarts a part up to the limit, then stops all")
{
    supervisor parts({.max_restarts = 3});
    int runs = 0;
    std::atomic<bool> other_started = false;
    bool other_stopped = false;
    parts.add("failing",
              [&]
              {
                  while (!other_started)
                  {
                      std::this_thread::yield();
                  }
                  ++runs;
                  throw std::runtime_error("no");
              });
    parts.add("other",
              [&]
              {
                  other_started = true;
                  while (!parts.stopping())
                  {
                      std::this_thread::yield();
                  }
                  other_stopped = true;
              });
    CHECK_THROWS(parts.run());
    CHECK(runs == 4);
    CHECK(other_stopped);
}

TEST_CASE("metrics: classes over the limit share a label")
{
    metrics numbers;
    for (std::size_t index = 0; index < metrics::max_classes + 10; ++index)
    {
        numbers.count("refused", {"w", "c" + std::to_string(index)}, "r");
    }
    const std::string text = numbers.text();
    CHECK(text.find("class=\"other\"") != std::string::npos);
    CHECK(text.find("class=\"c0\"") != std::string::npos);
}

TEST_CASE("docs/EVENTS.md matches the event catalogue")
{
    const std::ifstream file(std::string(SPRINGSTAIR_DOCS) + "/EVENTS.md");
    REQUIRE(file);
    std::stringstream text;
    text << file.rdbuf();
    const std::string page = text.str();
    std::size_t rows = 0;
    for (const event_description& one : event_catalogue())
    {
        const std::string row = "| " +
                                std::to_string(static_cast<int>(one.id)) +
                                " | `" + std::string(one.name) + "` | " +
                                (one.level == severity::info      ? "info"
                                 : one.level == severity::warning ? "warning"
                                                                  : "error") +
                                " | " + std::string(one.meaning) + " |";
        CAPTURE(row);
        CHECK(page.find(row) != std::string::npos);
        ++rows;
    }
    std::size_t found = 0;
    for (std::size_t at = page.find("\n| 1"); at != std::string::npos;
         at = page.find("\n| 1", at + 1))
    {
        ++found;
    }
    CHECK(found == rows);
}
