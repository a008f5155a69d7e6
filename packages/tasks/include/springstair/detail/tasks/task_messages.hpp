#pragma once

#include <springstair/detail/tasks/task_book.hpp>

#include <string>

namespace springstair
{

/// @brief Entry to guard: run this attempt. Repeating it is harmless.
struct start_task
{
    task_spec spec;
    std::int64_t attempt = 0;
    std::string incarnation; ///< of the guard that is meant
    std::string checkpoint;
    std::int64_t shard = 0;
    std::int64_t epoch = 0; ///< grows with each holder of the shard

    bool operator==(const start_task&) const = default;
};

/// @brief Entry to guard: end this attempt, whether or not it started.
struct stop_task
{
    std::string task;
    std::int64_t attempt = 0;
    std::int64_t shard = 0;
    std::int64_t epoch = 0;
    bool keep_checkpoint = false; ///< an eviction, not a cancel

    bool operator==(const stop_task&) const = default;
};

/// @brief Guard to entry: what it did with a start or a stop.
struct task_reply
{
    bool accepted = false;
    std::string reason; ///< why not

    bool operator==(const task_reply&) const = default;
};

void to_json(json& to, const start_task& from);
void from_json(const json& from, start_task& to);
void to_json(json& to, const stop_task& from);
void from_json(const json& from, stop_task& to);
void to_json(json& to, const task_reply& from);
void from_json(const json& from, task_reply& to);

} // namespace springstair
