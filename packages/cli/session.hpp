#pragma once
/// @file
/// Asking entries, and saying what came of it.

#include "commands.hpp"

namespace springstair::cli
{

/// @brief What an entry answered.
struct answer
{
    int status = 0; ///< 0: no entry answered
    json body;
    bool may_have_run = false;
};

/// @brief Asks the entries of one call of the command line.
class session
{
public:
    /// @param call must outlive the session
    explicit session(const invocation& call);

    /// @brief Asks one entry after another until one answers.
    ///
    /// A call that may have reached one is not made again, unless it only
    /// reads.
    answer ask(const std::string& method, const std::string& path,
               const std::optional<json>& body = std::nullopt);

    /// @brief The call this session is for.
    [[nodiscard]] const invocation& call() const;

private:
    const invocation& call_;
    http_client client_;
};

/// @brief The exit code that goes with an answer.
int code_of(const answer& got);

/// @brief Says on the error stream what went wrong. @return the exit code
int complain(const answer& got);

} // namespace springstair::cli
