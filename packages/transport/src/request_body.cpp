#include "request_body.hpp"

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

constexpr int payload_too_large = 413;
constexpr std::size_t min_capacity = 4096;
// Reading a refused body costs time but no memory.
constexpr std::size_t max_dropped_bytes = 32U << 20U;
constexpr duration retry_after = std::chrono::seconds(1);

http_response no_memory_answer()
{
    return to_response({.result = outcome::not_run,
                        .reason = refusal::busy,
                        .retry_after = retry_after,
                        .detail = "too many large requests are open"});
}

} // namespace

void request_body::announce(std::size_t bytes)
{
    if (fits(bytes))
    {
        text_.reserve(bytes);
    }
}

bool request_body::append(const char* data, std::size_t size)
{
    const std::size_t needed = text_.size() + size;
    if (!refused_with_ && needed > text_.capacity())
    {
        const std::size_t grown =
            std::max({min_capacity, needed, 2 * text_.capacity()});
        const std::size_t capacity =
            std::max(needed, std::min(grown, max_bytes_));
        if (fits(capacity))
        {
            text_.reserve(capacity);
        }
    }
    if (refused_with_)
    {
        dropped_bytes_ += size;
        return dropped_bytes_ <= max_dropped_bytes;
    }
    text_.append(data, size);
    return true;
}

std::optional<std::string> request_body::take()
{
    if (refused_with_)
    {
        return std::nullopt;
    }
    if (text_.empty())
    {
        return std::string(); // most queries, which always fit
    }
    const std::size_t decoded =
        std::max(text_.capacity(), text_.size() * decoded_factor_);
    if (!reservation_.resize(decoded))
    {
        refuse(no_memory_answer());
        return std::nullopt;
    }
    return std::exchange(text_, std::string());
}

// Whether so many bytes may be held; the body is refused otherwise.
bool request_body::fits(std::size_t bytes)
{
    if (bytes > max_bytes_)
    {
        refuse({.status = payload_too_large});
        return false;
    }
    if (!reservation_.resize(bytes))
    {
        refuse(no_memory_answer());
        return false;
    }
    return true;
}

void request_body::refuse(http_response answer)
{
    refused_with_ = std::move(answer);
    text_ = std::string();
    reservation_.release();
}

} // namespace springstair
