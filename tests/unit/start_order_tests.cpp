// How many start orders of a job with many tasks are under way.

#include "scheduler_harness.hpp"

#include <springstair/guard.hpp>

#include <doctest/doctest.h>

namespace springstair::tests
{

namespace
{

constexpr std::size_t payload_bytes = 4000;

job_step many_tasks(std::int64_t count)
{
    return {.count = count, .estimate_ms = 500}; // without any demand
}

std::int64_t start_bytes(const guard_orders& orders)
{
    std::int64_t bytes = 0;
    for (const start_order& start : orders.starts)
    {
        bytes += bytes_of(start);
    }
    return bytes;
}

// A scheduler whose guards receive nothing: each message is only measured.
struct measured_harness : scheduler_harness
{
    void submit_large(std::int64_t count, const std::string& id = "large")
    {
        job definition{.id = id,
                       .queue = "q",
                       .payload = std::string(payload_bytes, 'p'),
                       .steps = {many_tasks(count)}};
        core.accept(definition, now);
        accepted[id] = definition;
    }

    // Commits all placements; returns the size of the largest message and
    // counts all starts.
    std::int64_t largest_message()
    {
        now += milliseconds(100);
        verified = now;
        core.tick(now, unix_ms);
        while (const auto batch = core.next_commit(now))
        {
            ++revision;
            core.committed(*batch, revision, now);
            now += milliseconds(25);
        }
        std::int64_t largest = 0;
        for (const addressed_orders& one : core.take_orders())
        {
            largest = std::max(largest, start_bytes(one.orders));
            sent += one.orders.starts.size();
        }
        return largest;
    }

    // A report that shows nothing running: the leader repeats its orders.
    std::int64_t answer_to_report()
    {
        worker_report& report = worker("a");
        ++report.sequence;
        report_answer answer = core.report(report, now, verified);
        if (answer.admission.number > 0)
        {
            report.admission = answer.admission;
            ++report.sequence;
            answer = core.report(report, now, verified);
        }
        return start_bytes(answer.orders);
    }

    std::size_t sent = 0;
};

const std::int64_t max_bytes =
    scheduler_options{}.max_unconfirmed_bytes_per_worker;

} // namespace

// Guards against processes that end for their memory: one message of orders
// held a copy of the job's payload for each of 10,000 tasks.
TEST_CASE("start orders for one worker stay within their bound")
{
    measured_harness harness;
    harness.answer_to_report();
    harness.submit_large(10'000);
    CHECK(harness.largest_message() <= max_bytes);
    CHECK(harness.sent > 100);
    for (int report = 0; report < 3; ++report)
    {
        harness.now += milliseconds(1100); // repeated, as no report shows them
        CHECK(harness.answer_to_report() <= max_bytes);
        CHECK(harness.largest_message() <= max_bytes);
    }
}

TEST_CASE("starts that wait are sent once reports show earlier ones")
{
    scheduler_harness harness;
    harness.report_from_guard("a");
    const std::string id = harness.submit({many_tasks(2'000)}).id;
    for (int report = 0; report < 20; ++report)
    {
        harness.advance(milliseconds(400));
        harness.report_from_guard("a");
    }
    CHECK(harness.started.size() == 2'000);
    CHECK(harness.has_started(id + ".0.0.1999"));
}

TEST_CASE("the start of one job does not wait for all those of another")
{
    measured_harness harness;
    harness.answer_to_report();
    harness.submit_large(10'000);
    harness.largest_message();
    harness.submit_large(1, "ordinary");
    harness.largest_message();
    worker_report& report = harness.worker("a");
    report.running.push_back({.task = "large.0.0.0", .run = 1});
    harness.answer_to_report();
    bool has_ordinary = false;
    for (const addressed_orders& one : harness.core.take_orders())
    {
        for (const start_order& start : one.orders.starts)
        {
            has_ordinary = has_ordinary || start.task == "ordinary.0.0.0";
        }
    }
    CHECK(has_ordinary);
}

TEST_CASE("start orders for all workers stay within one bound")
{
    scheduler_options options;
    options.max_unconfirmed_bytes = max_bytes / 2;
    scheduler_harness harness(options);
    harness.report_from_guard("a");
    harness.report_from_guard("b");
    harness.submit({many_tasks(500)});
    harness.now += milliseconds(25);
    harness.core.tick(harness.now, 0);
    const auto batch = harness.core.next_commit(harness.now);
    REQUIRE(batch);
    harness.core.committed(*batch, 200, harness.now);
    std::int64_t bytes = 0;
    for (const addressed_orders& one : harness.core.take_orders())
    {
        bytes += start_bytes(one.orders);
    }
    CHECK(bytes <= options.max_unconfirmed_bytes);
}

// Guards against TWICE: an entry of the queue that belonged to an earlier run
// of a task sent its next run before that placement was stored.
TEST_CASE("a run is not started before its placement is stored")
{
    scheduler_harness harness;
    harness.report_from_guard("a");
    const std::string id = harness.submit({many_tasks(400)}).id;
    harness.advance();
    harness.advance();
    const std::string waiting = id + ".0.0.399";
    REQUIRE_FALSE(harness.has_started(waiting));
    worker_report& report = harness.reports.at("a");
    report.refused = {{.task = waiting, .run = 1}};
    report.whole = false;
    harness.report_from_guard("a");
    report.refused.clear();
    report.whole = true;
    harness.now += seconds(1);
    harness.verified = harness.now;
    harness.core.tick(harness.now, harness.unix_ms);
    REQUIRE(harness.core.find(id)->tasks().back().run->number == 2);
    harness.report_from_guard("a");
    bool is_sent = false;
    for (const addressed_orders& one : harness.core.take_orders())
    {
        for (const start_order& start : one.orders.starts)
        {
            is_sent = is_sent || start.task == waiting;
        }
    }
    CHECK_FALSE(is_sent);
    harness.advance();
    harness.report_from_guard("a");
    harness.advance();
    CHECK(harness.has_started(waiting));
}

// Guards against LOST: starts that silent workers never confirm used up the
// bound of all workers, until their leases had expired.
TEST_CASE("silent workers do not hold up the starts of others")
{
    scheduler_options options{.lasting_batch_window = duration{0}};
    options.max_unconfirmed_bytes = max_bytes;
    scheduler_harness harness(options);
    harness.report_from_guard("silent");
    harness.submit({many_tasks(2'000)});
    harness.advance();
    harness.advance();
    harness.started.clear();
    harness.now += seconds(2);
    harness.verified = harness.now;
    harness.report_from_guard("b");
    const std::string id = harness.submit({many_tasks(100)}).id;
    harness.advance();
    harness.advance();
    CHECK(harness.started.size() == 100);
    CHECK(harness.has_started(id + ".0.0.99"));
}

// Guards against guards that end for their memory beside thousands of runs that
// a new guard process does not know: each description has the job's payload.
TEST_CASE("descriptions of unknown runs stay within the bound of a message")
{
    measured_harness harness;
    harness.answer_to_report();
    harness.submit_large(1'000);
    worker_report& report = harness.worker("a");
    for (int round = 0; round < 10; ++round)
    {
        harness.largest_message();
        report.running.clear();
        report.unknown.clear();
        const job_record& record = *harness.core.find("large");
        for (const job_task& task : record.tasks())
        {
            if (task.run && task.run->ordered)
            {
                const task_name name{"large", record.position_of(task)};
                report.running.push_back({.task = name.text(), .run = 1});
                report.unknown.push_back(name.text());
            }
        }
        CHECK(harness.answer_to_report() <
              max_bytes + 2 * static_cast<std::int64_t>(payload_bytes) * 2);
    }
    CHECK(report.unknown.size() == 1'000);
}

TEST_CASE("a guard keeps one copy of the payload of a job's runs")
{
    const shared_text first("payload");
    shared_text second("payload");
    CHECK_FALSE(second.is_shared_with(first));
    second.share_with(first);
    CHECK(second.is_shared_with(first));
    shared_text other("other");
    other.share_with(first);
    CHECK(other == shared_text("other"));
}

TEST_CASE("jobs take turns in a queue of starts")
{
    start_queue queue;
    for (std::int64_t index = 0; index < 3; ++index)
    {
        queue.push({"a", {.index = index}});
    }
    queue.push({"b", {}});
    std::vector<std::string> order;
    while (const task_name* const next = queue.front())
    {
        order.push_back(next->job);
        queue.pop();
    }
    CHECK(order == std::vector<std::string>{"a", "b", "a", "a"});
}

} // namespace springstair::tests
