#pragma once

#include <springstair/jobs.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Bounds of the control of tasks that fill beside tasks that serve.
/// The shares of a target are below it because the figures are rough.
struct interference_options
{
    /// Above this share of its target, a serving task's tail slows fills.
    double slow_above = 0.85;
    /// What a slowed down tail should come to, as a share of its target.
    double slow_to = 0.7;
    /// Below this share, fills that were slowed get faster; apart from the
    /// bound above so that the pace does not swing.
    double raise_below = 0.7;
    /// A step up, in percent of the full pace.
    double raise_by = 20;
    /// Least factor of one step for fills that are known to harm, and the
    /// factor for all of them while it is not known which ones do.
    double least_factor = 0.1;
    double blind_factor = 0.5;
    /// Known harm below this share of the excess does not explain it.
    double explained = 0.4;
    /// A pair's harm below this is noise (trials on both sites: harmless
    /// pairs come out below 1, harmful ones above 3).
    double harmful = 1.0;
    /// Below this pace, in percent, fills stand still: a crawl harms and
    /// hardly helps.
    double least_pace = 10;
    /// A tail over its target for so long stops all fills; half of what the
    /// platform bears.
    duration longest_over = std::chrono::milliseconds(1900);
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

/// @brief Sets the pace of one worker's fills, by image, from the tails of
/// the tasks that serve there and the harm that is known of pairs of images.
class interference
{
public:
    explicit interference(interference_options options = {});

    /// @brief The holder's newest knowledge of pairs that are here.
    void learn(const std::vector<pair_harm>& harms);

    /// @brief Takes a look's rows into account.
    /// @param traits of the runs that are known, by task
    /// @param capacity of the worker, in thousandths of a processor
    void observe(const std::vector<running_task>& running,
                 const std::map<std::string, run_traits>& traits,
                 std::int64_t capacity, time_point now);

    /// @brief The pace of fills of an image, in percent.
    [[nodiscard]] std::int64_t pace(const std::string& image) const;

private:
    /// What one look says.
    struct figures
    {
        std::map<std::string, double> tails; ///< worst by target, by image
        std::map<std::string, double> use;   ///< by fills, share of capacity
    };

    [[nodiscard]] double harm_of(const std::string& serving,
                                 const std::string& filling) const;
    void slow_for(const std::string& serving, double tail, const figures& now);
    void raise_all(const figures& now);

    interference_options options_;
    std::map<std::string, std::map<std::string, double>> harms_;
    std::map<std::string, double> pace_; ///< only images that are slowed
    time_point next_step_{};
    std::optional<time_point> over_since_;
};

} // namespace springstair
