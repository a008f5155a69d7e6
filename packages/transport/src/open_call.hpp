#pragma once
// One call of the HTTP client and its libcurl options.

#include <springstair/transport.hpp>

#include <curl/curl.h>

#include <string>

namespace springstair
{

// A call in flight; libcurl's callbacks write into it.
struct open_call
{
    http_call call;
    http_completion done;
    std::string peer;
    time_point since = boot_clock::now(); ///< when queued, later when sent
    connection_pool* pool = nullptr;
    bool opened_connection = false; ///< false: it reuses a connection
    bool resend_refused = false;    ///< reused connection ended; not resent
    bool no_eligible_connection = false;    ///< none that it may use
    curl_socket_t socket = CURL_SOCKET_BAD; ///< polled for this call
    CURL* handle = nullptr;
    curl_slist* header_list = nullptr;
    http_response response;
    std::string received;

    open_call(http_call request, http_completion completion);
    open_call(const open_call&) = delete;
    open_call& operator=(const open_call&) = delete;
    ~open_call();

    // Sets the libcurl options. Requires `handle` and `pool`.
    void set_up();
    // Whether libcurl may send the request now; sets resend_refused if not.
    // libcurl resends by itself when a reused connection ends before the first
    // byte of the answer, but the receiver may have executed the request.
    // Therefore only a GET may be sent twice.
    bool may_be_sent();
    // Whether the call may use the connection with this local port.
    bool may_use(int port);
    // Converts libcurl's result code to the result of the call.
    http_result result(CURLcode code);
};

} // namespace springstair
