// Instantiates the codecs of this package's types.

#include "cactuswick/ledger/version/RaftMessage.h"
#include "cactuswick/ledger/version/Records.h"
#include "cactuswick/ledger/process/LogStore.h"
#include "cactuswick/ledger/process/SnapshotFile.h"
#include "cactuswick/model/process/CodecImpl.h"

CACTUSWICK_INSTANTIATE_CODEC(cactuswick::ledger::Command);
CACTUSWICK_INSTANTIATE_CODEC(cactuswick::ledger::Reply);
CACTUSWICK_INSTANTIATE_CODEC(cactuswick::ledger::RaftMessage);
CACTUSWICK_INSTANTIATE_CODEC(cactuswick::ledger::SnapshotRecord);
CACTUSWICK_INSTANTIATE_CODEC(cactuswick::ledger::LogFrame);
CACTUSWICK_INSTANTIATE_CODEC(cactuswick::ledger::SnapshotHeader);
CACTUSWICK_INSTANTIATE_CODEC(cactuswick::ledger::SnapshotRecords);
CACTUSWICK_INSTANTIATE_CODEC(cactuswick::ledger::Identity);
