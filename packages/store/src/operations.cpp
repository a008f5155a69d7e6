#include <springstair/store.hpp>

#include <openssl/evp.h>

namespace springstair
{

namespace
{

constexpr std::size_t base64_group = 4;
constexpr std::size_t base64_bytes = 3;

// The first key after all keys with this prefix, or a zero byte (no upper
// bound) if there is none.
std::string end_of_prefix(std::string prefix)
{
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff)
    {
        prefix.pop_back();
    }
    if (prefix.empty())
    {
        return {1, '\0'};
    }
    ++prefix.back();
    return prefix;
}

json range_body(const kv_range& range)
{
    json body{{"key", to_base64(range.key)}};
    if (range.prefix)
    {
        body["range_end"] = to_base64(end_of_prefix(range.key));
    }
    if (range.min_mod_revision > 0)
    {
        body["min_mod_revision"] = std::to_string(range.min_mod_revision);
    }
    return body;
}

json compare_body(const kv_compare& compare)
{
    json body{{"key", to_base64(compare.key)}, {"result", "EQUAL"}};
    const std::string number = std::to_string(compare.equals);
    switch (compare.target)
    {
    case kv_compare::number::version:
        body["target"] = "VERSION";
        body["version"] = number;
        break;
    case kv_compare::number::create_revision:
        body["target"] = "CREATE";
        body["create_revision"] = number;
        break;
    case kv_compare::number::mod_revision:
        body["target"] = "MOD";
        body["mod_revision"] = number;
        break;
    }
    return body;
}

json put_body(const kv_put& put)
{
    json body{{"key", to_base64(put.key)}, {"value", to_base64(put.value)}};
    if (put.lease != 0)
    {
        body["lease"] = std::to_string(put.lease);
    }
    return body;
}

json transaction_body(const kv_transaction& transaction)
{
    json body{{"compare", json::array()}, {"success", json::array()}};
    for (const kv_compare& compare : transaction.compares)
    {
        body["compare"].push_back(compare_body(compare));
    }
    for (const kv_put& put : transaction.puts)
    {
        body["success"].push_back({{"request_put", put_body(put)}});
    }
    for (const kv_range& range : transaction.deletes)
    {
        body["success"].push_back(
            {{"request_delete_range", range_body(range)}});
    }
    return body;
}

// The gateway writes 64-bit numbers as strings and omits zeros.
std::int64_t number_in(const json& object, const char* key)
{
    const auto found = object.find(key);
    if (found == object.end())
    {
        return 0;
    }
    return found->is_string() ? std::stoll(found->get<std::string>())
                              : found->get<std::int64_t>();
}

kv_item item_of(const json& kv)
{
    return {.key = from_base64(kv.at("key").get<std::string>()),
            .value = from_base64(kv.value("value", std::string())),
            .create_revision = number_in(kv, "create_revision"),
            .mod_revision = number_in(kv, "mod_revision")};
}

} // namespace

gateway_call to_gateway(const kv_operation& operation)
{
    if (const auto* range = std::get_if<kv_range>(&operation))
    {
        return {.path = "/v3/kv/range", .body = range_body(*range)};
    }
    if (const auto* transaction = std::get_if<kv_transaction>(&operation))
    {
        return {.path = "/v3/kv/txn", .body = transaction_body(*transaction)};
    }
    if (const auto* grant = std::get_if<kv_grant>(&operation))
    {
        return {.path = "/v3/lease/grant",
                .body = {{"TTL", std::to_string(grant->ttl_seconds)}}};
    }
    const auto& renewal = std::get<kv_keep_alive>(operation);
    return {.path = "/v3/lease/keepalive",
            .body = {{"ID", std::to_string(renewal.lease)}}};
}

kv_answer from_gateway(const kv_operation& operation, const json& body)
{
    const bool renewal = std::holds_alternative<kv_keep_alive>(operation);
    const json& result = renewal ? body.at("result") : body;
    kv_answer answer{.how = kv_answer::state::done};
    if (const auto header = result.find("header"); header != result.end())
    {
        answer.revision = number_in(*header, "revision");
    }
    answer.succeeded = result.value("succeeded", false);
    answer.lease = number_in(result, "ID");
    answer.ttl_seconds = number_in(result, "TTL");
    if (const auto kvs = result.find("kvs"); kvs != result.end())
    {
        for (const json& kv : *kvs)
        {
            answer.items.push_back(item_of(kv));
        }
    }
    return answer;
}

std::string to_base64(std::string_view text)
{
    std::string encoded(
        base64_group * ((text.size() + base64_bytes - 1) / base64_bytes) + 1,
        '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    encoded.resize(static_cast<std::size_t>(size));
    return encoded;
}

std::string from_base64(std::string_view text)
{
    std::string decoded(text.size(), '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(decoded.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    if (size < 0)
    {
        return {};
    }
    const auto padding = text.ends_with("==")  ? 2U
                         : text.ends_with('=') ? 1U
                                               : 0U;
    decoded.resize(static_cast<std::size_t>(size) - padding);
    return decoded;
}

} // namespace springstair
