#pragma once

#include <springstair/core.hpp>

#include <map>
#include <optional>
#include <string>

namespace springstair
{

/// @brief What fills of each image use of a worker, as a share of it.
using fill_usage = std::map<std::string, double>;

/// @brief A serving task's headroom and what fills used beside it.
struct headroom_sample
{
    double headroom = 0; ///< its target divided by its tail
    fill_usage beside;

    bool operator==(const headroom_sample&) const = default;
};

/// @brief The newest figures of the serving tasks of one job.
///
/// The users of a job load its tasks alike, wherever they are: what differs
/// between their tails at one moment is due to what runs beside them.
class sibling_headroom
{
public:
    /// @brief A task's newest figure.
    void note(const std::string& task, headroom_sample figure, time_point now);
    /// @brief The mean of the others' figures; nothing if there are too few.
    [[nodiscard]] std::optional<headroom_sample>
    mean_without(const std::string& task) const;
    /// @brief When a figure was last noted.
    [[nodiscard]] time_point noted() const noexcept
    {
        return noted_;
    }

private:
    struct entry
    {
        time_point at;
        headroom_sample figure;
    };

    void add(const headroom_sample& figure, double sign);
    void forget_old(time_point now);

    std::map<std::string, entry> of_; ///< by task
    double headroom_ = 0;             ///< sum over all of them
    fill_usage beside_;               ///< likewise
    time_point noted_{};
    time_point next_cleaning_{};
};

} // namespace springstair
