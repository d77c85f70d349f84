#pragma once

#include <string>

#include "cactuswick/transport/connection/PeerMessage.h"

namespace cactuswick::client {

/// Resources and budgets as an aligned table.
std::string
FormatTable(const transport::QueryReply& aReply);

/// The state of control and routers as a table.
std::string
FormatTable(const transport::ControlStatus& aStatus);

/// One resource or budget in full, with the routers that have it in force.
std::string
FormatDescription(const transport::QueryReply& aReply,
                  const transport::ControlStatus& aStatus);

} // namespace cactuswick::client
