// Stand-in for one executor and its worker.
//
// Worker: GET /v1/worker lists the tasks; /v1/worker/{start,renew,stop,forget}
// follow the platform's interface. The payload of a task defines how long it
// runs and whether it fails.
// Control: POST /control {"fail_all": bool}; GET /control returns the recorded
// history.
// Executor: any other POST occupies a slot for `service_ms` of its JSON body
// and is answered with the `id` of the body.

#include "stand_in.hpp"

#include <algorithm>
#include <set>
#include <vector>

namespace
{

using namespace stand_in; // NOLINT: a program of its own

constexpr int server_error = 500;
constexpr int conflict = 409;

std::int64_t clock_ms()
{
    return to_milliseconds(boot_clock::now().time_since_epoch());
}

// ---------------------------------------------------------------------------
// The executor
// ---------------------------------------------------------------------------

class executor
{
public:
    executor(const options& given, timer& timers)
        : slots_(given.number("slots", 8)),
          data_centre_(given.text("data_centre", "dc-1")),
          name_(given.text("name", "worker")),
          far_(std::chrono::microseconds(given.number("far_us", 0))),
          timers_(timers)
    {
    }

    void serve(const http_request& request,
               const std::shared_ptr<http_responder>& responder)
    {
        const json body = json::parse(*request.body, nullptr, false);
        const std::string id = body.value("id", std::string());
        const std::string attempt = request.header("springstair-attempt");
        const bool far = request.headers.contains("x-client-dc") &&
                         request.header("x-client-dc") != data_centre_;
        bool fails = false;
        {
            const absl::MutexLock lock(&mutex_);
            busy_.insert(attempt);
            ++runs_[id];
            overshoot_ = std::max(
                overshoot_, static_cast<std::int64_t>(busy_.size()) - slots_);
            fails = fail_all_ || body.value("fail", false);
        }
        const duration service =
            fails ? duration{0}
                  : std::chrono::microseconds(static_cast<std::int64_t>(
                        1000 * body.value("service_ms", 1.0)));
        const json reply{{"id", id},
                         {"worker", name_},
                         {"workspace", request.header("springstair-workspace")},
                         {"pad", body.value("pad", std::string())}};
        timers_.after(service + (far ? 2 * far_ : duration{0}),
                      [this, responder, attempt, reply, fails]
                      {
                          {
                              const absl::MutexLock lock(&mutex_);
                              busy_.erase(busy_.find(attempt));
                          }
                          answer(responder, reply, fails ? server_error : 200);
                      });
    }

    void fail_all(bool failing)
    {
        const absl::MutexLock lock(&mutex_);
        fail_all_ = failing;
    }

    json busy()
    {
        const absl::MutexLock lock(&mutex_);
        return std::set<std::string>(busy_.begin(), busy_.end());
    }

    json history()
    {
        const absl::MutexLock lock(&mutex_);
        return {{"runs", runs_}, {"overshoot", overshoot_}};
    }

private:
    std::int64_t slots_;
    std::string data_centre_;
    std::string name_;
    duration far_;
    timer& timers_;
    absl::Mutex mutex_;
    std::multiset<std::string> busy_;
    std::map<std::string, std::int64_t> runs_;
    std::int64_t overshoot_ = 0;
    bool fail_all_ = false;
};

// ---------------------------------------------------------------------------
// The worker
// ---------------------------------------------------------------------------

struct task_run
{
    std::string state = "running";
    std::string detail;
    json needs;
    std::int64_t begun_ms = 0;
    std::int64_t done_before_ms = 0; // run time completed by earlier attempts
    std::int64_t lease_until_ms = 0;
    std::int64_t ended_ms = 0;
};

class worker
{
public:
    worker(const options& given, timer& timers)
        : cpu_(given.number("cpu_millis", 32'000)),
          memory_(given.number("memory_mb", 120'000)),
          accelerators_(given.number("accelerators", 0)), timers_(timers)
    {
    }

    int start(const json& body)
    {
        const absl::MutexLock lock(&mutex_);
        expire_leases();
        const auto key = name_of(body);
        const std::int64_t now = clock_ms();
        const bool same_task =
            std::any_of(runs_.begin(), runs_.end(),
                        [&](const auto& item) {
                            return item.first.first == key.first &&
                                   item.second.state == "running";
                        });
        if (now > body.at("not_after_ms").get<std::int64_t>() || same_task ||
            runs_.contains(key))
        {
            return conflict;
        }
        const json payload =
            json::parse(body.value("payload", std::string()), nullptr, false);
        const std::string checkpoint = body.value("checkpoint", std::string());
        task_run run;
        run.needs = body.at("needs");
        run.begun_ms = now;
        run.done_before_ms = checkpoint.empty() ? 0 : std::stoll(checkpoint);
        run.lease_until_ms = now + body.at("lease_ms").get<std::int64_t>();
        runs_[key] = run;
        count_overshoot();
        const bool fails =
            fail_all_ || (payload.is_object() && payload.value("fail", false));
        const std::int64_t run_ms =
            payload.is_object() ? payload.value("run_ms", 100) : 100;
        const std::int64_t left =
            fails ? 5 : std::max<std::int64_t>(0, run_ms - run.done_before_ms);
        timers_.after(std::chrono::milliseconds(left),
                      [this, key, fails]
                      {
                          const absl::MutexLock inner(&mutex_);
                          expire_leases();
                          end(key, fails ? "failed" : "finished",
                              fails ? "told to fail"
                                    : "result of " + key.first);
                      });
        return 200;
    }

    void renew(const json& body)
    {
        const absl::MutexLock lock(&mutex_);
        expire_leases();
        for (const json& item : body.at("attempts"))
        {
            const auto found = runs_.find(name_of(item));
            if (found != runs_.end() && found->second.state == "running")
            {
                found->second.lease_until_ms =
                    clock_ms() + body.at("lease_ms").get<std::int64_t>();
            }
        }
    }

    void stop(const json& body)
    {
        const absl::MutexLock lock(&mutex_);
        expire_leases();
        const auto key = name_of(body);
        const auto found = runs_.find(key);
        if (found == runs_.end())
        {
            return;
        }
        const task_run& run = found->second;
        const std::int64_t progress =
            run.done_before_ms + clock_ms() - run.begun_ms;
        if (body.value("checkpoint", false))
        {
            end(key, "checkpointed", std::to_string(progress));
        }
        else
        {
            end(key, "stopped", "");
        }
    }

    void forget(const json& body)
    {
        const absl::MutexLock lock(&mutex_);
        for (const json& item : body.at("attempts"))
        {
            const auto found = runs_.find(name_of(item));
            if (found != runs_.end() && found->second.state != "running")
            {
                runs_.erase(found);
            }
        }
    }

    json list(const json& requests)
    {
        const absl::MutexLock lock(&mutex_);
        expire_leases();
        json tasks = json::array();
        for (const auto& [key, run] : runs_)
        {
            tasks.push_back({{"task", key.first},
                             {"attempt", key.second},
                             {"state", run.state},
                             {"needs", run.needs},
                             {"detail", run.detail}});
        }
        return {
            {"requests", requests}, {"tasks", tasks}, {"clock_ms", clock_ms()}};
    }

    void fail_all(bool failing)
    {
        const absl::MutexLock lock(&mutex_);
        fail_all_ = failing;
    }

    json history()
    {
        const absl::MutexLock lock(&mutex_);
        expire_leases();
        json all = intervals_;
        for (const auto& [key, run] : runs_)
        {
            if (run.state == "running")
            {
                all.push_back({{"task", key.first},
                               {"attempt", key.second},
                               {"begin", run.begun_ms},
                               {"end", clock_ms()},
                               {"state", "running"}});
            }
        }
        return {{"intervals", all}, {"overshoot", overshoot_}};
    }

private:
    using attempt_key = std::pair<std::string, std::int64_t>;

    static attempt_key name_of(const json& body)
    {
        return {body.at("task").get<std::string>(),
                body.at("attempt").get<std::int64_t>()};
    }

    void end(const attempt_key& key, const std::string& state,
             const std::string& detail)
    {
        const auto found = runs_.find(key);
        if (found == runs_.end() || found->second.state != "running")
        {
            return;
        }
        end_at(key, found->second, state, detail, clock_ms());
    }

    void end_at(const attempt_key& key, task_run& run, const std::string& state,
                const std::string& detail, std::int64_t when)
    {
        run.state = state;
        run.detail = detail;
        run.ended_ms = when;
        intervals_.push_back({{"task", key.first},
                              {"attempt", key.second},
                              {"begin", run.begun_ms},
                              {"end", when},
                              {"state", state}});
    }

    // Ends tasks whose lease has expired, as of the time of expiry.
    void expire_leases()
    {
        for (auto& [key, run] : runs_)
        {
            if (run.state == "running" && clock_ms() > run.lease_until_ms)
            {
                end_at(key, run, "lapsed", "", run.lease_until_ms);
            }
        }
    }

    void count_overshoot()
    {
        std::int64_t cpu = 0;
        std::int64_t memory = 0;
        std::int64_t accelerators = 0;
        for (const auto& [key, run] : runs_)
        {
            if (run.state == "running")
            {
                cpu += run.needs.value("cpu_millis", 0);
                memory += run.needs.value("memory_mb", 0);
                accelerators += run.needs.value("accelerators", 0);
            }
        }
        const bool over =
            cpu > cpu_ || memory > memory_ || accelerators > accelerators_;
        overshoot_ += over ? 1 : 0;
    }

    std::int64_t cpu_;
    std::int64_t memory_;
    std::int64_t accelerators_;
    timer& timers_;
    absl::Mutex mutex_;
    std::map<attempt_key, task_run> runs_;
    json intervals_ = json::array();
    std::int64_t overshoot_ = 0;
    bool fail_all_ = false;
};

struct machine
{
    executor requests;
    worker tasks;

    void serve(const http_request& request,
               const std::shared_ptr<http_responder>& responder)
    {
        const std::string& path = request.path;
        if (path == "/v1/worker")
        {
            answer(responder, tasks.list(requests.busy()));
        }
        else if (path == "/control")
        {
            control(request, responder);
        }
        else if (path.starts_with("/v1/worker/"))
        {
            command(path, json::parse(*request.body), responder);
        }
        else
        {
            requests.serve(request, responder);
        }
    }

    void control(const http_request& request,
                 const std::shared_ptr<http_responder>& responder)
    {
        if (request.method == "POST")
        {
            const json body = json::parse(*request.body);
            requests.fail_all(body.value("fail_all", false));
            tasks.fail_all(body.value("fail_all", false));
        }
        answer(responder,
               {{"executor", requests.history()}, {"worker", tasks.history()}});
    }

    void command(const std::string& path, const json& body,
                 const std::shared_ptr<http_responder>& responder)
    {
        int status = 200;
        if (path == "/v1/worker/start")
        {
            status = tasks.start(body);
        }
        else if (path == "/v1/worker/renew")
        {
            tasks.renew(body);
        }
        else if (path == "/v1/worker/stop")
        {
            tasks.stop(body);
        }
        else
        {
            tasks.forget(body);
        }
        answer(responder, json::object(), status);
    }
};

} // namespace

int main(int count, char** arguments)
{
    const sigset_t signals = block_stop_signals();
    const options given(count, arguments);
    timer timers;
    machine all{.requests = executor(given, timers),
                .tasks = worker(given, timers)};
    const http_server server(
        {.address = given.text("address", "127.0.0.1"),
         .port = static_cast<std::uint16_t>(given.number("port", 0))},
        [&](const http_request& request, http_responder responder)
        {
            all.serve(request,
                      std::make_shared<http_responder>(std::move(responder)));
        });
    std::cout << server.port() << std::endl;
    await_stop(signals);
}
