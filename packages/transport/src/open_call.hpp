#pragma once
// One call of an HTTP client, and what the library is told of it.

#include <springstair/transport.hpp>

#include <curl/curl.h>

#include <string>

namespace springstair
{

// A call on its way; curl's callbacks write into it.
struct open_call
{
    http_call call;
    http_completion done;
    std::string peer;
    time_point since = boot_clock::now(); ///< when it came, then when sent
    connection_pool* pool = nullptr;
    bool opened_one = false;  ///< or it was given a kept connection
    bool was_cut_off = false; ///< its kept connection ended; not sent again
    bool is_no_eligible_connection = false; ///< no connection that it may use
    curl_socket_t socket = CURL_SOCKET_BAD; ///< that it waits for
    CURL* handle = nullptr;
    curl_slist* header_list = nullptr;
    http_response response;
    std::string received;

    open_call(http_call what, http_completion then);
    open_call(const open_call&) = delete;
    open_call& operator=(const open_call&) = delete;
    ~open_call();

    // Tells the library what to do; the handle is set and the pool too.
    void set_up();
    // Whether the library may send it now; remembers if not. It does so of
    // itself when a kept connection ends before any byte of the answer; the
    // receiver may have carried out what left. So nothing but a read leaves
    // twice.
    bool may_be_sent();
    // Whether it may go on the connection of this machine's port.
    bool may_use(int port);
    // What came of it, by the library's code.
    http_result result(CURLcode code);
};

} // namespace springstair
