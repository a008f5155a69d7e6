// Open-loop load generator: sends requests to entries and prints the results.
//
// The plan (a JSON file) lists the entries and the streams. Each stream has a
// credential, a class, a rate and a distribution of service times. Open loop:
// requests are sent at their scheduled times, however late answers are.

#include <springstair/transport.hpp>

#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>
#include <vector>

namespace
{

using namespace springstair; // NOLINT: a program of its own

constexpr std::size_t clients = 2;
constexpr duration health_period = std::chrono::milliseconds(100);
constexpr double percent = 100.0;

struct target
{
    std::string address;
    std::string data_centre;
    std::shared_ptr<std::atomic<bool>> healthy =
        std::make_shared<std::atomic<bool>>(true);
};

struct stream
{
    std::string label;
    std::string credential;
    std::string work_class;
    std::string workspace;
    double rate = 0;       ///< requests per second
    double service_ms = 1; ///< mean
    bool fixed = false;    ///< constant instead of log-normal service time
    std::int64_t deadline_ms = 10'000;
    std::string repeatable;
};

struct tally
{
    std::int64_t sent = 0;
    std::int64_t answered = 0;
    std::int64_t in_window = 0; ///< of these, before sending ended
    std::int64_t failed = 0;
    std::int64_t mixed = 0; ///< answers to another request
    std::map<std::string, std::int64_t> not_run;
    std::map<std::string, std::int64_t> unknown;
    std::vector<double> latencies_ms;
    std::vector<std::string> ids_not_run;
    std::vector<std::string> ids_answered;
    std::vector<std::string> ids_unknown;
};

std::string required(const json& document, const char* key)
{
    return document.at(key).get<std::string>();
}

stream parse_stream(const json& document)
{
    return {.label = required(document, "label"),
            .credential = document.value("credential", std::string()),
            .work_class = required(document, "class"),
            .workspace = document.value("workspace", std::string()),
            .rate = document.at("rate"),
            .service_ms = document.value("service_ms", 1.0),
            .fixed = document.value("fixed", false),
            .deadline_ms = document.value("deadline_ms", 10'000),
            .repeatable = document.value("repeatable", std::string())};
}

double percentile(std::vector<double>& sorted, double which)
{
    if (sorted.empty())
    {
        return 0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(last * which / percent)];
}

class generator
{
public:
    explicit generator(const json& plan)
        : random_(plan.value("seed", std::uint64_t{1})),
          length_(std::chrono::milliseconds(
              plan.at("duration_ms").get<std::int64_t>())),
          client_delay_(std::chrono::microseconds(
              plan.value("client_delay_us", std::int64_t{0}))),
          prefix_(plan.value("prefix", std::string("r"))),
          check_(plan.value("balancer", true))
    {
        for (const json& one : plan.at("targets"))
        {
            targets_.push_back({required(one, "address"),
                                one.value("data_centre", std::string())});
        }
        for (const json& one : plan.at("streams"))
        {
            streams_.push_back(parse_stream(one));
        }
        tallies_.resize(streams_.size());
    }

    void run()
    {
        begin_ = boot_clock::now();
        std::vector<time_point> next;
        for (const stream& one : streams_)
        {
            next.push_back(begin_ + next_delay(one));
        }
        while (true)
        {
            const auto first = std::min_element(next.begin(), next.end());
            if (*first >= begin_ + length_)
            {
                break;
            }
            if (check_ && boot_clock::now() >= next_check_)
            {
                check_health();
            }
            std::this_thread::sleep_for(*first - boot_clock::now());
            const auto index = static_cast<std::size_t>(first - next.begin());
            send(index, *first);
            *first += next_delay(streams_[index]);
        }
        const absl::MutexLock lock(&mutex_);
        mutex_.Await(absl::Condition(this, &generator::all_ended));
    }

    json results(bool with_ids)
    {
        json all = json::object();
        for (std::size_t index = 0; index < streams_.size(); ++index)
        {
            all[streams_[index].label] = result(tallies_[index], with_ids);
        }
        return all;
    }

private:
    bool all_ended() const
    {
        return open_ == 0;
    }

    duration next_delay(const stream& source)
    {
        return from_seconds(
            std::exponential_distribution<double>(source.rate)(random_));
    }

    double service_of(const stream& source)
    {
        if (source.fixed)
        {
            return source.service_ms;
        }
        // Log-normal with mean service_ms: a long tail, as for rendering.
        constexpr double sigma = 0.5;
        std::lognormal_distribution<double> shape(-sigma * sigma / 2, sigma);
        return source.service_ms * shape(random_);
    }

    void send(std::size_t index, time_point due)
    {
        const stream& source = streams_[index];
        const std::string id =
            prefix_ + "-" + source.label + "-" + std::to_string(next_id_++);
        const std::uint64_t first = healthy_from(next_id_);
        const target& chosen = targets_[first % targets_.size()];
        header_map headers{
            {"springstair-credential", source.credential},
            {"springstair-class", source.work_class},
            {"springstair-attempt", id},
            {"springstair-workspace", source.workspace},
            {"springstair-deadline-ms", std::to_string(source.deadline_ms)},
            {"x-client-dc", chosen.data_centre}};
        if (!source.repeatable.empty())
        {
            headers["springstair-repeatable"] = source.repeatable;
        }
        {
            const absl::MutexLock lock(&mutex_);
            ++open_;
            ++tallies_[index].sent;
        }
        const json body{{"id", id}, {"service_ms", service_of(source)}};
        http_call call{
            .method = "POST",
            .url = {},
            .headers = std::move(headers),
            .body = make_body(body.dump()),
            .timeout = std::chrono::milliseconds(source.deadline_ms + 2000)};
        dispatch(index, id, due, std::move(call), first, targets_.size());
    }

    // The first target at or after this index that passed its last health
    // check.
    std::uint64_t healthy_from(std::uint64_t first) const
    {
        for (std::uint64_t step = 0; step < targets_.size(); ++step)
        {
            if (*targets_[(first + step) % targets_.size()].healthy)
            {
                return first + step;
            }
        }
        return first;
    }

    void check_health()
    {
        next_check_ = boot_clock::now() + health_period;
        for (const target& one : targets_)
        {
            clients_[0].send({.method = "GET",
                              .url = "http://" + one.address + "/healthz",
                              .timeout = health_period},
                             [healthy = one.healthy](const http_result& result)
                             {
                                 *healthy = result.how == delivery::answered &&
                                            result.response.status == 200;
                             });
        }
    }

    // Like a load balancer, tries the next entry if one refuses the
    // connection.
    void dispatch(std::size_t index, const std::string& id, time_point due,
                  http_call call, std::uint64_t target_index, std::size_t left)
    {
        call.url = "http://" +
                   targets_[target_index % targets_.size()].address +
                   "/v1/request";
        clients_[target_index % clients].send(
            call,
            [this, index, id, due, call, target_index,
             left](const http_result& result)
            {
                if (result.how == delivery::not_sent && left > 1)
                {
                    dispatch(index, id, due, call, target_index + 1, left - 1);
                    return;
                }
                record_result(index, id, due, result);
            });
    }

    void record_result(std::size_t index, const std::string& id, time_point due,
                       const http_result& result)
    {
        const duration waited = boot_clock::now() - due + 2 * client_delay_;
        const absl::MutexLock lock(&mutex_);
        tally& counts = tallies_[index];
        --open_;
        if (result.how != delivery::answered)
        {
            ++counts.unknown["no answer: " + result.error];
            counts.ids_unknown.push_back(id);
            return;
        }
        if (const auto problem = problem_of(result.response))
        {
            const std::string reason(to_string(problem->reason));
            if (problem->result == outcome::not_run)
            {
                ++counts.not_run[reason];
                counts.ids_not_run.push_back(id);
                return;
            }
            ++counts.unknown[reason];
            counts.ids_unknown.push_back(id);
            return;
        }
        const json body = json::parse(*result.response.body, nullptr, false);
        const bool own = body.is_object() && body.value("id", "") == id;
        counts.mixed += own ? 0 : 1;
        if (result.response.status != 200)
        {
            ++counts.failed;
            return;
        }
        ++counts.answered;
        counts.in_window += boot_clock::now() < begin_ + length_ ? 1 : 0;
        counts.ids_answered.push_back(id);
        const double millis = 1000 * to_seconds(waited);
        counts.latencies_ms.push_back(millis);
    }

    static json result(tally& counts, bool with_ids)
    {
        std::sort(counts.latencies_ms.begin(), counts.latencies_ms.end());
        json all{{"sent", counts.sent},
                 {"answered", counts.answered},
                 {"in_window", counts.in_window},
                 {"failed", counts.failed},
                 {"mixed", counts.mixed},
                 {"not_run", counts.not_run},
                 {"unknown", counts.unknown},
                 {"p50_ms", percentile(counts.latencies_ms, 50)},
                 {"p99_ms", percentile(counts.latencies_ms, 99)},
                 {"p999_ms", percentile(counts.latencies_ms, 99.9)}};
        if (with_ids)
        {
            all["ids"] = {{"not_run", counts.ids_not_run},
                          {"answered", counts.ids_answered},
                          {"unknown", counts.ids_unknown}};
        }
        return all;
    }

    std::mt19937_64 random_;
    duration length_;
    duration client_delay_;
    std::string prefix_;
    bool check_ = true; ///< off if the targets are executors
    std::vector<target> targets_;
    std::vector<stream> streams_;
    std::vector<tally> tallies_;
    std::uint64_t next_id_ = 0;
    time_point next_check_{};
    std::int64_t open_ = 0;
    time_point begin_;
    absl::Mutex mutex_;
    http_client clients_[clients];
};

} // namespace

int main(int count, char** arguments)
{
    if (count < 2)
    {
        std::cerr << "usage: springstair_load PLAN.json [ids]\n";
        return 2;
    }
    std::ifstream file(arguments[1]); // NOLINT
    generator all(json::parse(file));
    all.run();
    std::cout << all.results(count > 2).dump() << std::endl;
}
