#pragma once

#include <springstair/detail/core/names.hpp>
#include <springstair/detail/core/time.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace springstair
{

/// @brief The metrics of one process, exposed in the Prometheus text format.
///
/// Classes beyond the first @ref max_classes share the label `other`, so that
/// a workspace cannot grow the process's memory by naming new classes.
class metrics
{
public:
    /// @brief Maximum number of distinct class labels.
    static constexpr std::size_t max_classes = 4096;

    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// @brief Adds @p value, in seconds, to the histogram @p name of a class.
    /// Thread-safe.
    void observe(std::string_view name, const class_name& work_class,
                 duration value);
    /// @brief Increments the counter @p name of a class and reason, such as
    /// refusals by reason.
    void count(std::string_view name, const class_name& work_class,
               std::string_view reason);
    /// @brief Sets the process-wide gauge @p name.
    void set(std::string_view name, double value);
    /// @brief All metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace springstair
