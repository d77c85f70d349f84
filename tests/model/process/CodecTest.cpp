#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "cactuswick/model/process/Codec.h"

#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/version/Announcement.h"
#include "cactuswick/model/version/Resource.h"

namespace cactuswick::model {
namespace {

struct BadText
{
  const char* text_;
  ErrorKind kind_;
  const char* field_;
};

class BadSpec : public testing::TestWithParam<BadText>
{};

TEST_P(BadSpec, FailsWithKindAndField)
{
  const auto spec = DecodeJson<Spec>(GetParam().text_);
  ASSERT_FALSE(spec.ok());
  EXPECT_EQ(NameOf(KindOf(spec.status())), NameOf(GetParam().kind_));
  EXPECT_EQ(FieldOf(spec.status()), GetParam().field_);
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  BadSpec,
  testing::Values(
    BadText{ "", ErrorKind::kMalformed, "" },
    BadText{ "{", ErrorKind::kMalformed, "" },
    BadText{ "[]", ErrorKind::kMalformed, "" },
    BadText{ "{}", ErrorKind::kMalformed, "" },
    BadText{ R"({"type":"wheel","name":"x"})", ErrorKind::kMalformed, ".type" },
    BadText{ R"({"type":"rank","name":3})", ErrorKind::kMalformed, "name" },
    BadText{ R"({"type":"rank","name":"x","priority":"high"})",
             ErrorKind::kMalformed,
             "priority" },
    BadText{ R"({"type":"rank","name":"x","priority":1.5})",
             ErrorKind::kMalformed,
             "priority" },
    BadText{ R"({"type":"rank","name":"x","priority":18446744073709551615})",
             ErrorKind::kOutOfRange,
             "priority" },
    BadText{ R"({"type":"rank","name":"x","wings":2})",
             ErrorKind::kMalformed,
             "" }));

TEST(Codec, RejectsDeepNesting)
{
  const std::string deep(100'000, '[');
  EXPECT_FALSE(DecodeJson<Spec>(deep).ok());
  const std::string deepCbor(100'000, '\x81');
  EXPECT_FALSE(DecodeCbor<Spec>(deepCbor).ok());
}

TEST(Codec, RejectsOversizedDocuments)
{
  const auto spec = DecodeJson<Spec>(std::string(kMaxDocumentBytes + 1, ' '));
  EXPECT_EQ(KindOf(spec.status()), ErrorKind::kTooLarge);
}

RC_GTEST_PROP(Codec, ArbitraryBytesDecodeOrFail, (const std::string& aBytes))
{
  // Decoding neither throws nor crashes; a decoded value survives a round trip.
  const auto cbor = DecodeCbor<Spec>(aBytes);
  const auto json = DecodeJson<Spec>(aBytes);
  if (cbor.ok()) {
    RC_ASSERT(*DecodeCbor<Spec>(EncodeCbor(*cbor)) == *cbor);
  }
  if (json.ok()) {
    RC_ASSERT(*DecodeJson<Spec>(EncodeJson(*json)) == *json);
  }
}

RC_GTEST_PROP(Codec, CorruptCborDecodesOrFails, (uint16_t aAt, char aByte))
{
  const Announcement announcement{ .endpoint_ = "e1",
                                   .serves_ = { "m" },
                                   .address_ = "127.0.0.1:1" };
  std::string bytes = EncodeCbor(announcement);
  bytes[aAt % bytes.size()] = aByte;
  const auto decoded = DecodeCbor<Announcement>(bytes);
  RC_ASSERT(decoded.ok() || KindOf(decoded.status()) != ErrorKind::kIo);
}

RC_GTEST_PROP(Codec,
              RoundTripsThroughCborAndJson,
              (int64_t aWeight, int64_t aMaxConcurrent))
{
  const Spec spec = Workspace{ .name_ = "w",
                               .weight_ = aWeight,
                               .maxConcurrent_ = aMaxConcurrent };
  RC_ASSERT(*DecodeCbor<Spec>(EncodeCbor(spec)) == spec);
  RC_ASSERT(*DecodeJson<Spec>(EncodeJson(spec)) == spec);
}

} // namespace
} // namespace cactuswick::model
