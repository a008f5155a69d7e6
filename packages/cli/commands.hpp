#pragma once
/// @file
/// What the operators' command line does with its words.

#include <springstair/transport.hpp>

#include <optional>
#include <string>
#include <vector>

namespace springstair::cli
{

inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;      ///< refused; nothing was changed
inline constexpr int exit_usage = 2;       ///< the words are off
inline constexpr int exit_conflict = 3;    ///< somebody else changed the cell
inline constexpr int exit_invalid = 4;     ///< the table would have findings
inline constexpr int exit_unavailable = 5; ///< no entry or no store answers
inline constexpr int exit_unknown = 6;     ///< it may have taken effect

/// @brief One call of the command line.
struct invocation
{
    std::vector<std::string> entries;
    std::string credential;
    bool as_json = false;
    std::optional<std::string> expects;
    std::string workspace;
    bool wait = true;
    std::vector<std::string> words;
};

/// @brief The words of the command line, for `--help`.
const char* usage();

/// @brief Splits a text; empty parts are left out.
std::vector<std::string> split(const std::string& text, char at);

/// @brief Does what the words say. @return the exit code
int run_command(const invocation& call);

} // namespace springstair::cli
