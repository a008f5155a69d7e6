#pragma once

#include <springstair/detail/core/time.hpp>

namespace springstair
{

/// @brief Has the kernel give up a connection whose other end says nothing,
/// not even that it got our bytes.
///
/// Also while nothing is to be said: an idle connection is probed each second.
/// @param bound how long our bytes may stay unacknowledged
/// @return whether the kernel took it; errno tells why not
bool set_ack_timeout(int socket, duration bound);

} // namespace springstair
