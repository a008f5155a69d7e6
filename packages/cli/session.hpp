#pragma once
/// @file
/// Calls to entries, and the report of errors.

#include "commands.hpp"

namespace springstair::cli
{

/// @brief The answer of an entry.
struct answer
{
    int status = 0; ///< 0: no entry answered
    json body;
    bool may_have_run = false;
};

/// @brief Calls the entries that one invocation names.
class session
{
public:
    /// @param call must outlive the session
    explicit session(const invocation& call);

    /// @brief Tries the entries in order until one answers.
    ///
    /// A call that may have reached an entry is not repeated unless it is a
    /// GET.
    answer ask(const std::string& method, const std::string& path,
               const std::optional<json>& body = std::nullopt);

    /// @brief The invocation of this session.
    [[nodiscard]] const invocation& call() const;

private:
    const invocation& call_;
    http_client client_;
};

/// @brief The exit code for an answer.
int exit_code_of(const answer& response);

/// @brief Prints an error answer to stderr.
/// @return the exit code
int report_error(const answer& response);

} // namespace springstair::cli
