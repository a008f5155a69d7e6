// Stand-in for the platform's key-value service and list of VMs: etcd's JSON
// gateway (range, transaction, leases) with fault injection.
//
// POST /control {"mode": "up" | "down" | "slow" | "lie" | "hang",
//                "delay_ms": n}
//   down: answers 503 without effect; slow: answers after the delay;
//   lie: takes effect, then answers 503; hang: has no effect and answers
//   `unknown` only at the next POST /control.
// GET /control: number of calls so far. POST /control/vms: sets the list of
// VMs.

#include "stand_in.hpp"

#include <optional>
#include <vector>

namespace
{

using namespace stand_in; // NOLINT: a program of its own

constexpr int unavailable = 503;
constexpr int not_found = 404;

struct stored
{
    std::string value; // base64, as received
    std::int64_t created = 0;
    std::int64_t modified = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

struct granted
{
    std::int64_t ttl_seconds = 0;
    time_point until;
};

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

// Keys are stored decoded because base64 does not preserve their order.
std::string decoded(const std::string& text)
{
    std::string out;
    unsigned int bits = 0;
    int count = 0;
    for (const char c : text)
    {
        const std::string_view digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        const std::size_t value = digits.find(c);
        if (value == std::string_view::npos)
        {
            break;
        }
        bits = (bits << 6U) | static_cast<unsigned int>(value);
        count += 6;
        if (count >= 8)
        {
            count -= 8;
            out += static_cast<char>((bits >> static_cast<unsigned>(count)) &
                                     0xffU);
        }
    }
    return out;
}

std::string encoded(const std::string& text)
{
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    unsigned int bits = 0;
    int count = 0;
    for (const char c : text)
    {
        bits = (bits << 8U) | static_cast<unsigned char>(c);
        count += 8;
        while (count >= 6)
        {
            count -= 6;
            out += digits[(bits >> static_cast<unsigned>(count)) & 63U];
        }
    }
    if (count > 0)
    {
        out += digits[(bits << static_cast<unsigned>(6 - count)) & 63U];
    }
    out.append((4 - out.size() % 4) % 4, '=');
    return out;
}

class store
{
public:
    json call(const std::string& path, const json& body)
    {
        expire_leases();
        if (path == "/v3/kv/range")
        {
            ++reads_;
            return with_header({{"kvs", read(body)}});
        }
        if (path == "/v3/kv/txn")
        {
            ++writes_;
            return transact(body);
        }
        if (path == "/v3/lease/grant")
        {
            ++writes_;
            const std::int64_t id = next_lease_++;
            const std::int64_t ttl = number_in(body, "TTL");
            leases_[id] = {ttl, boot_clock::now() + std::chrono::seconds(ttl)};
            return with_header(
                {{"ID", std::to_string(id)}, {"TTL", std::to_string(ttl)}});
        }
        ++reads_;
        const std::int64_t id = number_in(body, "ID");
        const auto found = leases_.find(id);
        json result{{"ID", std::to_string(id)}};
        if (found != leases_.end())
        {
            const std::int64_t ttl = found->second.ttl_seconds;
            found->second.until = boot_clock::now() + std::chrono::seconds(ttl);
            result["TTL"] = std::to_string(ttl);
        }
        return {{"result", with_header(result)}};
    }

    [[nodiscard]] json counts() const
    {
        return {{"reads", reads_}, {"writes", writes_}};
    }

private:
    json with_header(json body) const
    {
        body["header"] = {{"revision", std::to_string(revision_)}};
        return body;
    }

    void expire_leases()
    {
        for (auto lease = leases_.begin(); lease != leases_.end();)
        {
            if (boot_clock::now() < lease->second.until)
            {
                ++lease;
                continue;
            }
            std::erase_if(keys_, [&](const auto& item)
                          { return item.second.lease == lease->first; });
            lease = leases_.erase(lease);
        }
    }

    static bool in_range(const std::string& key, const std::string& from,
                         const std::string& end)
    {
        return end.empty() ? key == from : key >= from && key < end;
    }

    json read(const json& body) const
    {
        const std::string from = decoded(body.value("key", std::string()));
        const std::string end = decoded(body.value("range_end", std::string()));
        const std::int64_t least = number_in(body, "min_mod_revision");
        json kvs = json::array();
        for (const auto& [key, item] : keys_)
        {
            if (in_range(key, from, end) && item.modified >= least)
            {
                kvs.push_back(
                    {{"key", encoded(key)},
                     {"value", item.value},
                     {"create_revision", std::to_string(item.created)},
                     {"mod_revision", std::to_string(item.modified)},
                     {"version", std::to_string(item.version)}});
            }
        }
        return kvs;
    }

    bool holds(const json& compare) const
    {
        const auto found =
            keys_.find(decoded(compare.at("key").get<std::string>()));
        const stored item = found == keys_.end() ? stored{} : found->second;
        const std::string target = compare.at("target");
        if (target == "VERSION")
        {
            return item.version == number_in(compare, "version");
        }
        if (target == "CREATE")
        {
            return item.created == number_in(compare, "create_revision");
        }
        return item.modified == number_in(compare, "mod_revision");
    }

    json transact(const json& body)
    {
        bool all = true;
        for (const json& compare : body.at("compare"))
        {
            all = all && holds(compare);
        }
        for (const json& step : body.at("success"))
        {
            const auto put = step.find("request_put");
            if (all && put != step.end() && number_in(*put, "lease") != 0 &&
                !leases_.contains(number_in(*put, "lease")))
            {
                all = false; // etcd rejects a put with an unknown lease
            }
        }
        if (all && !body.at("success").empty())
        {
            ++revision_;
            for (const json& step : body.at("success"))
            {
                apply(step);
            }
        }
        json result{{"succeeded", all}};
        return with_header(result);
    }

    void apply(const json& step)
    {
        if (const auto put = step.find("request_put"); put != step.end())
        {
            stored& item = keys_[decoded(put->at("key").get<std::string>())];
            item.created = item.version == 0 ? revision_ : item.created;
            item.modified = revision_;
            ++item.version;
            item.value = put->value("value", std::string());
            item.lease = number_in(*put, "lease");
            return;
        }
        const json& range = step.at("request_delete_range");
        const std::string from = decoded(range.at("key").get<std::string>());
        const std::string end =
            decoded(range.value("range_end", std::string()));
        std::erase_if(keys_, [&](const auto& item)
                      { return in_range(item.first, from, end); });
    }

    std::map<std::string, stored> keys_;
    std::map<std::int64_t, granted> leases_;
    std::int64_t revision_ = 1;
    std::int64_t next_lease_ = 1000;
    std::int64_t reads_ = 0;
    std::int64_t writes_ = 0;
};

class service
{
public:
    void serve(const http_request& request,
               const std::shared_ptr<http_responder>& responder)
    {
        const absl::MutexLock lock(&mutex_);
        const json body = json::parse(*request.body, nullptr, false);
        if (request.path.starts_with("/control"))
        {
            control(request, body, responder);
            return;
        }
        if (request.path == "/v1/vms")
        {
            answer(responder, {{"vms", vms_}});
            return;
        }
        if (!request.path.starts_with("/v3/"))
        {
            answer(responder, json::object(), not_found);
            return;
        }
        if (mode_ == "hang")
        {
            hung_.push_back(responder);
            return;
        }
        if (mode_ == "down")
        {
            answer(responder, json::object(), unavailable);
            return;
        }
        const json result = store_.call(request.path, body);
        if (mode_ == "lie")
        {
            answer(responder, json::object(), unavailable);
            return;
        }
        if (mode_ == "slow")
        {
            timer_.after(delay_,
                         [responder, result] { answer(responder, result); });
            return;
        }
        answer(responder, result);
    }

private:
    void control(const http_request& request, const json& body,
                 const std::shared_ptr<http_responder>& responder)
    {
        if (request.path == "/control/vms")
        {
            vms_ = body.at("vms");
        }
        else if (request.method == "POST")
        {
            mode_ = body.at("mode").get<std::string>();
            delay_ = std::chrono::milliseconds(body.value("delay_ms", 0));
            hung_.clear();
        }
        answer(responder, store_.counts());
    }

    absl::Mutex mutex_;
    store store_;
    std::string mode_ = "up";
    duration delay_{0};
    json vms_ = json::array();
    std::vector<std::shared_ptr<http_responder>> hung_;
    timer timer_;
};

} // namespace

int main(int count, char** arguments)
{
    const sigset_t signals = block_stop_signals();
    const options given(count, arguments);
    service all;
    const http_server server(
        {.address = given.text("address", "127.0.0.1"),
         .port = static_cast<std::uint16_t>(given.number("port", 0))},
        [&](const http_request& request, http_responder responder)
        {
            all.serve(request,
                      std::make_shared<http_responder>(std::move(responder)));
        });
    std::cout << server.port() << std::endl;
    await_stop(signals);
}
