#pragma once

#include <cstddef>

struct bufferevent;

/// Counts the bytes that a connection has read, whether parsed or not. The
/// count is part of the bufferevent and is freed with it.
namespace cactuswick::transport {

/// Starts counting; must be called once, before anything is read.
void
StartInputCount(bufferevent* aStream);

/// Returns the bytes read since the start or the last reset.
size_t
InputCount(bufferevent* aStream);

void
ResetInputCount(bufferevent* aStream);

} // namespace cactuswick::transport
