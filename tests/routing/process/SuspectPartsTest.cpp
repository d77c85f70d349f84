#include <set>

#include <gtest/gtest.h>

#include "cactuswick/model/process/Text.h"
#include "cactuswick/routing/process/SuspectParts.h"

namespace cactuswick::routing {
namespace {

using model::BrokenRequest;
using model::Concat;
using model::CrashReport;

constexpr int64_t kSecondMs = 1'000;
/// Maximum number of parts in the reports for another process.
constexpr size_t kMaxParts = 1'024;

bool
NoneKnown(const std::string&)
{
  return false;
}

/// Crashes of distinct endpoints, one second apart.
class Crashes
{
public:
  explicit Crashes(SuspectPartsOptions aOptions = {})
    : suspects_(aOptions)
  {
  }

  /// Adds a crash with one request; the number identifies request and repeats.
  void Add(int64_t aRequest,
           std::vector<std::string> aParts,
           bool aResponding = true)
  {
    nowMs_ += kSecondMs;
    AddNow(aRequest, std::move(aParts), aResponding);
  }

  void AddNow(int64_t aRequest,
              std::vector<std::string> aParts,
              bool aResponding = true)
  {
    Report({ Concat("e", ++endpoints_), 1 },
           { { { aRequest, std::move(aParts) }, aResponding } });
  }

  void Report(const model::EndpointRun& aEndpoint,
              std::vector<BrokenRequest> aRequests)
  {
    suspects_.AddReport(
      { .endpoint_ = aEndpoint, .requests_ = std::move(aRequests) }, nowMs_);
  }

  void Answer(const std::string& aPart)
  {
    nowMs_ += kSecondMs;
    suspects_.AddAnswer(aPart, nowMs_);
  }

  /// Returns the part with sufficient evidence, or an empty string.
  std::string Proved(const SuspectParts::IsExplained& aIsKnown = NoneKnown)
  {
    const auto proof = suspects_.FindProof(aIsKnown);
    return proof ? proof->part_ : "";
  }

  SuspectParts suspects_;
  int64_t nowMs_ = 10 * kSecondMs;

private:
  int endpoints_ = 0;
};

TEST(SuspectParts, PartOfThreeDifferentRequestsIsProved)
{
  Crashes crashes;
  crashes.Add(1, { "hot", "topic1", "bad" });
  crashes.Add(2, { "hot", "topic2", "bad" });
  EXPECT_EQ(crashes.Proved(), "");
  crashes.Answer("hot");
  crashes.Add(3, { "hot", "topic3", "bad" });
  EXPECT_EQ(crashes.Proved(), "bad");
}

TEST(SuspectParts, RepeatsOfOneRequestAloneProveNothing)
{
  Crashes crashes;
  for (int i = 0; i < 9; ++i) {
    crashes.Add(1, { "topic", "bad" });
  }
  EXPECT_EQ(crashes.Proved(), "");
}

TEST(SuspectParts, TwoRequestsWithOneRepeatEachProveTheirCommonPart)
{
  Crashes crashes;
  for (const int64_t request : { 1, 1, 2, 2 }) {
    EXPECT_EQ(crashes.Proved(), "");
    crashes.Add(request, { "hot", Concat("topic", request), "bad" });
  }
  EXPECT_EQ(crashes.Proved(), "bad");
}

TEST(SuspectParts, ResponseClearsPartOfEarlierCrashes)
{
  Crashes crashes;
  crashes.Add(1, { "hot" });
  crashes.Add(2, { "hot" });
  crashes.Answer("hot");
  for (int64_t request = 3; request < 9; ++request) {
    crashes.Add(request, { "hot" });
    EXPECT_EQ(crashes.Proved(), "");
  }
  crashes.Add(9, { "hot" });
  EXPECT_EQ(crashes.Proved(), "hot");
}

TEST(SuspectParts, CrashesAtOneMomentCountOnce)
{
  Crashes crashes;
  crashes.Add(1, { "hot" });
  for (int64_t request = 2; request < 20; ++request) {
    crashes.AddNow(request, { "hot" });
  }
  EXPECT_EQ(crashes.Proved(), "");
  EXPECT_EQ(crashes.suspects_.Assess(NoneKnown).front().score_,
            SuspectParts::kRespondingScore);
}

TEST(SuspectParts, WaitingRequestsCountOnlyWithoutResponse)
{
  Crashes crashes;
  for (int64_t request = 1; request < 9; ++request) {
    crashes.nowMs_ += kSecondMs;
    crashes.Report({ Concat("both", request), 1 },
                   { { { request, { "waiting" } }, false },
                     { { 100 + request, { "responding" } }, true } });
  }
  EXPECT_EQ(crashes.Proved(), "responding");
  const auto ranked = crashes.suspects_.Assess(NoneKnown);
  EXPECT_EQ(ranked.size(), 1U);
}

TEST(SuspectParts, WaitingRequestsAreWeakerEvidence)
{
  Crashes crashes;
  for (int64_t request = 1; request <= 5; ++request) {
    crashes.Add(request, { "bad" }, false);
    EXPECT_EQ(crashes.Proved(), "");
  }
  crashes.Add(6, { "bad" }, false);
  EXPECT_EQ(crashes.Proved(), "bad");
}

TEST(SuspectParts, ReportsOfOneCrashAreCombined)
{
  Crashes crashes;
  const model::EndpointRun endpoint{ "e", 1 };
  crashes.Report(endpoint, { { { 1, { "a" } }, false } });
  crashes.Report(endpoint, { { { 2, { "b" } }, true } });
  crashes.Report(endpoint, { { { 2, { "b" } }, true } });
  EXPECT_EQ(crashes.suspects_.CrashCount(), 1U);
  const auto ranked = crashes.suspects_.Assess(NoneKnown);
  ASSERT_EQ(ranked.size(), 1U);
  EXPECT_EQ(ranked.front().part_, "b");
  EXPECT_EQ(ranked.front().crashes_, 1);
}

// Sound requests that share the first part are at the same endpoints, so they
// break with them, each time another one.
TEST(SuspectParts, RequestsAtTheSameEndpointsDoNotIncriminateTheSharedPart)
{
  Crashes crashes;
  int64_t sound = 100;
  for (const int64_t request : { 1, 1, 1, 2, 2, 3 }) {
    crashes.nowMs_ += kSecondMs;
    crashes.Report({ Concat("e", ++sound), 1 },
                   { { { request, { "shared", "bad" } }, true },
                     { { sound, { "shared" } }, true } });
    const std::string proved = crashes.Proved();
    EXPECT_TRUE(proved.empty() || proved == "bad") << proved;
  }
  EXPECT_EQ(crashes.Proved(), "bad");
}

TEST(SuspectParts, PartOfManyDocumentsIsProvedDespiteRepeatsOfEach)
{
  Crashes crashes;
  for (const int64_t request : { 1, 1, 1, 1, 2, 2 }) {
    crashes.Add(request, { "bad", Concat("document", request) });
  }
  EXPECT_EQ(crashes.Proved(), "bad");
}

TEST(SuspectParts, DeepestOfEquallySuspectPartsComesFirst)
{
  Crashes crashes;
  for (int64_t request = 1; request <= 3; ++request) {
    crashes.Add(request, { "system", "document" });
  }
  EXPECT_EQ(crashes.Proved(), "document");
}

TEST(SuspectParts, KnownPartExplainsItsCrashes)
{
  Crashes crashes;
  for (int64_t request = 1; request <= 3; ++request) {
    crashes.Add(request, { "system", "document" });
  }
  const auto known = [](const std::string& aPart) {
    return aPart == "document";
  };
  EXPECT_TRUE(crashes.suspects_.Assess(known).empty());
}

TEST(SuspectParts, SeveralHarmfulPartsAreFoundOneAfterTheOther)
{
  Crashes crashes;
  for (int64_t request = 1; request <= 6; ++request) {
    crashes.Add(request, { "system", request % 2 == 0 ? "bad1" : "bad2" });
  }
  crashes.Answer("system");
  const std::string first = crashes.Proved();
  const std::string second =
    crashes.Proved([&](const std::string& aPart) { return aPart == first; });
  EXPECT_EQ((std::set{ first, second }),
            (std::set<std::string>{ "bad1", "bad2" }));
}

TEST(SuspectParts, PartThatWasAnsweredBeforeNeedsMoreCrashes)
{
  constexpr int64_t kCrashes = 7;
  Crashes crashes;
  crashes.Answer("part");
  for (int64_t request = 1; request < kCrashes; ++request) {
    crashes.Add(request, { "part" });
    EXPECT_EQ(crashes.Proved(), "");
  }
  crashes.Add(kCrashes, { "part" });
  EXPECT_EQ(crashes.Proved(), "part");
}

TEST(SuspectParts, SoundPartBeforeSeveralDeadlyOnesIsNotFound)
{
  Crashes crashes;
  crashes.Answer("topic");
  std::set<std::string> known;
  const auto isKnown = [&](const std::string& aPart) {
    return known.contains(aPart);
  };
  for (int64_t request = 0; request < 9; ++request) {
    crashes.Add(request, { "topic", Concat("bad", request % 3) });
    if (const std::string proved = crashes.Proved(isKnown); !proved.empty()) {
      known.insert(proved);
    }
  }
  EXPECT_EQ(known, (std::set<std::string>{ "bad0", "bad1", "bad2" }));
}

TEST(SuspectParts, EndpointThatStillRespondsHasNotCrashed)
{
  Crashes crashes;
  for (int64_t request = 1; request <= 3; ++request) {
    crashes.Add(request, { "part" });
  }
  crashes.suspects_.RemoveCrash({ "e2", 1 });
  EXPECT_EQ(crashes.Proved(), "");
}

TEST(SuspectParts, EvidenceOutsideTheWindowIsForgotten)
{
  Crashes crashes({ .windowMs_ = 10 * kSecondMs });
  crashes.Add(1, { "part" });
  crashes.Add(2, { "part" });
  crashes.nowMs_ += 10 * kSecondMs;
  crashes.suspects_.Expire(crashes.nowMs_);
  crashes.Add(3, { "part" });
  EXPECT_EQ(crashes.Proved(), "");
}

TEST(SuspectParts, ReportsCarryTheEvidenceToAnotherProcess)
{
  Crashes crashes;
  for (int64_t request = 1; request <= 3; ++request) {
    crashes.Add(request, { "bad" });
  }
  SuspectParts other({});
  for (const auto& report :
       crashes.suspects_.Reports(crashes.nowMs_, kMaxParts)) {
    other.AddReport(report, kSecondMs);
  }
  EXPECT_EQ(other.Assess(NoneKnown), [&] {
    auto expected = crashes.suspects_.Assess(NoneKnown);
    expected.front().sinceMs_ += kSecondMs - crashes.nowMs_;
    return expected;
  }());
}

TEST(SuspectParts, StateIsBoundedWhateverCallersSend)
{
  const SuspectPartsOptions options{ .maxCrashes_ = 16 };
  Crashes crashes(options);
  for (int64_t crash = 0; crash < 200; ++crash) {
    crashes.nowMs_ += kSecondMs;
    for (int64_t request = 0; request < 40; ++request) {
      std::vector<std::string> parts;
      for (int part = 0; part < 100; ++part) {
        parts.push_back(Concat("part", crash, ".", request, ".", part));
      }
      crashes.suspects_.AddAnswer(parts.front(), crashes.nowMs_);
      crashes.Report({ Concat("e", crash), 1 },
                     { { { request, parts }, request % 2 == 0 } });
    }
  }
  EXPECT_EQ(crashes.suspects_.CrashCount(), options.maxCrashes_);
  EXPECT_LE(crashes.suspects_.AnswerCount(), 1'024U);
  size_t partCount = 0;
  const auto reports = crashes.suspects_.Reports(crashes.nowMs_, kMaxParts);
  for (const auto& report : reports) {
    EXPECT_LE(report.requests_.size(), 16U);
    for (const auto& request : report.requests_) {
      EXPECT_LE(request.prompt_.parts_.size(), model::kMaxTrackedParts);
      partCount += request.prompt_.parts_.size();
    }
  }
  EXPECT_LE(partCount, kMaxParts);
  ASSERT_FALSE(reports.empty());
  EXPECT_EQ(reports.front().endpoint_.endpoint_, "e199");
}

} // namespace
} // namespace cactuswick::routing
