#pragma once

#include <springstair/jobs.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Bounds of the control of tasks that fill beside tasks that serve.
///
/// A serving task's headroom is its target divided by its tail. The bounds
/// lie above 1 because the figures are rough and of the half second before.
struct interference_options
{
    /// Below this headroom, fills that are known to harm are slowed. Kept
    /// further above 1, fills stand still beside tails that are well below
    /// their targets: 1.2 and 1.4 cost heavy work 0.054 of its worth and
    /// saved serving tasks 0.020 of theirs (means of 40 played days).
    double slow_below = 1.1;
    /// What the headroom should come to by that.
    double slow_to = 1.25;
    /// Below this headroom all fills are slowed, if those that are known to
    /// harm do not explain it.
    double slow_all_below = 1.0;
    /// Fills get faster as far as that leaves this headroom to all whom they
    /// harm.
    double raise_above = 1.25;
    /// Least factor of one step for fills that are known to harm, and the
    /// factor for all of them while it is not known which ones do.
    double min_factor = 0.1;
    double slow_all_factor = 0.6;
    /// Known harm below this share of what is missing does not explain it.
    double explained = 0.3;
    /// A pair's harm below this is noise (trials on both sites: harmless
    /// pairs come out below 1, harmful ones at 4 and more).
    double interfering = 1.2;
    /// Below this pace, in percent, fills stand still: a crawl harms and
    /// hardly helps.
    double min_pace = 10;
    /// A tail over its target for so long stops all fills; half of what the
    /// platform bears.
    duration max_over_target = std::chrono::milliseconds(1900);
    /// Time between steps: the figures are of the last half second.
    duration step = std::chrono::milliseconds(500);
};

/// @brief What the control knows of a run.
struct run_traits
{
    bool fills = false;
    std::int64_t latency_target_ms = 0; ///< 0: it serves nobody
    std::string image;
};

/// @brief A change of pace and what decided it.
struct pace_change
{
    std::string filling;
    double pace = 100;   ///< percent, from now on
    std::string serving; ///< whose tail decided; empty: all bear it
    double headroom = 0; ///< of that one
    bool known = false;  ///< the pair is known to harm
    double use = 0;      ///< by these fills, share of the processors
};

/// @brief Sets the pace of one worker's fills, by image, from the tails of
/// the tasks that serve there and the harm that is known of pairs of images.
class interference_controller
{
public:
    explicit interference_controller(interference_options options = {});

    /// @brief The holder's newest knowledge of pairs that are here.
    void learn(const std::vector<pair_interference>& harms);

    /// @brief Takes a look's rows into account.
    /// @param traits of the runs that are known, by task
    /// @param capacity of the worker, in thousandths of a processor
    void observe(const std::vector<running_task>& running,
                 const std::map<std::string, run_traits>& traits,
                 std::int64_t capacity, time_point now);

    /// @brief Changes since the last call.
    std::vector<pace_change> take_changes();

    /// @brief The paces of all images that are slowed, in percent.
    [[nodiscard]] std::map<std::string, std::int64_t> paces() const;

    /// @brief The pace of fills of an image, in percent.
    [[nodiscard]] std::int64_t pace(const std::string& image) const;

private:
    /// What one look says.
    struct figures
    {
        std::map<std::string, double> headroom; ///< least, by image
        std::map<std::string, double> use;      ///< by fills, share of capacity
    };

    [[nodiscard]] double interference_of(const std::string& serving,
                                         const std::string& filling) const;
    [[nodiscard]] double known_interference_of(const std::string& serving,
                                               const figures& now) const;
    void slow_for(const std::string& serving, double headroom,
                  const figures& now);
    void slow_known(const std::string& serving, double headroom,
                    const figures& now);
    void slow_all(const std::string& serving, double headroom,
                  const figures& now);
    void slow(const std::string& filling, double factor, pace_change why);
    void raise(const figures& now);
    [[nodiscard]] double bearable_raise(const std::string& filling, double full,
                                        const figures& now) const;

    interference_options options_;
    std::map<std::string, std::map<std::string, double>> known_interference_;
    std::vector<pace_change> changes_;
    std::map<std::string, double> pace_; ///< only images that are slowed
    time_point next_step_{};
    std::optional<time_point> over_since_;
};

} // namespace springstair
