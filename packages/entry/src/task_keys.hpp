#pragma once
// Store keys of the task shards.

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>

namespace springstair::task_keys
{

inline constexpr const char* owners = "springstair/shards/";

inline std::string padded(std::int64_t number)
{
    std::array<char, 32> digits{};
    std::snprintf(digits.data(), digits.size(), "%012lld",
                  static_cast<long long>(number));
    return digits.data();
}

inline std::string owner(std::int64_t shard)
{
    return owners + padded(shard);
}

inline std::string all_of(std::int64_t shard)
{
    return "springstair/tasks/" + padded(shard) + "/";
}

inline std::string segments(std::int64_t shard)
{
    return all_of(shard) + "segment/";
}

inline std::string segment(std::int64_t shard, std::int64_t sequence)
{
    return segments(shard) + padded(sequence);
}

inline std::string snapshot(std::int64_t shard)
{
    return all_of(shard) + "snapshot";
}

} // namespace springstair::task_keys
