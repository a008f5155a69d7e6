// Measures the processor time of the leader for the largest fleet: 160 workers,
// 30 long-running jobs of 24 tasks, and 10.5 quick and 4.6 heavy jobs per
// second. Workers and store are simulated. Reports are encoded as JSON, as
// between processes; system calls are not included. Prints the processor time
// of each part per second of simulated time.

#include <springstair/scheduler.hpp>
#include <springstair/transport.hpp>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>

namespace
{

using namespace springstair; // NOLINT: a program of its own
using std::chrono::milliseconds;

constexpr int racks = 10;
constexpr int lasting_jobs = 30;
constexpr double quick_a_second = 10.5;
constexpr double heavy_a_second = 4.6;
// Typical interval between batches of messages; a placement pass follows each.
constexpr auto step_length = milliseconds(2);
// Latency of the store.
constexpr auto store_delay = milliseconds(4);
constexpr auto default_report_interval = milliseconds(500);
constexpr auto ends_report_interval = milliseconds(120);
constexpr auto full_report_interval = milliseconds(400);
constexpr std::int64_t default_tail_ms = 4;

double processor_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) / 1e9;
}

// Adds the processor time spent during its lifetime to a total.
class cpu_timer
{
public:
    explicit cpu_timer(double& total)
        : total_(total), begin_(processor_seconds())
    {
    }
    cpu_timer(const cpu_timer&) = delete;
    cpu_timer& operator=(const cpu_timer&) = delete;
    ~cpu_timer()
    {
        total_ += processor_seconds() - begin_;
    }

private:
    double& total_;
    double begin_;
};

struct simulated_run
{
    start_order order;
    time_point ends;
    double cpu_millis = 0;
};

struct simulated_worker
{
    worker_report report;
    std::map<std::string, simulated_run> runs;
    time_point next_report{};
    time_point full_reported_at{};
    std::int64_t ends = 0;
};

class fleet
{
public:
    explicit fleet(int workers) : workers_(static_cast<std::size_t>(workers))
    {
        core_.begin_term(1, now_);
        core_.set_table(
            {.version = 1,
             .queues = {
                 {.name = "quick",
                  .service = "s",
                  .most_attempts = 3,
                  .stretch = 1.5,
                  .target_ms = 250},
                 {.name = "heavy",
                  .service = "s",
                  .priority = 2,
                  .most_attempts = 4,
                  .stretch = 2,
                  .target_ms = 1000},
                 {.name = "lasting", .service = "s", .target_ms = 2500}}});
        core_.begin(now_);
        for (std::size_t index = 0; index < workers_.size(); ++index)
        {
            workers_[index].report = description_of(static_cast<int>(index));
        }
        rpc_.add("report",
                 [this](const json& message)
                 {
                     auto report = message.get<worker_report>();
                     const cpu_timer spent(parts_["report, decisions"]);
                     return json(core_.report(report, now_, now_));
                 });
        for (int job = 0; job < lasting_jobs; ++job)
        {
            core_.accept(lasting_job(), now_);
        }
    }

    void simulate(milliseconds length)
    {
        for (const time_point end = now_ + length; now_ < end;
             now_ += step_length)
        {
            submit_jobs();
            report_all();
            {
                const cpu_timer spent(parts_["placing"]);
                core_.tick(now_, 0);
                core_.take_decisions();
            }
            write();
        }
    }

    void reset_costs()
    {
        parts_.clear();
        reports_ = bytes_ = written_ = 0;
        starts_before_ = core_.figures().starts;
    }

    void print(double seconds) const
    {
        double sum = 0;
        const auto line =
            [&](const std::string& label, double value, const char* unit)
        {
            std::cout << std::left << std::setw(30) << label << std::right
                      << std::setw(12) << std::fixed << std::setprecision(2)
                      << value / seconds << " " << unit << " a second\n";
        };
        for (const auto& [part, spent] : parts_)
        {
            line(part, 1000 * spent, "ms");
            // "report, decisions" is contained in "reports, whole".
            sum += part == "report, decisions" ? 0 : spent;
        }
        line("all", 1000 * sum, "ms");
        line("reports", reports_, "");
        line("bytes of reports", bytes_ / 1000, "KB");
        line("bytes written", written_ / 1000, "KB");
        line("starts",
             static_cast<double>(core_.figures().starts - starts_before_), "");
    }

private:
    static worker_report description_of(int index)
    {
        const std::string name = "side-pos-a-" + std::to_string(index);
        return {
            .guard = name,
            .address = "10.1.0.48:7720",
            .incarnation = "5eab792cbe01",
            .worker = {.executor = "i-" + name,
                       .service = "s",
                       .data_centre = "pos-a",
                       .rack = "r" + std::to_string(index % racks),
                       .labels = {"a", "r" + std::to_string(index % racks)},
                       .capacity = {.cpu_millis = 32000, .memory_mb = 125000}},
            .looked = true,
            .answering = true,
            .lease_ms = 3000};
    }

    std::int64_t draw(double mean)
    {
        std::lognormal_distribution<double> spread(0, 0.4);
        return std::max<std::int64_t>(
            1, static_cast<std::int64_t>(mean * spread(draw_)));
    }

    job job_of(const char* queue)
    {
        return {.id = std::to_string(100'000'000'000 + ++jobs_),
                .queue = queue,
                .payload = std::string(75, 'p')};
    }

    job lasting_job()
    {
        job definition = job_of("lasting");
        definition.steps = {
            {.count = draw(24),
             .demand = {.cpu_millis = draw(6400), .memory_mb = 13000},
             .lasting = true,
             .image = "s" + std::to_string(jobs_ % 16),
             .latency_target_ms = 18}};
        return definition;
    }

    job quick_job()
    {
        job definition = job_of("quick");
        definition.steps = {
            {.count = draw(9.4),
             .demand = {.cpu_millis = draw(1900), .memory_mb = 3800},
             .estimate_ms = 1000}};
        return definition;
    }

    job heavy_job()
    {
        job definition = job_of("heavy");
        const std::string image = "f" + std::to_string(jobs_ % 30);
        for (std::size_t step = 0; step < 2; ++step)
        {
            definition.steps.push_back(
                {.count = draw(39),
                 .demand = {.cpu_millis = draw(3500), .memory_mb = 6400},
                 .estimate_ms = 1700,
                 .image = image,
                 .fills = true,
                 .checkpoints = true});
        }
        definition.steps[1].after = {0};
        return definition;
    }

    void submit_jobs()
    {
        const auto share = std::chrono::duration<double>(step_length).count();
        std::bernoulli_distribution quick(quick_a_second * share);
        std::bernoulli_distribution heavy(heavy_a_second * share);
        if (quick(draw_))
        {
            core_.accept(quick_job(), now_);
        }
        if (heavy(draw_))
        {
            core_.accept(heavy_job(), now_);
        }
    }

    void take(simulated_worker& worker, const guard_orders& orders)
    {
        for (const start_order& order : orders.starts)
        {
            const bool lasts = order.latency_target_ms > 0;
            worker.runs.try_emplace(
                order.task,
                simulated_run{
                    .order = order,
                    .ends = now_ + milliseconds(
                                       lasts ? 70'000
                                             : draw(order.fills ? 1700 : 1000)),
                    .cpu_millis = 2500});
        }
        for (const stop_order& order : orders.stops)
        {
            end_run(worker, order.task, run_end::stopped);
        }
    }

    static void end_run(simulated_worker& worker, const std::string& task,
                        run_end how)
    {
        const auto found = worker.runs.find(task);
        if (found == worker.runs.end())
        {
            return;
        }
        worker.report.ended.push_back({.number = ++worker.ends,
                                       .task = task,
                                       .run = found->second.order.run,
                                       .how = how});
        worker.runs.erase(found);
    }

    void end_finished_runs(simulated_worker& worker)
    {
        std::vector<std::string> finished;
        for (const auto& [task, run] : worker.runs)
        {
            if (now_ >= run.ends)
            {
                finished.push_back(task);
            }
        }
        for (const std::string& task : finished)
        {
            end_run(worker, task, run_end::done);
            worker.next_report = now_;
        }
    }

    void report_all()
    {
        for (simulated_worker& worker : workers_)
        {
            end_finished_runs(worker);
            if (now_ < worker.next_report)
            {
                continue;
            }
            send_report(worker);
        }
        for (const addressed_orders& one : core_.take_orders())
        {
            std::string text;
            {
                const cpu_timer spent(parts_["orders, written"]);
                text = rpc_request("orders", one.orders);
            }
            const auto addressee =
                std::find_if(workers_.begin(), workers_.end(),
                             [&](const simulated_worker& worker)
                             { return worker.report.guard == one.guard; });
            take(*addressee, one.orders);
        }
    }

    void send_report(simulated_worker& worker)
    {
        worker_report& report = worker.report;
        ++report.sequence;
        report.running.clear();
        report.whole = now_ - worker.full_reported_at >= full_report_interval;
        std::uniform_int_distribution<std::int64_t> wave(0, 3);
        for (const auto& [task, run] : worker.runs)
        {
            if (!report.whole)
            {
                break;
            }
            const bool serves = run.order.latency_target_ms > 0;
            report.running.push_back(
                {.task = task,
                 .run = run.order.run,
                 .percent = serves ? full_percent : 50,
                 .load = serves ? default_tail_ms + wave(draw_)
                                : static_cast<std::int64_t>(run.cpu_millis)});
        }
        const std::string text = rpc_request("report", report);
        std::string answer_text;
        {
            const cpu_timer spent(parts_["reports, whole"]);
            answer_text = rpc_.handle(text);
        }
        ++reports_;
        bytes_ += static_cast<double>(text.size() + answer_text.size());
        const auto answer = rpc_result(answer_text).get<report_answer>();
        if (answer.admission.number > 0)
        {
            report.admission = answer.admission;
            return;
        }
        worker.full_reported_at = report.whole ? now_ : worker.full_reported_at;
        take(worker, answer.orders);
        std::erase_if(report.ended, [&](const ended_task& one)
                      { return one.number <= answer.orders.acknowledged; });
        worker.next_report =
            now_ + (report.ended.empty() ? default_report_interval
                                         : ends_report_interval);
    }

    void write()
    {
        if (in_store_ && now_ >= written_at_)
        {
            const cpu_timer spent(parts_["records, written"]);
            core_.committed(*in_store_, ++revision_, now_);
            in_store_.reset();
        }
        if (in_store_)
        {
            return;
        }
        const cpu_timer spent(parts_["records, written"]);
        in_store_ = core_.next_commit(now_);
        if (in_store_)
        {
            written_at_ = now_ + store_delay;
            for (const progress_write& one : *in_store_)
            {
                written_ += static_cast<double>(one.text.size());
            }
        }
    }

    time_point now_{std::chrono::hours(1)};
    scheduler_core core_;
    rpc_dispatcher rpc_;
    std::vector<simulated_worker> workers_;
    std::mt19937_64 draw_{1}; // NOLINT: reproducible
    std::int64_t jobs_ = 0;
    std::optional<commit_batch> in_store_;
    time_point written_at_{};
    std::int64_t revision_ = 0;
    std::map<std::string, double> parts_;
    double reports_ = 0;
    double bytes_ = 0;
    double written_ = 0;
    std::int64_t starts_before_ = 0;
};

} // namespace

int main(int count, char** words)
{
    const int workers = count > 1 ? std::atoi(words[1]) : 160;
    constexpr int seconds = 20;
    fleet all(workers);
    all.simulate(std::chrono::seconds(5)); // warm-up to a steady state
    all.reset_costs();
    all.simulate(std::chrono::seconds(seconds));
    all.print(seconds);
}
