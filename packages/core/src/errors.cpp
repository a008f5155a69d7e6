#include <springstair/core.hpp>

#include <utility>

namespace springstair
{

namespace
{

constexpr int findings_error = 101;
constexpr int unreadable_error = 102;
constexpr int rpc_failed = 301;

std::string describe(const findings& all)
{
    std::string text;
    for (const finding& one : all)
    {
        text += text.empty() ? "" : "; ";
        text += one.place + ": " + one.message;
    }
    return text;
}

} // namespace

exception::exception(int id, const std::string& kind,
                     const std::string& message)
    : std::runtime_error("[springstair." + kind + "." + std::to_string(id) +
                         "] " + message),
      id_(id)
{
}

document_error::document_error(findings all)
    : exception(findings_error, "document_error", describe(all)),
      all_(std::move(all))
{
}

document_error::document_error(const std::string& message)
    : exception(unreadable_error, "document_error", message)
{
}

transport_error::transport_error(int id, const std::string& message)
    : exception(id, "transport_error", message)
{
}

rpc_error::rpc_error(const std::string& message)
    : exception(rpc_failed, "rpc_error", message)
{
}

} // namespace springstair
