// Measures how the cost of a role grows with the number of guards, workspaces
// and tasks: processor time per heartbeat, request, table edit and task step,
// bytes on the wire, memory per guard, workspace and task. Prints one line per
// point.

#include <springstair/entry.hpp>
#include <springstair/guard.hpp>
#include <springstair/scheduler.hpp>

#include <malloc.h>

#include <ctime>
#include <functional>
#include <iomanip>
#include <iostream>

namespace
{

using namespace springstair; // NOLINT: a program of its own

constexpr double micro = 1e6;

double processor_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) / 1e9;
}

double micros_each(int times, const std::function<void(int)>& operation)
{
    const double begin = processor_seconds();
    for (int index = 0; index < times; ++index)
    {
        operation(index);
    }
    return micro * (processor_seconds() - begin) / times;
}

double heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

void print(const std::string& label, double point, double value,
           const std::string& unit)
{
    std::cout << std::left << std::setw(46) << label << std::right
              << std::setw(9) << point << std::setw(12) << std::fixed
              << std::setprecision(2) << value << " " << unit << "\n";
    std::cout.unsetf(std::ios::floatfield);
}

json rows_of(int workspaces)
{
    json rows = json::object();
    for (int index = 0; index < workspaces; ++index)
    {
        const std::string name = "team-" + std::to_string(index);
        rows[name] = {{"weight", 1},
                      {"max_in_flight", 100},
                      {"credential_hashes", {sha256_hex(name)}}};
        rows[name + "/fast"] = {{"kind", "latency-critical"},
                                {"repeatable", true}};
        rows[name + "/heavy"] = {{"kind", "heavy"}};
        rows[name + "/batch"] = {{"kind", "batch"}};
    }
    return rows;
}

guard_report report_of(int index, int tasks)
{
    guard_report report{.guard = {"guard-" + std::to_string(index)},
                        .incarnation = "0123456789ab",
                        .data_centre = "dc-1",
                        .rack = "rack-1",
                        .address = "10.0.0.1:7000",
                        .ready = true,
                        .tasks_ready = true,
                        .load = {.slots = 8, .running_critical = 1},
                        .table_revision = 1,
                        .entries_heard = {"entry-1", "entry-2", "entry-3"},
                        .capacity = {32000, 120000, 1},
                        .free = {16000, 60000, 1}};
    for (int task = 0; task < tasks; ++task)
    {
        report.attempts.push_back(
            {.task = "t12-0123456789abcdef", .attempt = 1, .state = "running"});
    }
    return report;
}

request_core core_with(int guards)
{
    request_core core(
        {.name = {"entry-1"}, .incarnation = "1", .data_centre = "dc-1"});
    core.on_table(table::parse({{"revision", 1}, {"rows", rows_of(10)}}));
    for (int index = 0; index < guards; ++index)
    {
        core.on_heartbeat(boot_clock::now(), report_of(index, 0));
    }
    return core;
}

void measure_heartbeats()
{
    for (const int tasks : {0, 14, 56})
    {
        const json message = report_of(1, tasks);
        const std::string wire = rpc_request(wire::heartbeat_method, message);
        print("heartbeat on the wire, by tasks listed", tasks,
              static_cast<double>(wire.size()), "bytes");
        rpc_dispatcher dispatcher;
        dispatcher.add(wire::heartbeat_method,
                       [](const json& got) -> json
                       {
                           const auto report = got.get<guard_report>();
                           return heartbeat_answer{.entry = {"entry-1"}};
                       });
        print("entry: heartbeat received, by tasks listed", tasks,
              micros_each(500, [&](int) { dispatcher.handle(wire); }), "us");
        print("guard: heartbeat written, by tasks listed", tasks,
              micros_each(500, [&](int)
                          { rpc_request(wire::heartbeat_method, message); }),
              "us");
    }
}

void measure_routing()
{
    for (const int guards : {11, 212, 1000, 3600})
    {
        const double before = heap_bytes();
        request_core core = core_with(guards);
        print("entry: memory per guard known, by guards", guards,
              (heap_bytes() - before) / guards, "bytes");
        const time_point now = boot_clock::now();
        print("entry: request routed and ended, by guards", guards,
              micros_each(
                  500,
                  [&](int index)
                  {
                      const auto number =
                          static_cast<request_number>(index) + 1;
                      const auto sent = core.on_request(
                          now, {.number = number,
                                .of = {"team-1", "fast"},
                                .deadline = now + std::chrono::seconds(9)});
                      core.on_attempt(
                          now, {.attempt =
                                    std::get<send_attempt>(sent.back()).attempt,
                                .how = attempt_result::ending::answered});
                  }),
              "us");
        print("entry: tick, by guards", guards,
              micros_each(200, [&](int) { core.on_tick(now); }), "us");
    }
}

void measure_table()
{
    for (const int workspaces : {3, 100, 770})
    {
        const json document{{"revision", 1}, {"rows", rows_of(workspaces)}};
        print("table: size, by workspaces of 3 classes", workspaces,
              static_cast<double>(document.dump().size()), "bytes");
        print("table: checked and taken, by workspaces", workspaces,
              micros_each(10, [&](int) { table::parse(document); }), "us");
        const double before = heap_bytes();
        const table rows = table::parse(document);
        print("table: memory per workspace, by workspaces", workspaces,
              (heap_bytes() - before) / workspaces, "bytes");
    }
}

void measure_guard()
{
    for (const int workspaces : {1, 10, 100})
    {
        const time_point now = boot_clock::now();
        guard_core core({.name = {"g"},
                         .incarnation = "1",
                         .admission = {.slots = 8},
                         .settle = duration{0}},
                        now);
        core.on_table(
            table::parse({{"revision", 1}, {"rows", rows_of(workspaces)}}));
        core.on_executor_list(now, now, {});
        print("guard: attempt admitted and ended, by workspaces", workspaces,
              micros_each(2000,
                          [&](int index)
                          {
                              const attempt_name name{std::to_string(index)};
                              const std::string team =
                                  "team-" + std::to_string(index % workspaces);
                              core.on_attempt(
                                  now, {.attempt = name,
                                        .entry = "e",
                                        .request_class = {team, "fast"},
                                        .incarnation = "1",
                                        .remaining = std::chrono::seconds(9)});
                              core.on_executor(now, name,
                                               executor_result::answered);
                          }),
              "us");
    }
}

void measure_tasks()
{
    for (const int tasks : {100, 460, 2000})
    {
        const double before = heap_bytes();
        shard_tasks shard;
        for (int index = 0; index < tasks; ++index)
        {
            const std::string id = "t1-" + std::to_string(1000000 + index);
            task_transition step;
            step.task = id;
            step.spec = task_spec{.id = id, .of = {"team-1", "batch"}};
            shard.apply(step);
        }
        print("shard: memory per task, by tasks", tasks,
              (heap_bytes() - before) / tasks, "bytes");
        print("shard: snapshot, by tasks", tasks,
              static_cast<double>(shard.to_document().dump().size()), "bytes");
        print("shard: snapshot written, by tasks", tasks,
              micros_each(5, [&](int) { shard.to_document().dump(); }), "us");
    }
    task_transition step;
    step.what = task_transition::step::place;
    step.task = "t12-0123456789abcdef";
    step.attempt = 1;
    step.guard = "guard-1000";
    step.incarnation = "0123456789ab";
    print("journal: a place step", 1,
          static_cast<double>(json(step).dump().size()), "bytes");
    step.what = task_transition::step::accept;
    step.spec = task_spec{.id = step.task, .of = {"team-1", "batch"}};
    print("journal: an accept step", 1,
          static_cast<double>(json(step).dump().size()), "bytes");
}

constexpr int best_effort_images = 18;
constexpr resources worker_capacity{.cpu_millis = 32000, .memory_mb = 128000};

// The report of an idle worker.
worker_report idle_report_of(int index, int sequence)
{
    const std::string name = "guard-" + std::to_string(index);
    worker_report report{.guard = name,
                         .address = "10.0.0.1:7720",
                         .incarnation = "i",
                         .sequence = sequence,
                         .worker = {.executor = name,
                                    .service = "s",
                                    .capacity = worker_capacity},
                         .looked = true,
                         .answering = true};
    return report;
}

job best_effort_job(int index, std::int64_t tasks)
{
    return {
        .id = "fill-" + std::to_string(index),
        .queue = "heavy",
        .payload = "p",
        .steps = {{.count = tasks,
                   .demand = {.cpu_millis = 3500, .memory_mb = 6400},
                   .estimate_ms = 1700,
                   .image = "f" + std::to_string(index % best_effort_images),
                   .fills = true}}};
}

void report_all(scheduler_core& core, int workers, int sequence, time_point now)
{
    for (int index = 0; index < workers; ++index)
    {
        core.report(idle_report_of(index, sequence), now, now);
    }
}

// Placement passes over waiting best-effort tasks. Passes that find no capacity
// are the common case under load.
void measure_placing()
{
    for (const int workers : {30, 100, 300})
    {
        time_point now{std::chrono::hours(1)};
        scheduler_core core;
        core.begin_term(1, now);
        core.set_table(
            {.version = 1, .queues = {{.name = "heavy", .service = "s"}}});
        core.begin(now);
        report_all(core, workers, 1, now);
        const int jobs = workers * 3;
        const double first =
            micros_each(1,
                        [&](int)
                        {
                            for (int index = 0; index < jobs; ++index)
                            {
                                core.accept(best_effort_job(index, 8), now);
                            }
                            core.tick(now, 0);
                        });
        const auto placed = static_cast<double>(core.figures().starts);
        print("leader: task placed, by workers", workers, first / placed, "us");
        print("leader: pass that places nothing", workers,
              micros_each(50,
                          [&](int)
                          {
                              now += std::chrono::milliseconds(20);
                              core.tick(now, 0);
                          }),
              "us a tick");
    }
}

} // namespace

int main()
{
    measure_heartbeats();
    measure_routing();
    measure_table();
    measure_guard();
    measure_tasks();
    measure_placing();
}
