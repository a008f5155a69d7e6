#pragma once

#include <springstair/core.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace springstair
{

/// @brief A condition of a transaction.
struct kv_compare
{
    /// @brief Which number of a key is compared.
    enum class number : std::uint8_t
    {
        version, ///< 0: the key does not exist
        create_revision,
        mod_revision
    };

    std::string key;
    number of = number::version;
    std::int64_t equals = 0;

    bool operator==(const kv_compare&) const = default;
};

/// @brief A value to write.
struct kv_put
{
    std::string key;
    std::string value;
    std::int64_t lease = 0; ///< 0: none

    bool operator==(const kv_put&) const = default;
};

/// @brief One key, or all that begin with it.
struct kv_range
{
    std::string key;
    bool prefix = false;
    std::int64_t min_mod_revision = 0; ///< older items are left out

    bool operator==(const kv_range&) const = default;
};

/// @brief Puts and deletes that happen together, or not at all.
struct kv_transaction
{
    std::vector<kv_compare> compares;
    std::vector<kv_put> puts;
    std::vector<kv_range> deletes;

    bool operator==(const kv_transaction&) const = default;
};

/// @brief Asks for a lease.
struct kv_grant
{
    std::int64_t ttl_seconds = 0;
    bool operator==(const kv_grant&) const = default;
};

/// @brief Renews a lease.
struct kv_keep_alive
{
    std::int64_t lease = 0;
    bool operator==(const kv_keep_alive&) const = default;
};

/// @brief One call to the store.
using kv_operation =
    std::variant<kv_range, kv_transaction, kv_grant, kv_keep_alive>;

/// @brief A key with its value.
struct kv_item
{
    std::string key;
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;

    bool operator==(const kv_item&) const = default;
};

/// @brief What came of a call.
struct kv_answer
{
    /// @brief Whether the call was carried out.
    enum class state : std::uint8_t
    {
        done,
        not_done, ///< certainly without effect
        unknown   ///< its answer was lost; it may take effect, even later
    };

    state how = state::unknown;
    bool succeeded = false;    ///< a transaction's conditions held
    std::int64_t revision = 0; ///< of the store, when it answered
    std::int64_t lease = 0;
    std::int64_t ttl_seconds = 0; ///< 0 for a lease that has lapsed
    std::vector<kv_item> items;

    bool operator==(const kv_answer&) const = default;
};

/// @brief Names a call among those of its sender.
using store_token = std::uint64_t;

/// @brief Ask the store; an action of the state machines.
struct store_call
{
    store_token token = 0;
    kv_operation operation;

    bool operator==(const store_call&) const = default;
};

/// @brief A JSON gateway's path and body for an operation.
struct gateway_call
{
    std::string path;
    json body;
};

/// @brief Writes an operation for the gateway.
gateway_call to_gateway(const kv_operation& operation);

/// @brief Reads the gateway's answer to an operation.
/// @throw nlohmann's exceptions if it has not the published shape
kv_answer from_gateway(const kv_operation& operation, const json& body);

/// @brief Base64 with padding.
std::string to_base64(std::string_view text);
/// @brief The inverse of to_base64(); empty for a text that is not base64.
std::string from_base64(std::string_view text);

} // namespace springstair
