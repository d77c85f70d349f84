#include "cactuswick/model/process/Compression.h"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Hash.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::model {
namespace {

/// A declared deployment of @p aRoutes routes with names that share nothing.
std::string
DeploymentOf(int aRoutes)
{
  std::string document = "{\"Routes\":[";
  for (int i = 0; i < aRoutes; ++i) {
    AppendTo(
      document,
      i == 0 ? "" : ",",
      "{\"Host\":\"",
      RandomHex().substr(0, 6),
      ".example\",\"PathPrefix\":\"/",
      RandomHex().substr(0, 8),
      "/\",\"Type\":\"streaming\",\"Service\":\"",
      RandomHex().substr(0, 7),
      "\",\"MaxAttempts\":2,\"TimeoutMs\":12000,\"LatencyTargetMs\":4000,"
      "\"Priority\":2,\"Sticky\":true,\"Resumable\":true,"
      "\"GapAimMs\":600,\"Public\":false}");
  }
  return document + "]}";
}

RC_GTEST_PROP(Compression, GivesBackWhatWasPacked, (const std::string& aText))
{
  const auto text = Decompress(Compress(aText));
  RC_ASSERT(text.ok());
  RC_ASSERT(*text == aText);
}

RC_GTEST_PROP(Compression,
              NeverAnswersWithMoreThanItsBound,
              (std::string aBytes))
{
  aBytes.insert(0, 1, '\x01');
  const auto text = Decompress({ aBytes });
  RC_ASSERT((text.ok() ? text->size() : 0) <= kMaxDecompressedBytes);
}

TEST(Compression, AVersionEach80MsFitsALinkOf10MbitPerS)
{
  // The largest configuration and the quickest storm of the grown sites.
  constexpr size_t kMostBytes = 100'000;
  const std::string document = DeploymentOf(1'700);
  ASSERT_GT(document.size(), 3 * kMostBytes);
  EXPECT_LT(Compress(document).bytes_.size(), kMostBytes);
}

TEST(Compression, TakesBytesThatWereNeverPacked)
{
  EXPECT_EQ(Decompress({ "{\"Version\":1}" }).value(), "{\"Version\":1}");
  EXPECT_EQ(Decompress({ "" }).value(), "");
}

TEST(Compression, RefusesDamagedBytes)
{
  const std::string packed = Compress(DeploymentOf(10)).bytes_;
  std::string other = packed;
  other[packed.size() / 2] = static_cast<char>(~other[packed.size() / 2]);
  const std::string huge("\x01\xff\xff\xff\x7f", 5);
  for (const auto& bytes : { packed.substr(0, 3),
                             packed.substr(0, packed.size() / 2),
                             other,
                             huge }) {
    const auto text = Decompress({ bytes });
    ASSERT_FALSE(text.ok());
    EXPECT_EQ(KindOf(text.status()), ErrorKind::kMalformed);
  }
}

} // namespace
} // namespace cactuswick::model
