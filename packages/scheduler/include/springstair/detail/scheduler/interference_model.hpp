#pragma once

#include <springstair/detail/scheduler/sibling_headroom.hpp>
#include <springstair/jobs.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Parameters of the interference model.
struct interference_model_options
{
    /// Weight decay of older samples per new sample: about the last five
    /// thousand count, a minute of 45 tasks of one image.
    double decay = 0.9998;
    /// Assumed interference of a pair without samples: the mean of the pairs of
    /// both sites. It spreads best-effort tasks of an unknown image.
    double default_interference = 1.0;
    /// Weight of that assumption: a few changes of use by a tenth of a worker
    /// (trials on both sites).
    double prior_weight = 0.03;
    /// Samples of a task further apart are not compared: the load has changed,
    /// too.
    duration max_gap = std::chrono::milliseconds(900);
    /// Headroom below this is saturated and no longer falls with interference;
    /// two such samples are not compared.
    double min_headroom = 0.2;
    /// Changes of use below this are measurement noise.
    double min_change = 0.01;
    /// Maximum number of best-effort images; nothing is learnt of further ones.
    std::size_t max_images = 48;
    /// Weight of what a previous leader learnt; compare @ref prior_weight.
    double inherited_weight = 0.05;
    /// Interference below this is not handed to a successor.
    double min_interference = 1.2;
    /// Iterations of the fit per sample; it starts from the last result.
    int fit_iterations = 2;
};

/// @brief A sample of a latency-critical task.
struct serving_sample
{
    std::string task;
    std::string job;
    std::string image;
    double headroom = 0; ///< latency target divided by tail latency
};

/// @brief Learns from coarse samples which best-effort images interfere with
/// which latency-critical ones.
///
/// Headroom is a latency-critical task's target latency divided by its tail
/// latency: 1 at the target, more below it. Because of queueing, it falls about
/// linearly with the task's own load and with interference. The model fits the
/// difference between the mean headroom of the task's siblings and its own to
/// the difference in best-effort use beside it, by image; the load, which
/// siblings share, cancels out. Where siblings give no information (too few, or
/// all beside the same best-effort use), it fits the change since the task's
/// last sample. With 71,000 samples of one simulated day of 160 workers, the
/// mean error of a pair's interference (0 to 8) after 15, 20 and 30 s is 0.98,
/// 0.78 and 0.52 with siblings; 1.25, 1.03 and 0.86 with changes alone.
/// Interference is at least zero. A sample costs O(images^2).
class interference_model
{
public:
    explicit interference_model(interference_model_options options = {});

    /// @brief Learns from a task's sample and the best-effort use beside it.
    void observe(const serving_sample& sample, const fill_usage& beside,
                 time_point now);

    /// @brief Headroom that a pair would cost if best-effort tasks of that
    /// image used a whole worker; the assumed value if nothing is known.
    [[nodiscard]] double
    interference_coefficient(const std::string& serving,
                             const std::string& filling) const;
    /// @brief All pairs with significant interference, for a successor.
    [[nodiscard]] std::vector<pair_interference> known() const;
    /// @brief Starts from what a previous leader learnt.
    void adopt(const std::vector<pair_interference>& harms);

    /// @brief Headroom that all of this best-effort use costs.
    [[nodiscard]] double interference_of(const std::string& serving,
                                         const fill_usage& beside) const;

private:
    struct past_sample
    {
        time_point recorded_at;
        headroom_sample sample;
    };

    /// Normal equations of the least-squares fit of one latency-critical image,
    /// and their solution; by index of the best-effort image.
    struct fit
    {
        std::vector<std::vector<double>> products;
        std::vector<double> targets;
        std::vector<double> harms;
    };

    std::optional<std::size_t> index_of(const std::string& filling);
    std::vector<std::pair<std::size_t, double>>
    changes(const fill_usage& before, const fill_usage& after);
    bool compare(const std::string& serving, const headroom_sample& reference,
                 const headroom_sample& sample);
    void learn(fit& estimate, double loss,
               const std::vector<std::pair<std::size_t, double>>& changes);
    void resize(fit& estimate) const;
    void solve(fit& estimate) const;
    void forget_old(time_point now);

    interference_model_options options_;
    std::map<std::string, std::size_t> images_;
    std::map<std::string, fit> fits_;
    std::map<std::string, past_sample> last_;          ///< by task
    std::map<std::string, sibling_headroom> siblings_; ///< by job
    time_point next_cleaning_{};
};

} // namespace springstair
