#pragma once

#include <cstddef>

#include "cactuswick/ledger/version/RaftMessage.h"

namespace cactuswick::ledger {

/// Size of an entry's deployment document, the only part of an entry that can
/// be large.
size_t
DocumentBytes(const Entry& aEntry);

} // namespace cactuswick::ledger
