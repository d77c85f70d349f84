#pragma once

#include <string>

#include "cactuswick/check/version/Finding.h"
#include "cactuswick/transport/connection/PeerMessage.h"

namespace cactuswick::client {

/// Formats resources and budgets as an aligned table.
std::string
FormatTable(const transport::QueryReply& aReply);

/// Formats the state of the control replicas and routers as a table.
std::string
FormatTable(const transport::ControlStatus& aStatus);

/// Formats a resource or budget in full, with the state of each router.
std::string
FormatDescription(const transport::QueryReply& aReply,
                  const transport::ControlStatus& aStatus);

/// Formats findings one a line, as "severity pointer: message".
std::string
FormatFindings(const check::Findings& aFindings);

} // namespace cactuswick::client
