#pragma once

#include <springstair/membership.hpp>

#include <map>
#include <set>

namespace springstair
{

/// @brief When and for how long a guard's executor is ejected.
struct outlier_options
{
    int ejection_threshold = 5;
    duration first_ejection = std::chrono::seconds(1);
    duration max_ejection = std::chrono::seconds(30);
    double max_ejected_share = 0.34;     ///< share of known guards
    double max_class_failure_rate = 0.5; ///< failure rate above which a
                                         ///< failure is blamed on the class
};

/// @brief State change of a guard caused by a result.
enum class outlier_change : std::uint8_t
{
    none,
    ejected,
    restored
};

/// @brief Detects and ejects executors that fail their requests.
///
/// An ejected guard receives nothing for a time that doubles with each of its
/// ejections, up to max_ejection, then one request at a time as a probe, until
/// a probe succeeds.
/// Failures of a class with a high failure rate over all guards are not
/// counted against a guard.
class outlier_detector
{
public:
    /// @param options when a guard is ejected
    explicit outlier_detector(outlier_options options = {});

    /// @brief Records the result of a request.
    /// @param known number of known guards
    outlier_change record(time_point now, const guard_name& guard,
                          const class_name& work_class, bool success,
                          std::size_t known);
    /// @brief Whether a request may be sent to the guard now. Only a
    /// repeatable request may be a probe.
    [[nodiscard]] bool may_send(time_point now, const guard_name& guard,
                                bool repeatable) const;
    /// @brief Called when a request was sent; if the guard is ejected, it is
    /// the probe.
    void sent(time_point now, const guard_name& guard);
    /// @brief Called when a sent request gives no evidence about the executor:
    /// if it was the probe, another probe may be sent.
    void discard_probe(const guard_name& guard);
    /// @brief Clears the state of a guard, after its process restarted.
    void forget(const guard_name& guard);
    /// @brief Guards that are ejected, including those being probed.
    [[nodiscard]] std::set<guard_name> ejected() const;

private:
    struct guard_record
    {
        int failures = 0;
        int ejections = 0;
        bool ejected = false;
        bool probing = false;
        time_point probe_sent_at; ///< a probe without a result is ignored after
                                  ///< max_ejection
        time_point ejected_until; ///< no probe before
    };

    [[nodiscard]] bool is_failing_class(const class_name& work_class) const;
    void update_class_failures(const class_name& work_class, bool success);
    [[nodiscard]] bool may_eject(std::size_t known) const;
    void eject(time_point now, guard_record& record) const;

    outlier_options options_;
    std::map<guard_name, guard_record> guards_;
    std::map<class_name, double> class_failures_;
};

} // namespace springstair
