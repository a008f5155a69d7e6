#pragma once
// The body of a request while it arrives.

#include <springstair/transport.hpp>

#include <optional>
#include <string>

namespace springstair
{

/// Collects a body within the limits of its server. The rest of a refused body
/// is read and dropped: a client that sends its whole body before it reads
/// would see a reset in place of the answer.
class request_body
{
public:
    /// @param max_bytes largest body
    /// @param decoded_factor memory that a decoded body needs, in its sizes
    request_body(memory_budget& budget, std::size_t max_bytes,
                 std::size_t decoded_factor) noexcept
        : reservation_(budget), max_bytes_(max_bytes),
          decoded_factor_(decoded_factor)
    {
    }

    /// Prepares for a body whose size is announced.
    void announce(std::size_t bytes);

    /// Takes the next part. Returns false if the connection should be closed:
    /// the client sends on after its body was refused.
    [[nodiscard]] bool append(const char* data, std::size_t size);

    /// Reserves memory for the decoded body and returns the body, unless it was
    /// or is refused.
    [[nodiscard]] std::optional<std::string> take();

    /// Returns the memory that the request needed; after its answer.
    void release() noexcept
    {
        reservation_.release();
    }

    /// The answer to a body that was refused; nothing if it was not.
    [[nodiscard]] const std::optional<http_response>&
    refused_with() const noexcept
    {
        return refused_with_;
    }

private:
    [[nodiscard]] bool fits(std::size_t bytes);
    void refuse(http_response answer);

    memory_reservation reservation_;
    std::size_t max_bytes_;
    std::size_t decoded_factor_;
    std::string text_;
    std::optional<http_response> refused_with_;
    std::size_t dropped_bytes_ = 0;
};

} // namespace springstair
