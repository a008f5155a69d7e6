#include <springstair/core.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <absl/synchronization/mutex.h>

#include <map>
#include <set>
#include <tuple>

namespace springstair
{

namespace
{

const prometheus::Histogram::BucketBoundaries& latency_buckets()
{
    static const prometheus::Histogram::BucketBoundaries buckets{
        0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
        0.5,   1.0,   2.0,   5.0,  10.0, 30.0, 60.0};
    return buckets;
}

} // namespace

struct metrics::state
{
    using counter_key = std::tuple<std::string, class_name, std::string>;

    prometheus::Registry registry;
    absl::Mutex mutex;
    std::set<class_name> classes;
    std::map<std::pair<std::string, class_name>, prometheus::Histogram*>
        histograms;
    std::map<counter_key, prometheus::Counter*> counters;
    std::map<std::string, prometheus::Gauge*> gauges;

    class_name bounded_label(const class_name& work_class)
    {
        if (classes.contains(work_class))
        {
            return work_class;
        }
        if (classes.size() >= max_classes)
        {
            return {.workspace = "other", .work_class = "other"};
        }
        classes.insert(work_class);
        return work_class;
    }
};

metrics::metrics() : state_(std::make_unique<state>()) {}

metrics::~metrics() = default;

void metrics::observe(std::string_view name, const class_name& work_class,
                      duration value)
{
    const absl::MutexLock lock(&state_->mutex);
    const class_name label = state_->bounded_label(work_class);
    auto& histogram = state_->histograms[{std::string(name), label}];
    if (histogram == nullptr)
    {
        histogram = &prometheus::BuildHistogram()
                         .Name("springstair_" + std::string(name) + "_seconds")
                         .Register(state_->registry)
                         .Add({{"workspace", label.workspace},
                               {"class", label.work_class}},
                              latency_buckets());
    }
    histogram->Observe(to_seconds(value));
}

void metrics::count(std::string_view name, const class_name& work_class,
                    std::string_view reason)
{
    const absl::MutexLock lock(&state_->mutex);
    const class_name label = state_->bounded_label(work_class);
    auto& counter =
        state_->counters[{std::string(name), label, std::string(reason)}];
    if (counter == nullptr)
    {
        counter = &prometheus::BuildCounter()
                       .Name("springstair_" + std::string(name) + "_total")
                       .Register(state_->registry)
                       .Add({{"workspace", label.workspace},
                             {"class", label.work_class},
                             {"reason", std::string(reason)}});
    }
    counter->Increment();
}

void metrics::set(std::string_view name, double value)
{
    const absl::MutexLock lock(&state_->mutex);
    auto& gauge = state_->gauges[std::string(name)];
    if (gauge == nullptr)
    {
        gauge = &prometheus::BuildGauge()
                     .Name("springstair_" + std::string(name))
                     .Register(state_->registry)
                     .Add({});
    }
    gauge->Set(value);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

} // namespace springstair
