#include <springstair/store.hpp>

#include <utility>

namespace springstair
{

static_assert(key_value_store<etcd_client>);

namespace
{

constexpr int http_ok = 200;
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;

kv_answer read_answer(const kv_operation& operation, const http_result& result)
{
    if (result.how == delivery::not_sent)
    {
        return {.how = kv_answer::state::not_done};
    }
    if (result.how == delivery::unknown)
    {
        return {.how = kv_answer::state::unknown};
    }
    const int status = result.response.status;
    if (status >= first_client_error && status < first_server_error)
    {
        return {.how = kv_answer::state::not_done};
    }
    if (status != http_ok)
    {
        return {.how = kv_answer::state::unknown};
    }
    try
    {
        return from_gateway(operation, parse_body(result.response.body));
    }
    catch (const std::exception&)
    {
        return {.how = kv_answer::state::unknown};
    }
}

} // namespace

etcd_client::etcd_client(http_client& client, etcd_options options)
    : client_(client), options_(std::move(options))
{
}

void etcd_client::send(const kv_operation& operation, kv_completion done)
{
    const gateway_call call = to_gateway(operation);
    const std::size_t index = current_ % options_.endpoints.size();
    client_.send(
        {.method = "POST",
         .url = "http://" + options_.endpoints[index] + call.path,
         .headers = {{"content-type", "application/json"}},
         .body = make_body(call.body.dump()),
         .timeout = options_.timeout,
         .dedicated_connection = false},
        [this, operation, done = std::move(done)](const http_result& result)
        {
            if (result.how != delivery::answered)
            {
                ++current_; // the next call uses the next endpoint
            }
            done(read_answer(operation, result));
        });
}

} // namespace springstair
