#include <springstair/transport.hpp>

#include <absl/synchronization/notification.h>

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <map>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace springstair
{

namespace
{

constexpr int library_failed = 202;
constexpr std::size_t most_answer_bytes = 64U << 20U;
constexpr int longest_poll_ms = 1000;
constexpr int events_a_turn = 64;
constexpr std::size_t kept_handles = 256;
constexpr long kept_connections = 512;
// A probe each second on an idle connection; without a word for so long it is
// given up. Waits for changes last up to 20 s: a deaf one is found within 4 s.
// Above the queue of a crowded thin link (1.1 s for a page of the store).
constexpr int probe_every_s = 1;
constexpr duration silence_bound = std::chrono::milliseconds(3000);

// A call on its way; curl's callbacks write into it.
struct open_call
{
    http_call call;
    http_completion done;
    CURL* handle = nullptr;
    curl_slist* header_list = nullptr;
    http_response response;
    std::string received;

    open_call(http_call what, http_completion then)
        : call(std::move(what)), done(std::move(then))
    {
    }
    open_call(const open_call&) = delete;
    open_call& operator=(const open_call&) = delete;
    ~open_call()
    {
        curl_slist_free_all(header_list);
    }
};

std::size_t on_body(char* data, std::size_t size, std::size_t count,
                    void* context)
{
    auto& current = *static_cast<open_call*>(context);
    const std::size_t bytes = size * count;
    if (current.received.size() + bytes > most_answer_bytes)
    {
        return 0;
    }
    current.received.append(data, bytes);
    return bytes;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count,
                      void* context)
{
    auto& current = *static_cast<open_call*>(context);
    const std::string_view line(data, size * count);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
    {
        return line.size();
    }
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    std::string_view value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    value = value.substr(0, value.find_last_not_of("\r\n ") + 1);
    current.response.headers[name] = std::string(value);
    return line.size();
}

// Where a call goes: its URL up to the path.
std::string peer_of(const std::string& url)
{
    const std::size_t scheme = url.find("://");
    const std::size_t from = scheme == std::string::npos ? 0 : scheme + 3;
    return url.substr(0, url.find('/', from));
}

// A connection whose other end says nothing, not even that it got our bytes,
// is given up by the kernel, also while nothing is to be said: a wait of
// seconds would else outlast the lease of what it waits for.
int guard_socket(void* /*context*/, curl_socket_t socket,
                 curlsocktype /*purpose*/)
{
    const int on = 1;
    const int unanswered_ms = static_cast<int>(to_milliseconds(silence_bound));
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &probe_every_s,
               sizeof probe_every_s);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &probe_every_s,
               sizeof probe_every_s);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unanswered_ms,
               sizeof unanswered_ms);
    return CURL_SOCKOPT_OK;
}

long whole_milliseconds(duration value)
{
    return std::max(1L, static_cast<long>(to_milliseconds(value)));
}

void set_headers(open_call& current)
{
    current.header_list = curl_slist_append(nullptr, "Expect:");
    for (const auto& [name, value] : current.call.headers)
    {
        std::string line = name;
        line += ": ";
        line += value;
        current.header_list =
            curl_slist_append(current.header_list, line.c_str());
    }
    curl_easy_setopt(current.handle, CURLOPT_HTTPHEADER, current.header_list);
}

void set_body(open_call& current)
{
    if (!current.call.body)
    {
        return;
    }
    curl_easy_setopt(current.handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(current.call.body->size()));
    curl_easy_setopt(current.handle, CURLOPT_POSTFIELDS,
                     current.call.body->data());
}

void set_up(open_call& current, const connection_choice& choice)
{
    CURL* const handle = current.handle;
    curl_easy_setopt(handle, CURLOPT_URL, current.call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &current);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &current);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &current);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     whole_milliseconds(current.call.timeout));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     whole_milliseconds(current.call.connect_timeout));
    set_body(current);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST,
                     current.call.method.c_str());
    set_headers(current);
    const bool alone = current.call.exactly_one_connection;
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT,
                     alone || choice.fresh ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, alone ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_MAXLIFETIME_CONN,
                     static_cast<long>(choice.younger_than.count()));
    curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &guard_socket);
}

bool used_kept_connection(CURL* handle)
{
    long opened = 0;
    curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &opened);
    return opened == 0;
}

// Whether a call ended without an answer on a connection that had worked.
bool fell_silent(CURL* handle, CURLcode code)
{
    long system_error = 0;
    long sent = 0;
    curl_easy_getinfo(handle, CURLINFO_OS_ERRNO, &system_error);
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sent);
    const bool in_vain =
        code == CURLE_OPERATION_TIMEDOUT || system_error == ETIMEDOUT;
    return in_vain && used_kept_connection(handle) && sent > 0;
}

bool nothing_was_sent(CURL* handle)
{
    long request_bytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_bytes);
    return request_bytes == 0;
}

http_result result_of(open_call& current, CURLcode code)
{
    http_result result;
    if (code != CURLE_OK)
    {
        result.how = nothing_was_sent(current.handle) ? delivery::not_sent
                                                      : delivery::unknown;
        result.error = curl_easy_strerror(code);
        return result;
    }
    long status = 0;
    curl_easy_getinfo(current.handle, CURLINFO_RESPONSE_CODE, &status);
    result.how = delivery::answered;
    result.response = std::move(current.response);
    result.response.status = static_cast<int>(status);
    result.response.body = make_body(std::move(current.received));
    return result;
}

} // namespace

struct http_client::state
{
    CURLM* multi = nullptr;
    int epoll = -1;
    int wakeup = -1; ///< an eventfd: calls wait to be taken
    absl::Mutex mutex;
    std::vector<std::unique_ptr<open_call>> waiting;
    bool stopping = false;
    std::map<CURL*, std::unique_ptr<open_call>> open;
    std::vector<CURL*> idle_handles;
    std::optional<time_point> timer; ///< when libcurl wants to be called
    peer_trust trust;                ///< of the client's thread
    std::atomic<std::int64_t> silent_connections = 0;
    std::thread thread;

    // The work of a turn grows with the sockets that have news, not with
    // the calls that are open: thousands of slow ones cost nothing.
    static int on_socket(CURL* /*handle*/, curl_socket_t socket, int what,
                         void* context, void* /*own*/)
    {
        const auto& self = *static_cast<state*>(context);
        if (what == CURL_POLL_REMOVE)
        {
            epoll_ctl(self.epoll, EPOLL_CTL_DEL, socket, nullptr);
            return 0;
        }
        epoll_event wanted{};
        wanted.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) |
                        ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
        wanted.data.fd = socket;
        if (epoll_ctl(self.epoll, EPOLL_CTL_MOD, socket, &wanted) != 0)
        {
            epoll_ctl(self.epoll, EPOLL_CTL_ADD, socket, &wanted);
        }
        return 0;
    }

    static int on_timer(CURLM* /*multi*/, long wait_ms, void* context)
    {
        auto& self = *static_cast<state*>(context);
        self.timer.reset();
        if (wait_ms >= 0)
        {
            self.timer = boot_clock::now() + std::chrono::milliseconds(wait_ms);
        }
        return 0;
    }

    void set_up_polling()
    {
        epoll = epoll_create1(EPOLL_CLOEXEC);
        wakeup = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        epoll_event wanted{};
        wanted.events = EPOLLIN;
        wanted.data.fd = wakeup;
        if (epoll < 0 || wakeup < 0 ||
            epoll_ctl(epoll, EPOLL_CTL_ADD, wakeup, &wanted) != 0)
        {
            throw transport_error(library_failed, "epoll does not start");
        }
        curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &on_socket);
        curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &on_timer);
        curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, kept_connections);
    }

    void wake() const
    {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written =
            write(wakeup, &one, sizeof one); // full means awake already
    }

    int poll_milliseconds() const
    {
        if (!timer)
        {
            return longest_poll_ms;
        }
        const duration left = std::max(duration{0}, *timer - boot_clock::now());
        const std::int64_t millis =
            std::chrono::ceil<std::chrono::milliseconds>(left).count();
        return static_cast<int>(
            std::min<std::int64_t>(millis, longest_poll_ms));
    }

    void turn()
    {
        std::array<epoll_event, events_a_turn> events{};
        const int count = epoll_wait(epoll, events.data(), events_a_turn,
                                     poll_milliseconds());
        int running = 0;
        for (int index = 0; index < count; ++index)
        {
            const epoll_event& event = events[static_cast<std::size_t>(index)];
            if (event.data.fd == wakeup)
            {
                std::uint64_t ignored = 0;
                [[maybe_unused]] const auto got =
                    read(wakeup, &ignored, sizeof ignored);
                continue;
            }
            const bool in = (event.events & (EPOLLIN | EPOLLHUP)) != 0;
            const bool out = (event.events & EPOLLOUT) != 0;
            const bool broken = (event.events & EPOLLERR) != 0;
            curl_multi_socket_action(multi, event.data.fd,
                                     (in ? CURL_CSELECT_IN : 0) |
                                         (out ? CURL_CSELECT_OUT : 0) |
                                         (broken ? CURL_CSELECT_ERR : 0),
                                     &running);
        }
        if (timer && boot_clock::now() >= *timer)
        {
            timer.reset();
            curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &running);
        }
    }

    bool take_waiting()
    {
        std::vector<std::unique_ptr<open_call>> taken;
        bool stop = false;
        {
            const absl::MutexLock lock(&mutex);
            taken.swap(waiting);
            stop = stopping;
        }
        for (auto& call : taken)
        {
            start(std::move(call));
        }
        return !stop;
    }

    void start(std::unique_ptr<open_call> call)
    {
        if (idle_handles.empty())
        {
            call->handle = curl_easy_init();
        }
        else
        {
            call->handle = idle_handles.back();
            idle_handles.pop_back();
        }
        set_up(*call, trust.choose(peer_of(call->call.url), boot_clock::now()));
        curl_multi_add_handle(multi, call->handle);
        CURL* const handle = call->handle;
        open.emplace(handle, std::move(call));
    }

    void finish(CURL* handle, http_result result)
    {
        const auto found = open.find(handle);
        const std::unique_ptr<open_call> ended = std::move(found->second);
        open.erase(found);
        curl_multi_remove_handle(multi, handle);
        if (idle_handles.size() < kept_handles)
        {
            curl_easy_reset(handle);
            idle_handles.push_back(handle);
        }
        else
        {
            curl_easy_cleanup(handle);
        }
        ended->done(std::move(result));
    }

    void note_silent(const http_call& call)
    {
        ++silent_connections;
        const std::string peer = peer_of(call.url);
        if (call.connections_share_fate)
        {
            trust.silent(peer, boot_clock::now());
        }
        log_event(
            event_id::connection_silent,
            {{"peer", peer},
             {"lost", call.method + " " + call.url.substr(peer.size())},
             {"waited_ms", std::to_string(to_milliseconds(call.timeout))}});
    }

    void collect_ended()
    {
        int left = 0;
        while (const CURLMsg* message = curl_multi_info_read(multi, &left))
        {
            if (message->msg != CURLMSG_DONE)
            {
                continue;
            }
            CURL* const handle = message->easy_handle;
            const CURLcode code = message->data.result;
            if (fell_silent(handle, code))
            {
                note_silent(open.at(handle)->call);
            }
            else if (code == CURLE_OK && used_kept_connection(handle))
            {
                trust.answered(peer_of(open.at(handle)->call.url));
            }
            finish(handle, result_of(*open.at(handle), code));
        }
    }

    void run()
    {
        while (take_waiting())
        {
            turn();
            collect_ended();
        }
        while (!open.empty())
        {
            finish(open.begin()->first, {.error = "the client stops"});
        }
    }
};

http_client::http_client() : state_(std::make_unique<state>())
{
    static const CURLcode ready = curl_global_init(CURL_GLOBAL_DEFAULT);
    state_->multi = curl_multi_init();
    if (ready != CURLE_OK || state_->multi == nullptr)
    {
        throw transport_error(library_failed, "libcurl does not start");
    }
    state_->set_up_polling();
    state_->thread = std::thread([this] { state_->run(); });
}

http_client::~http_client()
{
    {
        const absl::MutexLock lock(&state_->mutex);
        state_->stopping = true;
    }
    state_->wake();
    state_->thread.join();
    for (CURL* handle : state_->idle_handles)
    {
        curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(state_->multi);
    close(state_->epoll);
    close(state_->wakeup);
}

void http_client::send(http_call call, http_completion done)
{
    auto fresh = std::make_unique<open_call>(std::move(call), std::move(done));
    {
        const absl::MutexLock lock(&state_->mutex);
        state_->waiting.push_back(std::move(fresh));
    }
    state_->wake();
}

std::int64_t http_client::silent_connections() const noexcept
{
    return state_->silent_connections;
}

http_result http_client::send_and_wait(http_call call)
{
    http_result result;
    absl::Notification ended;
    send(std::move(call),
         [&](http_result with)
         {
             result = std::move(with);
             ended.Notify();
         });
    ended.WaitForNotification();
    return result;
}

} // namespace springstair
