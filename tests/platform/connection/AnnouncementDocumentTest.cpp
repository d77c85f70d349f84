#include <gtest/gtest.h>

#include "connection/AnnouncementDocument.h"

#include <limits>

#include <nlohmann/json.hpp>

namespace cactuswick::platform {
namespace {

nlohmann::json
ReadyDocument()
{
  return { { "Service", "s" },   { "Address", "10.0.0.9:8080" },
           { "Zone", "z" },      { "Version", "v1" },
           { "Slots", 64 },      { "State", "ready" },
           { "ColdLeftMs", 0 },  { "Sequence", 4 },
           { "born", 1'700'000 } };
}

TEST(AnnouncementDocument, DecodesReadyEndpoint)
{
  const auto announcement =
    DecodeAnnouncement("i-1", ReadyDocument().dump(), 5'000);
  ASSERT_TRUE(announcement.ok()) << announcement.status();
  EXPECT_EQ(announcement->endpoint_, "i-1");
  EXPECT_EQ(announcement->serves_, (std::vector<std::string>{ "s" }));
  EXPECT_EQ(announcement->address_, "10.0.0.9:8080");
  EXPECT_EQ(announcement->failureDomain_, "z");
  EXPECT_EQ(announcement->slots_, 64);
  EXPECT_EQ(announcement->incarnation_, 1'700'000);
  EXPECT_EQ(announcement->sequence_, 4);
  EXPECT_EQ(announcement->leaseMs_, 5'000);
  EXPECT_FALSE(announcement->leaving_);
}

TEST(AnnouncementDocument, DrainingStateDecodesAsLeaving)
{
  auto document = ReadyDocument();
  document["State"] = "draining";
  EXPECT_TRUE(DecodeAnnouncement("i-1", document.dump(), 1)->leaving_);
}

TEST(AnnouncementDocument, DecodesSoftwareVersion)
{
  auto document = ReadyDocument();
  EXPECT_EQ(DecodeAnnouncement("i-1", document.dump(), 1)->softwareVersion_,
            "v1");
  document.erase("Version");
  EXPECT_EQ(DecodeAnnouncement("i-1", document.dump(), 1)->softwareVersion_,
            "");
  document["Version"] = std::string(257, 'v');
  EXPECT_FALSE(DecodeAnnouncement("i-1", document.dump(), 1).ok());
}

TEST(AnnouncementDocument, DecodesColdTime)
{
  auto document = ReadyDocument();
  EXPECT_EQ(DecodeAnnouncement("i-1", document.dump(), 1)->coldLeftMs_, 0);
  document["ColdLeftMs"] = 2'999.5;
  EXPECT_EQ(DecodeAnnouncement("i-1", document.dump(), 1)->coldLeftMs_, 2'999);
  document.erase("ColdLeftMs");
  EXPECT_EQ(DecodeAnnouncement("i-1", document.dump(), 1)->coldLeftMs_, 0);
}

TEST(AnnouncementDocument, ColdTimeOutOfRangeIsClamped)
{
  const std::vector<std::pair<nlohmann::json, int64_t>> cases = {
    { -1, 0 },
    { -1e300, 0 },
    { std::numeric_limits<int64_t>::min(), 0 },
    { 1e300, model::kMaxColdLeftMs },
    { model::kMaxColdLeftMs + 1, model::kMaxColdLeftMs },
    { std::numeric_limits<uint64_t>::max(), model::kMaxColdLeftMs },
  };
  for (const auto& [value, expected] : cases) {
    auto document = ReadyDocument();
    document["ColdLeftMs"] = value;
    const auto announcement = DecodeAnnouncement("i-1", document.dump(), 1);
    ASSERT_TRUE(announcement.ok()) << value << " " << announcement.status();
    EXPECT_EQ(announcement->coldLeftMs_, expected) << value;
  }
}

TEST(AnnouncementDocument, RejectsInvalidFields)
{
  for (const char* name :
       { "Service", "Address", "Zone", "Slots", "State", "Sequence" }) {
    auto missing = ReadyDocument();
    missing.erase(name);
    EXPECT_FALSE(DecodeAnnouncement("i-1", missing.dump(), 1).ok()) << name;
    auto other = ReadyDocument();
    other[name] = nlohmann::json::array();
    EXPECT_FALSE(DecodeAnnouncement("i-1", other.dump(), 1).ok()) << name;
  }
  const std::vector<std::pair<const char*, nlohmann::json>> cases = {
    { "State", "asleep" },  { "Address", "nowhere" }, { "Slots", 0 },
    { "Slots", 1.5 },       { "born", "yesterday" },  { "born", 1.5 },
    { "Version", 3 },       { "Service", "" },        { "ColdLeftMs", "soon" },
    { "ColdLeftMs", true },
  };
  for (const auto& [name, value] : cases) {
    auto document = ReadyDocument();
    document[name] = value;
    EXPECT_FALSE(DecodeAnnouncement("i-1", document.dump(), 1).ok())
      << name << " " << value;
  }
  for (const char* bytes : { "", "{", "[]", "\xff\xfe", "null", "3" }) {
    EXPECT_FALSE(DecodeAnnouncement("i-1", bytes, 1).ok()) << bytes;
  }
  EXPECT_FALSE(DecodeAnnouncement("", ReadyDocument().dump(), 1).ok());
}

TEST(AnnouncementDocument, RejectsDeeplyNestedDocument)
{
  const std::string deep(1'000'000, '[');
  EXPECT_FALSE(DecodeAnnouncement("i-1", deep, 1).ok());
  const std::string text = ReadyDocument().dump();
  const std::string nested = text.substr(0, text.size() - 1) +
                             ",\"x\":" + std::string(100'000, '[') +
                             std::string(100'000, ']') + "}";
  EXPECT_FALSE(DecodeAnnouncement("i-1", nested, 1).ok());
  EXPECT_EQ(DecodeLeavingIncarnation(deep), std::nullopt);
}

TEST(AnnouncementDocument, RejectsImplausibleNumbers)
{
  for (const char* name : { "Slots", "Sequence", "born" }) {
    for (const char* number : { "18446744073709551615",
                                "9223372036854775808",
                                "9223372036854775807",
                                "1e300",
                                "1e999",
                                "-1" }) {
      auto document = ReadyDocument();
      document[name] = "NUMBER";
      std::string text = document.dump();
      text.replace(text.find("\"NUMBER\""), 8, number);
      EXPECT_FALSE(DecodeAnnouncement("i-1", text, 1).ok()) << text;
    }
  }
  EXPECT_EQ(DecodeLeavingIncarnation(R"({"born":18446744073709551615})"),
            std::nullopt);
}

TEST(AnnouncementDocument, RejectsPortOutOfRange)
{
  for (const char* port : { "0", "65536", "99999999999999999999", "-1", "" }) {
    auto document = ReadyDocument();
    document["Address"] = std::string("10.0.0.9:") + port;
    EXPECT_FALSE(DecodeAnnouncement("i-1", document.dump(), 1).ok()) << port;
  }
}

TEST(AnnouncementDocument, LeavingIncarnationIsOptional)
{
  EXPECT_EQ(DecodeLeavingIncarnation(R"({"born":7})"), 7);
  EXPECT_EQ(DecodeLeavingIncarnation(""), std::nullopt);
  EXPECT_EQ(DecodeLeavingIncarnation(R"({"born":"x"})"), std::nullopt);
}

} // namespace
} // namespace cactuswick::platform
