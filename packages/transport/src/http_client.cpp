#include <springstair/transport.hpp>

#include "open_call.hpp"

#include <absl/synchronization/notification.h>

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace springstair
{

namespace
{

constexpr int init_failed = 202;
constexpr int max_poll_ms = 1000;
constexpr int events_per_poll = 64;
constexpr std::size_t max_idle_handles = 256;
constexpr long max_cached_connections = 512;
// How long after its timeout a call may still be ended by libcurl itself.
constexpr duration curl_timeout_slack = std::chrono::milliseconds(500);
// Interval between checks for overdue calls; each visits all calls in flight.
constexpr duration overdue_check_interval = std::chrono::milliseconds(250);

int pending_error(int socket)
{
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error
                                                                        : errno;
}

} // namespace

struct http_client::state
{
    CURLM* multi = nullptr;
    int epoll = -1;
    int wakeup = -1; ///< an eventfd that wakes the client's thread
    absl::Mutex mutex;
    std::vector<std::unique_ptr<open_call>> submitted;
    bool stopping = false;
    std::map<CURL*, std::unique_ptr<open_call>> open;
    std::vector<CURL*> idle_handles;
    std::optional<time_point> timer; ///< when libcurl must be called next
    connection_pool pool;            ///< used on the client's thread only
    time_point next_overdue_check{};
    /// Calls over the limit of their peer, by peer, in order.
    std::map<std::string, std::deque<std::unique_ptr<open_call>>> queued;
    std::atomic<std::int64_t> silent_connections = 0;
    std::atomic<std::int64_t> connections = 0;
    std::thread thread;

    // Registers libcurl's sockets with epoll, so that the work per iteration
    // depends on the number of ready sockets, not on the calls in flight:
    // thousands of slow calls cost nothing.
    static int on_socket(CURL* handle, curl_socket_t socket, int what,
                         void* context, void* /*own*/)
    {
        auto& self = *static_cast<state*>(context);
        const auto call = self.open.find(handle);
        if (call != self.open.end())
        {
            call->second->socket =
                what == CURL_POLL_REMOVE ? CURL_SOCKET_BAD : socket;
        }
        if (what == CURL_POLL_REMOVE)
        {
            epoll_ctl(self.epoll, EPOLL_CTL_DEL, socket, nullptr);
            return 0;
        }
        epoll_event registration{};
        registration.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) |
                              ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
        registration.data.fd = socket;
        if (epoll_ctl(self.epoll, EPOLL_CTL_MOD, socket, &registration) != 0)
        {
            epoll_ctl(self.epoll, EPOLL_CTL_ADD, socket, &registration);
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
        epoll_event registration{};
        registration.events = EPOLLIN;
        registration.data.fd = wakeup;
        if (epoll < 0 || wakeup < 0 ||
            epoll_ctl(epoll, EPOLL_CTL_ADD, wakeup, &registration) != 0)
        {
            throw transport_error(init_failed, "epoll initialization failed");
        }
        curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &on_socket);
        curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &on_timer);
        curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, max_cached_connections);
    }

    void wake() const
    {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written = write(
            wakeup, &one, sizeof one); // fails only if a wake-up is pending
    }

    int poll_milliseconds() const
    {
        if (!timer)
        {
            return max_poll_ms;
        }
        const duration left = std::max(duration{0}, *timer - boot_clock::now());
        const std::int64_t millis =
            std::chrono::ceil<std::chrono::milliseconds>(left).count();
        return static_cast<int>(std::min<std::int64_t>(millis, max_poll_ms));
    }

    void poll_once()
    {
        std::array<epoll_event, events_per_poll> events{};
        const int count = epoll_wait(epoll, events.data(), events_per_poll,
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
            if (broken)
            {
                on_socket_error(event.data.fd);
            }
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

    bool start_submitted()
    {
        std::vector<std::unique_ptr<open_call>> taken;
        bool stop = false;
        {
            const absl::MutexLock lock(&mutex);
            taken.swap(submitted);
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
        if (pool.begin_call(call->peer, call->call.max_open_calls))
        {
            send(std::move(call));
            return;
        }
        queued[call->peer].push_back(std::move(call));
    }

    void send(std::unique_ptr<open_call> call)
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
        call->since = boot_clock::now();
        call->pool = &pool;
        call->set_up();
        curl_multi_add_handle(multi, call->handle);
        CURL* const handle = call->handle;
        open.emplace(handle, std::move(call));
    }

    // Called after a call to the peer has ended: starts the next queued one and
    // expires queued ones past their timeout.
    void start_queued(const std::string& peer)
    {
        const auto found = queued.find(peer);
        if (found == queued.end())
        {
            return;
        }
        auto& calls = found->second;
        const time_point now = boot_clock::now();
        while (!calls.empty() &&
               now - calls.front()->since > calls.front()->call.timeout)
        {
            const auto late = std::move(calls.front());
            calls.pop_front();
            late->done({.how = delivery::not_sent,
                        .error = "timed out while queued for a connection"});
        }
        if (!calls.empty() &&
            pool.begin_call(peer, calls.front()->call.max_open_calls))
        {
            send(std::move(calls.front()));
            calls.pop_front();
        }
        if (calls.empty())
        {
            queued.erase(found);
        }
    }

    void finish(CURL* handle, http_result result)
    {
        const auto found = open.find(handle);
        const std::unique_ptr<open_call> ended = std::move(found->second);
        open.erase(found);
        curl_multi_remove_handle(multi, handle);
        if (idle_handles.size() < max_idle_handles)
        {
            curl_easy_reset(handle);
            idle_handles.push_back(handle);
        }
        else
        {
            curl_easy_cleanup(handle);
        }
        pool.end_call(ended->peer);
        ended->done(std::move(result));
        start_queued(ended->peer);
    }

    std::set<int> busy_sockets() const
    {
        std::set<int> busy;
        for (const auto& [handle, call] : open)
        {
            busy.insert(call->socket);
        }
        return busy;
    }

    // libcurl does not reuse a connection that is shut down; it closes it at
    // the next check.
    std::size_t close_idle(const open_call& lost, call_failure how)
    {
        const auto closed =
            pool.on_unanswered(lost.peer, how, lost.since, busy_sockets());
        for (const int socket : closed)
        {
            shutdown(socket, SHUT_RDWR);
        }
        return closed.size();
    }

    void record_unanswered(const open_call& lost, call_failure how)
    {
        ++silent_connections;
        const http_call& call = lost.call;
        const bool is_proof =
            how == call_failure::unacknowledged || call.answers_each_call;
        const std::size_t closed = is_proof ? close_idle(lost, how) : 0;
        const duration waited = boot_clock::now() - lost.since;
        log_event(
            event_id::connection_silent,
            {{"peer", lost.peer},
             {"lost", call.method + " " + call.url.substr(lost.peer.size())},
             {"dead", how == call_failure::unacknowledged ? "yes" : "no"},
             {"idle_given_up", std::to_string(closed)},
             {"waited_ms", std::to_string(to_milliseconds(waited))}});
    }

    // If a reused connection failed, libcurl may repeat its call on another
    // connection: a GET, or a call of which no byte was sent. Before that, this
    // shuts down the idle connections that failed together with it.
    void on_socket_error(int socket)
    {
        const auto found = std::find_if(
            open.begin(), open.end(),
            [&](const auto& one) { return one.second->socket == socket; });
        if (found == open.end() || found->second->opened_connection)
        {
            return; // may be connecting: libcurl handles the error
        }
        if (pending_error(socket) == ETIMEDOUT)
        {
            record_unanswered(*found->second, call_failure::unacknowledged);
        }
    }

    void finish_completed()
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
            const open_call& ended = *open.at(handle);
            if (code == CURLE_OPERATION_TIMEDOUT && !ended.opened_connection)
            {
                record_unanswered(ended, call_failure::unanswered);
            }
            else if (code == CURLE_OK && !ended.opened_connection)
            {
                pool.answered(ended.peer);
            }
            finish(handle, open.at(handle)->result(code));
        }
    }

    // Ends each call after its timeout, independently of the calls queued
    // before it and of libcurl: a store write that neither ended nor timed out
    // once blocked all further writes of a leader.
    void expire_overdue()
    {
        const time_point now = boot_clock::now();
        if (now < next_overdue_check)
        {
            return;
        }
        next_overdue_check = now + overdue_check_interval;
        std::vector<CURL*> overdue;
        for (const auto& [handle, call] : open)
        {
            if (now - call->since > call->call.timeout + curl_timeout_slack)
            {
                overdue.push_back(handle);
            }
        }
        for (CURL* handle : overdue)
        {
            if (!open.at(handle)->opened_connection)
            {
                record_unanswered(*open.at(handle), call_failure::unanswered);
            }
            finish(handle, open.at(handle)->result(CURLE_OPERATION_TIMEDOUT));
        }
        std::vector<std::string> peers;
        for (const auto& [peer, calls] : queued)
        {
            peers.push_back(peer);
        }
        for (const std::string& peer : peers)
        {
            start_queued(peer);
        }
    }

    void run()
    {
        while (start_submitted())
        {
            poll_once();
            finish_completed();
            expire_overdue();
            connections = static_cast<std::int64_t>(pool.connections());
        }
        abort_all();
    }

    void abort_all()
    {
        static constexpr const char* why = "the client is stopping";
        const auto unsent = std::move(queued);
        queued.clear();
        for (const auto& [peer, calls] : unsent)
        {
            for (const auto& call : calls)
            {
                call->done({.how = delivery::not_sent, .error = why});
            }
        }
        while (!open.empty())
        {
            finish(open.begin()->first, {.error = why});
        }
    }
};

http_client::http_client() : state_(std::make_unique<state>())
{
    static const CURLcode ready = curl_global_init(CURL_GLOBAL_DEFAULT);
    state_->multi = curl_multi_init();
    if (ready != CURLE_OK || state_->multi == nullptr)
    {
        throw transport_error(init_failed, "libcurl initialization failed");
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
        state_->submitted.push_back(std::move(fresh));
    }
    state_->wake();
}

std::int64_t http_client::silent_connections() const noexcept
{
    return state_->silent_connections;
}

std::int64_t http_client::connections() const noexcept
{
    return state_->connections;
}

http_result http_client::send_and_wait(http_call call)
{
    http_result result;
    absl::Notification ended;
    send(std::move(call),
         [&](http_result answer)
         {
             result = std::move(answer);
             ended.Notify();
         });
    ended.WaitForNotification();
    return result;
}

} // namespace springstair
