#include <springstair/policy.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

constexpr double class_learning_rate = 0.02;
constexpr int max_doublings = 10; // of the ejection time

} // namespace

outlier_detector::outlier_detector(outlier_options options) : options_(options)
{
}

bool outlier_detector::is_failing_class(const class_name& work_class) const
{
    const auto found = class_failures_.find(work_class);
    return found != class_failures_.end() &&
           found->second > options_.max_class_failure_rate;
}

void outlier_detector::update_class_failures(const class_name& work_class,
                                             bool success)
{
    double& rate = class_failures_[work_class];
    rate += class_learning_rate * ((success ? 0.0 : 1.0) - rate);
}

bool outlier_detector::may_eject(std::size_t known) const
{
    const auto count = static_cast<double>(ejected().size());
    const double limit =
        std::max(1.0, options_.max_ejected_share * static_cast<double>(known));
    return known > 1 && count + 1 <= limit;
}

void outlier_detector::eject(time_point now, guard_record& record) const
{
    const int doublings = std::min(record.ejections, max_doublings);
    const duration length = options_.first_ejection * (1 << doublings);
    record.ejected = true;
    record.probing = false;
    record.ejected_until = now + std::min(length, options_.max_ejection);
    ++record.ejections;
}

outlier_change outlier_detector::record(time_point now, const guard_name& guard,
                                        const class_name& work_class,
                                        bool success, std::size_t known)
{
    update_class_failures(work_class, success);
    guard_record& record = guards_[guard];
    if (success)
    {
        const bool was_ejected = record.ejected && record.probing;
        record.failures = 0;
        if (was_ejected)
        {
            record.ejected = false;
            record.probing = false;
            return outlier_change::restored;
        }
        return outlier_change::none;
    }
    if (is_failing_class(work_class))
    {
        record.probing = false;
        return outlier_change::none;
    }
    ++record.failures;
    if (record.ejected)
    {
        if (record.probing)
        {
            eject(now, record);
        }
        return outlier_change::none;
    }
    if (record.failures < options_.ejection_threshold || !may_eject(known))
    {
        return outlier_change::none;
    }
    eject(now, record);
    return outlier_change::ejected;
}

bool outlier_detector::may_send(time_point now, const guard_name& guard,
                                bool repeatable) const
{
    const auto found = guards_.find(guard);
    if (found == guards_.end() || !found->second.ejected)
    {
        return true;
    }
    const guard_record& record = found->second;
    const bool probe_in_flight =
        record.probing && now - record.probe_sent_at <= options_.max_ejection;
    return repeatable && !probe_in_flight && now >= record.ejected_until;
}

void outlier_detector::sent(time_point now, const guard_name& guard)
{
    const auto found = guards_.find(guard);
    if (found != guards_.end() && found->second.ejected)
    {
        found->second.probing = true;
        found->second.probe_sent_at = now;
    }
}

void outlier_detector::discard_probe(const guard_name& guard)
{
    const auto found = guards_.find(guard);
    if (found != guards_.end())
    {
        found->second.probing = false;
    }
}

void outlier_detector::forget(const guard_name& guard)
{
    guards_.erase(guard);
}

std::set<guard_name> outlier_detector::ejected() const
{
    std::set<guard_name> names;
    for (const auto& [name, record] : guards_)
    {
        if (record.ejected)
        {
            names.insert(name);
        }
    }
    return names;
}

} // namespace springstair
