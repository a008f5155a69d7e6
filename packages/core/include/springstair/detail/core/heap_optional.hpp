#pragma once

#include <memory>
#include <optional>
#include <utility>

namespace springstair
{

/// @brief A value that is usually absent: takes the size of a pointer then.
///
/// The interface is that of std::optional, as far as it is used.
template <class T>
class heap_optional
{
public:
    heap_optional() noexcept = default;
    heap_optional(std::nullopt_t /*none*/) noexcept {} // NOLINT: as optional
    heap_optional(T value)                             // NOLINT: as optional
        : value_(std::make_unique<T>(std::move(value)))
    {
    }
    ~heap_optional() = default;
    heap_optional(const heap_optional& other)
        : value_(other ? std::make_unique<T>(*other) : nullptr)
    {
    }
    heap_optional& operator=(const heap_optional& other)
    {
        heap_optional copy(other);
        std::swap(value_, copy.value_);
        return *this;
    }
    heap_optional(heap_optional&&) noexcept = default;
    heap_optional& operator=(heap_optional&&) noexcept = default;

    [[nodiscard]] bool has_value() const noexcept
    {
        return value_ != nullptr;
    }
    explicit operator bool() const noexcept
    {
        return has_value();
    }
    T& operator*() noexcept
    {
        return *value_;
    }
    const T& operator*() const noexcept
    {
        return *value_;
    }
    T* operator->() noexcept
    {
        return value_.get();
    }
    const T* operator->() const noexcept
    {
        return value_.get();
    }
    void reset() noexcept
    {
        value_.reset();
    }

    bool operator==(const heap_optional& other) const
    {
        return has_value() == other.has_value() &&
               (!has_value() || **this == *other);
    }

private:
    std::unique_ptr<T> value_;
};

} // namespace springstair
