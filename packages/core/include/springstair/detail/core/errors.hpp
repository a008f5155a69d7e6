#pragma once

#include <compare>
#include <stdexcept>
#include <string>
#include <vector>

namespace springstair
{

/// @brief One thing wrong with a document, and where it stands.
struct finding
{
    std::string place; ///< JSON pointer into the document
    std::string message;

    auto operator<=>(const finding&) const = default;
};

/// @brief Everything wrong with a document, in the order of discovery.
using findings = std::vector<finding>;

/// @brief Base of all exceptions of this project.
///
/// @a id is stable; docs/EVENTS.md lists every number with its meaning.
class exception : public std::runtime_error
{
public:
    /// @brief The number of this error.
    [[nodiscard]] int id() const noexcept
    {
        return id_;
    }

protected:
    exception(int id, const std::string& kind, const std::string& message);

private:
    int id_;
};

/// @brief 101: a document has findings; 102: it cannot be read at all.
class document_error : public exception
{
public:
    /// @brief Error 101, with every finding in its message.
    explicit document_error(findings all);
    /// @brief Error 102. @param message why it cannot be read
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
    /// @brief Error @p id with a message.
    transport_error(int id, const std::string& message);
};

/// @brief 301: a JSON-RPC answer reports an error or cannot be read.
class rpc_error : public exception
{
public:
    /// @brief Error 301 with a message.
    explicit rpc_error(const std::string& message);
};

} // namespace springstair
