#pragma once

#include <springstair/core.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace springstair
{

/// @brief A condition of a transaction: a number of a key equals a value.
struct kv_compare
{
    /// @brief The compared number of the key.
    enum class number : std::uint8_t
    {
        version, ///< 0: the key does not exist
        create_revision,
        mod_revision
    };

    std::string key;
    number target = number::version;
    std::int64_t equals = 0;

    bool operator==(const kv_compare&) const = default;
};

/// @brief A value to write.
struct kv_put
{
    std::string key;
    std::string value;
    std::int64_t lease = 0; ///< attached lease; 0: none

    bool operator==(const kv_put&) const = default;
};

/// @brief One key, or all keys with this prefix.
struct kv_range
{
    std::string key;
    bool prefix = false;
    std::int64_t min_mod_revision = 0; ///< older items are omitted

    bool operator==(const kv_range&) const = default;
};

/// @brief Puts and deletes, applied atomically if all conditions hold.
struct kv_transaction
{
    std::vector<kv_compare> compares;
    std::vector<kv_put> puts;
    std::vector<kv_range> deletes;

    bool operator==(const kv_transaction&) const = default;
};

/// @brief Requests a new lease.
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

/// @brief An operation on the store.
using kv_operation =
    std::variant<kv_range, kv_transaction, kv_grant, kv_keep_alive>;

/// @brief A key, its value and its revisions.
struct kv_item
{
    std::string key;
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;

    bool operator==(const kv_item&) const = default;
};

/// @brief Result of a call.
struct kv_answer
{
    /// @brief Whether the operation was executed.
    enum class state : std::uint8_t
    {
        done,
        not_done, ///< has certainly no effect
        unknown   ///< no usable answer; it may take effect, even later
    };

    state how = state::unknown;
    bool succeeded = false;    ///< the transaction's conditions held
    std::int64_t revision = 0; ///< of the store at the time of the answer
    std::int64_t lease = 0;
    std::int64_t ttl_seconds = 0; ///< 0: the lease has expired
    std::vector<kv_item> items;

    bool operator==(const kv_answer&) const = default;
};

/// @brief Id of a call, unique for its sender.
using store_token = std::uint64_t;

/// @brief A call to the store, as an action of a state machine.
struct store_call
{
    store_token token = 0;
    kv_operation operation;

    bool operator==(const store_call&) const = default;
};

/// @brief An operation in the form of the JSON gateway.
struct gateway_call
{
    std::string path;
    json body;
};

/// @brief Converts an operation to the gateway's form.
gateway_call to_gateway(const kv_operation& operation);

/// @brief Parses the gateway's answer to an operation.
/// @throw nlohmann's exceptions if it does not have the published format
kv_answer from_gateway(const kv_operation& operation, const json& body);

/// @brief Encodes in base64 with padding.
std::string to_base64(std::string_view text);
/// @brief Decodes base64; returns an empty string if @p text is not base64.
std::string from_base64(std::string_view text);

} // namespace springstair
