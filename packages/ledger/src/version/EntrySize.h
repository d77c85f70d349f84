#pragma once

#include <cstddef>

#include "cactuswick/ledger/version/RaftMessage.h"

namespace cactuswick::ledger {

/// Bytes of the part of an entry that can be large; the rest is small.
size_t
DocumentBytes(const Entry& aEntry);

} // namespace cactuswick::ledger
