#pragma once

#include <springstair/jobs.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Thresholds for throttling best-effort tasks that run on the same
/// worker as latency-critical ones.
///
/// The headroom of a latency-critical task is its target latency divided by its
/// tail latency. All headroom bounds but slow_all_below lie above 1, because
/// the figures are rough and describe the previous half second.
struct interference_options
{
    /// Below this headroom, best-effort tasks with known interference are
    /// slowed. Values further above 1 stop best-effort tasks although the tail
    /// latencies are well below their targets: with slow_below = 1.2 and
    /// slow_to = 1.4, heavy jobs lost 0.054 of their value and latency-critical
    /// tasks gained 0.020 of theirs (means of 40 simulated days).
    double slow_below = 1.1;
    /// Headroom to reach by that slowing.
    double slow_to = 1.25;
    /// Below this headroom all best-effort tasks are slowed, if the known
    /// interference does not explain it.
    double slow_all_below = 1.0;
    /// Best-effort tasks are sped up only as far as all tasks they interfere
    /// with keep this headroom.
    double raise_above = 1.25;
    /// Minimum factor of one slowing step for images with known interference.
    double min_factor = 0.1;
    /// Factor of one slowing step for all images while the cause is unknown.
    double slow_all_factor = 0.6;
    /// Known interference below this share of the missing headroom does not
    /// explain it.
    double explained = 0.3;
    /// A pair's interference below this is noise. Unit: headroom that the
    /// latency-critical image loses per whole worker used by the best-effort
    /// image. (Trials at both sites: harmless pairs are below 1, harmful ones
    /// at 4 and more.)
    double interfering = 1.2;
    /// Below this pace, in percent, best-effort tasks stop: a very slow task
    /// still interferes and hardly progresses.
    double min_pace = 10;
    /// Time over target after which all best-effort tasks stop; half of what
    /// the platform tolerates.
    duration max_over_target = std::chrono::milliseconds(1900);
    /// Minimum time between steps: the figures cover the last half second.
    duration step = std::chrono::milliseconds(500);
};

/// @brief Properties of a run that throttling depends on.
struct run_traits
{
    bool fills = false;
    std::int64_t latency_target_ms = 0; ///< 0: not latency-critical
    std::string image;
};

/// @brief A change of pace and its cause.
struct pace_change
{
    std::string filling; ///< image of the best-effort tasks
    double pace = 100;   ///< new pace, percent
    std::string serving; ///< image whose tail is too high; empty: raised
    double headroom = 0; ///< of `serving`
    bool known = false;  ///< interference of the pair is known
    double use = 0;      ///< by `filling`, share of the processors
};

/// @brief Sets the pace of best-effort tasks on one worker, by image, from the
/// tail latencies of its latency-critical tasks and the known interference
/// between pairs of images.
class interference_controller
{
public:
    explicit interference_controller(interference_options options = {});

    /// @brief Stores the leader's newest interference values for pairs of
    /// images on this worker.
    void learn(const std::vector<pair_interference>& pairs);

    /// @brief Adjusts the paces to the rows of an executor snapshot, at most
    /// once per interference_options::step.
    /// @param traits of the known runs, by task
    /// @param capacity of the worker, in thousandths of a processor
    void observe(const std::vector<running_task>& running,
                 const std::map<std::string, run_traits>& traits,
                 std::int64_t capacity, time_point now);

    /// @brief Returns and clears the changes since the last call, without stops
    /// due to max_over_target.
    std::vector<pace_change> take_changes();

    /// @brief Paces of all slowed images, in percent.
    [[nodiscard]] std::map<std::string, std::int64_t> paces() const;

    /// @brief Pace of an image's best-effort tasks, in percent.
    [[nodiscard]] std::int64_t pace(const std::string& image) const;

private:
    /// Figures of one snapshot.
    struct figures
    {
        std::map<std::string, double> headroom; ///< minimum, by image
        std::map<std::string, double> use; ///< best-effort share of capacity
    };

    [[nodiscard]] double interference_of(const std::string& serving,
                                         const std::string& filling) const;
    [[nodiscard]] double known_interference_of(const std::string& serving,
                                               const figures& seen) const;
    void slow_for(const std::string& serving, double headroom,
                  const figures& seen);
    void slow_known(const std::string& serving, double headroom,
                    const figures& seen);
    void slow_all(const std::string& serving, double headroom,
                  const figures& seen);
    void slow(const std::string& filling, double factor, pace_change change);
    void stop_all(const figures& seen);
    void raise(const figures& seen);
    [[nodiscard]] double max_raise(const std::string& filling, double full,
                                   const figures& seen) const;

    interference_options options_;
    std::map<std::string, std::map<std::string, double>> known_interference_;
    std::vector<pace_change> changes_;
    std::map<std::string, double> pace_; ///< slowed images only
    time_point next_step_{};
    std::optional<time_point> over_since_;
};

} // namespace springstair
