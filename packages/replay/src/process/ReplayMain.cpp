#include <iostream>
#include <string>

#include <absl/strings/str_format.h>
#include <tclap/CmdLine.h>

#include "process/Measures.h"

namespace {

using namespace cactuswick::replay;

void
PrintRow(const Trace& aTrace, Policy aPolicy, uint64_t aSeed)
{
  const Measures m = Measure(aTrace, aPolicy, aSeed);
  std::cout << absl::StrFormat(
    "%-13s %-11s %7.0f %7.0f %7.0f  %5.1f %5.1f %5.1f  %5.1f %5.1f %5.1f "
    "%8.2f %6.3f %7d %5d %5d %5.1f %6d\n",
    aTrace.name_,
    std::string(EnumNames(&aPolicy)[static_cast<size_t>(aPolicy)]),
    m.firstTokenP50Ms_,
    m.firstTokenP95Ms_,
    m.firstTokenP99Ms_,
    m.deadlinesMet_[0],
    m.deadlinesMet_[1],
    m.deadlinesMet_[2],
    m.tokenShare_[0],
    m.tokenShare_[1],
    m.tokenShare_[2],
    m.worstSlowdown_,
    m.jainIndex_,
    m.refused_,
    m.falselyRefused_,
    m.failed_,
    m.prefixHits_,
    m.retries_);
}

void
PrintHeader()
{
  std::cout << absl::StrFormat(
    "%-13s %-11s %7s %7s %7s  %5s %5s %5s  %5s %5s %5s %8s %6s %7s %5s %5s "
    "%5s %6s\n",
    "TRACE",
    "POLICY",
    "UFT50",
    "UFT95",
    "UFT99",
    "MET0",
    "MET1",
    "MET2",
    "TOK0",
    "TOK1",
    "TOK2",
    "SLOWDOWN",
    "JAIN",
    "REFUSED",
    "FALSE",
    "FAIL",
    "HIT%",
    "RETRY");
}

} // namespace

int
main(int aCount, char** aValues)
{
  try {
    TCLAP::CmdLine line(
      "Replays seeded traces against the routing decisions and baseline "
      "policies. UFT: time to first token of urgent requests (ms); MET: "
      "deadlines met for small workspaces per rank (%); TOK: share of tokens "
      "per rank (%); SLOWDOWN: largest slowdown of a small workspace relative "
      "to having the fleet to itself, without the least urgent rank. All over "
      "the trace's measurement window.");
    TCLAP::ValueArg<std::string> trace(
      "t", "trace", "Trace to replay; default: all.", false, "", "NAME", line);
    TCLAP::ValueArg<uint64_t> seed(
      "s", "seed", "Seed of the traces.", false, 20'261'204, "N", line);
    TCLAP::SwitchArg own(
      "", "own", "Replay only cactuswick's own policy.", line);
    line.parse(aCount, aValues);
    PrintHeader();
    for (const auto& name : TraceNames()) {
      if (!trace.getValue().empty() && trace.getValue() != name) {
        continue;
      }
      const Trace replayed = MakeTrace(name, seed.getValue());
      for (size_t i = 0; i < (own.getValue() ? 1U : 5U); ++i) {
        PrintRow(replayed, static_cast<Policy>(i), seed.getValue());
      }
    }
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "cactuswick-replay: " << error.what() << "\n";
    return 1;
  }
}
