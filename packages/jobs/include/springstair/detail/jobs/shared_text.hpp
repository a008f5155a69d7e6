#pragma once

#include <springstair/core.hpp>

#include <memory>
#include <string>
#include <utility>

namespace springstair
{

/// @brief An immutable text whose copies share one allocation. Thread-safe.
///
/// Thousands of runs of one job have the same payload and image.
class shared_text
{
public:
    shared_text() = default;
    shared_text(std::string text) // NOLINT: replaces std::string
        : text_(text.empty()
                    ? nullptr
                    : std::make_shared<const std::string>(std::move(text)))
    {
    }
    shared_text(const char* text) // NOLINT: the same
        : shared_text(std::string(text))
    {
    }

    [[nodiscard]] const std::string& str() const noexcept
    {
        static const std::string none;
        return text_ == nullptr ? none : *text_;
    }
    operator const std::string&() const noexcept // NOLINT: the same
    {
        return str();
    }
    [[nodiscard]] bool empty() const noexcept
    {
        return text_ == nullptr;
    }
    [[nodiscard]] std::size_t size() const noexcept
    {
        return str().size();
    }
    /// @brief Shares the allocation of another text if both are equal.
    void share_with(const shared_text& other)
    {
        if (*this == other)
        {
            text_ = other.text_;
        }
    }
    /// @brief Whether both use one allocation, or are empty.
    [[nodiscard]] bool is_shared_with(const shared_text& other) const noexcept
    {
        return text_ == other.text_;
    }

    friend bool operator==(const shared_text& left,
                           const shared_text& right) noexcept
    {
        return left.text_ == right.text_ || left.str() == right.str();
    }

private:
    std::shared_ptr<const std::string> text_; ///< null: empty
};

inline void to_json(json& to, const shared_text& from)
{
    to = from.str();
}

inline void from_json(const json& from, shared_text& to)
{
    to = shared_text(from.get<std::string>());
}

} // namespace springstair
