#pragma once

#include <springstair/membership.hpp>

#include <map>
#include <set>

namespace springstair
{

/// @brief When an executor is left alone.
struct outlier_options
{
    int failures_in_a_row = 5;
    duration first_ejection = std::chrono::seconds(1);
    duration max_ejection = std::chrono::seconds(30);
    double max_ejected = 0.34;       ///< share of the known guards
    double bad_class_failures = 0.5; ///< above it, the class is to blame
};

/// @brief What a result changed.
enum class outlier_change : std::uint8_t
{
    none,
    ejected,
    restored
};

/// @brief Notices executors that fail what they are given.
///
/// An ejected guard gets nothing for a while that doubles each time, then
/// one request at a time as a probe, until one succeeds. A class that
/// fails on most guards is not held against any of them.
class outlier_detector
{
public:
    /// @param options when a guard is ejected
    explicit outlier_detector(outlier_options options = {});

    /// @brief Takes in a result. @param known how many guards there are
    outlier_change record(time_point now, const guard_name& guard,
                          const class_name& of, bool success,
                          std::size_t known);
    /// @brief Whether a request may go to the guard now. A probe asks for a
    /// request that can be repeated.
    [[nodiscard]] bool may_send(time_point now, const guard_name& guard,
                                bool repeatable) const;
    /// @brief A request was sent; it is the probe if the guard is ejected.
    void sent(time_point now, const guard_name& guard);
    /// @brief A request that was sent never reached the executor.
    void returned(const guard_name& guard);
    /// @brief The guard's process is a new one: past failures are forgotten.
    void forget(const guard_name& guard);
    /// @brief Guards ejected or on probation.
    [[nodiscard]] std::set<guard_name> ejected() const;

private:
    struct record_of_guard
    {
        int failures = 0;
        int ejections = 0;
        bool ejected = false;
        bool probing = false;
        time_point probed; ///< a probe that is never heard of counts no more
                           ///< after the longest ejection
        time_point until;
    };

    [[nodiscard]] bool class_is_bad(const class_name& of) const;
    void learn_class(const class_name& of, bool success);
    [[nodiscard]] bool may_eject(std::size_t known) const;
    void eject(time_point now, record_of_guard& record) const;

    outlier_options options_;
    std::map<guard_name, record_of_guard> guards_;
    std::map<class_name, double> class_failures_;
};

} // namespace springstair
