#pragma once

#include <springstair/detail/core/names.hpp>
#include <springstair/detail/core/time.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace springstair
{

/// @brief The metrics of one process, in Prometheus' text form.
///
/// Classes beyond @ref max_classes share the label `other`, so that a
/// workspace cannot grow a process's memory by naming classes.
class metrics
{
public:
    /// @brief Bound on the number of class labels of one process.
    static constexpr std::size_t max_classes = 4096;

    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// @brief Adds a reading to the histogram @p name of a class, in
    /// seconds. Safe from any thread.
    void observe(std::string_view name, const class_name& of, duration value);
    /// @brief Counts an event of a class, such as a refusal by reason.
    void count(std::string_view name, const class_name& of,
               std::string_view reason);
    /// @brief Sets a value of the whole process.
    void set(std::string_view name, double value);
    /// @brief Everything, as the text that a scrape expects.
    [[nodiscard]] std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace springstair
