#pragma once

#include <springstair/detail/core/time.hpp>

namespace springstair
{

/// @brief Makes the kernel abort a connection whose peer acknowledges nothing.
///
/// Covers idle connections too: they are probed once per second.
/// @param timeout how long sent bytes may stay unacknowledged
/// @return whether all options were set; if not, errno has the reason
bool set_ack_timeout(int socket, duration timeout);

} // namespace springstair
