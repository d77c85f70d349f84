#include "cactuswick/model/process/Compression.h"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/process/Hash.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::model {
namespace {

/// Returns a deployment of @p aRoutes routes with random names, which do not
/// compress.
std::string
MakeDeployment(int aRoutes)
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

RC_GTEST_PROP(Compression, RoundTripsAnyText, (const std::string& aText))
{
  const auto text = Decompress(Compress(aText));
  RC_ASSERT(text.ok());
  RC_ASSERT(*text == aText);
}

RC_GTEST_PROP(Compression, OutputNeverExceedsSizeLimit, (std::string aBytes))
{
  aBytes.insert(0, 1, '\x01');
  const auto text = Decompress({ aBytes });
  RC_ASSERT((text.ok() ? text->size() : 0) <= kMaxDecompressedBytes);
}

TEST(Compression, DeploymentEach80MsFits10MbitPerSecond)
{
  // 1,700 routes are the largest configuration and 80 ms is the shortest update
  // interval of the large sites; 100,000 bytes per 80 ms are 10 Mbit/s.
  constexpr size_t kMaxBytes = 100'000;
  const std::string document = MakeDeployment(1'700);
  ASSERT_GT(document.size(), 3 * kMaxBytes);
  EXPECT_LT(Compress(document).bytes_.size(), kMaxBytes);
}

TEST(Compression, UncompressedInputPassesThrough)
{
  EXPECT_EQ(Decompress({ "{\"Version\":1}" }).value(), "{\"Version\":1}");
  EXPECT_EQ(Decompress({ "" }).value(), "");
}

TEST(Compression, RejectsCorruptData)
{
  const std::string compressed = Compress(MakeDeployment(10)).bytes_;
  std::string corrupt = compressed;
  corrupt[compressed.size() / 2] =
    static_cast<char>(~corrupt[compressed.size() / 2]);
  const std::string huge("\x01\xff\xff\xff\x7f", 5);
  for (const auto& bytes : { compressed.substr(0, 3),
                             compressed.substr(0, compressed.size() / 2),
                             corrupt,
                             huge }) {
    const auto text = Decompress({ bytes });
    ASSERT_FALSE(text.ok());
    EXPECT_EQ(KindOf(text.status()), ErrorKind::kMalformed);
  }
}

} // namespace
} // namespace cactuswick::model
