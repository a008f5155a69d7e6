#include <springstair/policy.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

constexpr double class_learning_rate = 0.02;
constexpr int max_doublings = 10;

} // namespace

outlier_detector::outlier_detector(outlier_options options) : options_(options)
{
}

bool outlier_detector::class_is_bad(const class_name& of) const
{
    const auto found = class_failures_.find(of);
    return found != class_failures_.end() &&
           found->second > options_.bad_class_failures;
}

void outlier_detector::learn_class(const class_name& of, bool success)
{
    double& rate = class_failures_[of];
    rate += class_learning_rate * ((success ? 0.0 : 1.0) - rate);
}

bool outlier_detector::may_eject(std::size_t known) const
{
    const auto count = static_cast<double>(ejected().size());
    const double most =
        std::max(1.0, options_.max_ejected * static_cast<double>(known));
    return known > 1 && count + 1 <= most;
}

void outlier_detector::eject(time_point now, record_of_guard& record) const
{
    const int doublings = std::min(record.ejections, max_doublings);
    const duration length = options_.first_ejection * (1 << doublings);
    record.ejected = true;
    record.probing = false;
    record.until = now + std::min(length, options_.max_ejection);
    ++record.ejections;
}

outlier_change outlier_detector::record(time_point now, const guard_name& guard,
                                        const class_name& of, bool success,
                                        std::size_t known)
{
    learn_class(of, success);
    record_of_guard& record = guards_[guard];
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
    if (class_is_bad(of))
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
    if (record.failures < options_.failures_in_a_row || !may_eject(known))
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
    const record_of_guard& record = found->second;
    const bool probe_out =
        record.probing && now - record.probed <= options_.max_ejection;
    return repeatable && !probe_out && now >= record.until;
}

void outlier_detector::sent(time_point now, const guard_name& guard)
{
    const auto found = guards_.find(guard);
    if (found != guards_.end() && found->second.ejected)
    {
        found->second.probing = true;
        found->second.probed = now;
    }
}

void outlier_detector::returned(const guard_name& guard)
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
