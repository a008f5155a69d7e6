#pragma once

#include <compare>
#include <stdexcept>
#include <string>
#include <vector>

namespace springstair
{

/// @brief One error in a document and its location.
struct finding
{
    std::string place; ///< JSON pointer into the document
    std::string message;

    auto operator<=>(const finding&) const = default;
};

/// @brief All errors of a document, in the order in which they were found.
using findings = std::vector<finding>;

/// @brief Base of all exceptions of this project.
///
/// @a id is stable; docs/EVENTS.md lists all ids with their meaning.
class exception : public std::runtime_error
{
public:
    /// @brief The stable id of this error.
    [[nodiscard]] int id() const noexcept
    {
        return id_;
    }

protected:
    exception(int id, const std::string& kind, const std::string& message);

private:
    int id_;
};

/// @brief 101: a document has findings; 102: it cannot be parsed at all.
class document_error : public exception
{
public:
    /// @brief Creates error 101, with every finding in its message.
    explicit document_error(findings all);
    /// @brief Creates error 102. @param message why it cannot be parsed
    explicit document_error(const std::string& message);

    /// @brief The findings; empty for error 102.
    [[nodiscard]] const findings& all() const noexcept
    {
        return all_;
    }

private:
    findings all_;
};

/// @brief 201: a socket cannot be opened; 202: a library call failed.
class transport_error : public exception
{
public:
    /// @brief Creates error @p id with a message.
    transport_error(int id, const std::string& message);
};

/// @brief 301: a JSON-RPC answer reports an error or cannot be parsed.
class rpc_error : public exception
{
public:
    /// @brief Creates error 301 with a message.
    explicit rpc_error(const std::string& message);
};

} // namespace springstair
