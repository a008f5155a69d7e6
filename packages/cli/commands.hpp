#pragma once
/// @file
/// The commands of the operators' command line.

#include <springstair/transport.hpp>

#include <optional>
#include <string>
#include <vector>

namespace springstair::cli
{

inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;   ///< refused; nothing was changed
inline constexpr int exit_usage = 2;    ///< invalid arguments
inline constexpr int exit_conflict = 3; ///< the cell was changed concurrently
inline constexpr int exit_invalid = 4;  ///< the table would be invalid
inline constexpr int exit_unavailable = 5; ///< no entry answers, or no store
inline constexpr int exit_unknown = 6;     ///< it may have taken effect

/// @brief One invocation of the command line.
struct invocation
{
    std::vector<std::string> entries;
    std::string credential;
    bool as_json = false;
    std::optional<std::string> expects; ///< cell value the operator saw
    std::string workspace; ///< whose tasks `task list` shows; empty: own
    bool wait = true;      ///< until an edit is in force everywhere
    std::vector<std::string> arguments;
};

/// @brief The command summary for `--help`.
const char* usage();

/// @brief Splits a text at a character; empty parts are omitted.
std::vector<std::string> split(const std::string& text, char separator);

/// @brief Executes a command.
/// @return the exit code
int run_command(const invocation& call);

} // namespace springstair::cli
