#pragma once

#include <algorithm>
#include <cmath>

namespace springstair
{

/// @brief Bounds of the test for faulty executors.
struct fault_detector_options
{
    /// Assumed share of failed runs on a faulty executor. One that fails all is
    /// detected sooner; one that fails a fifth later or not at all, as
    /// continuing to use it costs less than doing without.
    double faulty_share = 0.5;
    /// Log-likelihood ratio of "faulty" to "healthy" at which an executor is
    /// ejected: 3,000 to 1. With a general failure rate of 5% that is four
    /// failures in a row, with 0.5% two.
    double fault_threshold = 8;
    /// Score of an executor that returns after an ejection: half the threshold,
    /// so that one failure, which one run in twenty has at 5%, does not eject
    /// it again.
    double score_at_return = 4;
    /// Weight decay per end of a run in the general failure rate: about the
    /// last five hundred count, two seconds of 62 workers.
    double decay = 0.998;
    /// Prior of that rate: this many ends with this share of failures.
    double assumed_ends = 20;
    double assumed_share = 0.02;
    /// Bounds of that rate: below, one failure would be enough evidence; above,
    /// failures are common to all executors and no evidence against one.
    double min_share = 0.005;
    double max_share = 0.2;
};

/// @brief Distinguishes faulty executors from runs that fail by themselves, by
/// the general failure rate of all executors.
///
/// A sequential test: each end of a run adds to an executor's fault score the
/// logarithm of how much likelier it is on a faulty executor than in general;
/// the score does not fall below zero. Counting failures in a row instead gave
/// a false alarm in one of 8,000 runs at a 5% failure rate, and kept
/// executors ejected long after they were healthy again.
class fault_detector
{
public:
    explicit fault_detector(fault_detector_options options = {})
        : options_(options), ends_(options.assumed_ends),
          failures_(options.assumed_ends * options.assumed_share)
    {
    }

    /// @brief An executor's fault score after one more run ended there.
    [[nodiscard]] double fault_score_after(double fault_score, bool failed)
    {
        const double general_share = share();
        const double weight =
            failed
                ? std::log(options_.faulty_share / general_share)
                : std::log((1 - options_.faulty_share) / (1 - general_share));
        // Executors with a high score are left out of the general rate: a
        // faulty one fails its runs quickly and so gets more runs than others.
        if (fault_score < options_.score_at_return)
        {
            ends_ = ends_ * options_.decay + 1;
            failures_ = failures_ * options_.decay + (failed ? 1 : 0);
        }
        return std::max(0.0, fault_score + weight);
    }

    /// @brief Whether an executor with this score is faulty.
    [[nodiscard]] bool is_faulty(double fault_score) const noexcept
    {
        return fault_score >= options_.fault_threshold;
    }

    /// @brief The score of an executor that returns after an ejection.
    [[nodiscard]] double fault_score_at_return() const noexcept
    {
        return options_.score_at_return;
    }

    /// @brief The present failure rate of the runs of all executors.
    [[nodiscard]] double share() const noexcept
    {
        return std::clamp(failures_ / ends_, options_.min_share,
                          options_.max_share);
    }

private:
    fault_detector_options options_;
    double ends_;
    double failures_;
};

} // namespace springstair
