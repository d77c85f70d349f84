#pragma once

#include <cstddef>

struct bufferevent;

/// Counts the bytes that a connection has read, parsed or not. The count is
/// held by the bufferevent and ends with it.
namespace cactuswick::transport {

/// Counts from here on; call it once, before anything is read.
void
StartInputCount(bufferevent* aStream);

/// Bytes read since the start or the last reset.
size_t
InputCount(bufferevent* aStream);

void
ResetInputCount(bufferevent* aStream);

} // namespace cactuswick::transport
