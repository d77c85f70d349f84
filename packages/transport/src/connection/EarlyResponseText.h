#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cactuswick/transport/connection/RequestHead.h"

/// Text of request heads and of responses that are sent without evhttp.
namespace cactuswick::transport {

/// Appends bytes to a head, without the blank lines that may precede it.
void
AppendHeadText(std::string& aHead, std::string_view aAdded);

/// Returns the length of a complete head with its blank line; nullopt if more
/// bytes have to come. The first @p aCheckedBytes hold no complete head.
std::optional<size_t>
FindHeadEnd(std::string_view aHead, size_t aCheckedBytes);

/// Reads a complete head. Lines that are no header are left out: evhttp rejects
/// such requests.
RequestHead
ParseHead(std::string_view aHead);

/// Returns the bytes of a response that closes the connection.
std::string
PrintEarlyResponse(const EarlyResponse& aResponse);

} // namespace cactuswick::transport
