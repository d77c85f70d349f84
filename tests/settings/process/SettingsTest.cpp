#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "cactuswick/settings/process/Settings.h"

#include "cactuswick/model/process/Error.h"

namespace cactuswick::settings {
namespace {

constexpr const char* kValidText = "[process]\n"
                                   "vm = r1\n"
                                   "failure_domain = a\n"
                                   "[router]\n"
                                   "listen = 127.0.0.1:1\n"
                                   "peer_listen = 127.0.0.1:2\n"
                                   "control = 127.0.0.1:3, 127.0.0.2:3\n";

TEST(Settings, ReturnsParsedValuesAndDefaults)
{
  const auto settings = Settings::Parse("f", kValidText);
  ASSERT_TRUE(settings.ok()) << settings.status().ToString();
  EXPECT_EQ(settings->Text(), kValidText);
  EXPECT_EQ(settings->Get(kVm), "r1");
  EXPECT_EQ(settings->Get(kQueueLimit), kQueueLimit.default_);
  EXPECT_EQ(settings->GetAddresses(kRouterControl).size(), 2U);
  EXPECT_TRUE(settings->HasRole("router"));
  EXPECT_FALSE(settings->HasRole("control"));
}

TEST(Settings, AcceptsFractionsOfBoundsThatThePlatformGives)
{
  const auto settings = Settings::Parse("f",
                                        std::string(kValidText) +
                                          "[forward]\n"
                                          "grace_s = 7.5\n"
                                          "retry_slack = 35.166666666666664\n");
  ASSERT_TRUE(settings.ok()) << settings.status().ToString();
  EXPECT_EQ(settings->GetDecimal(kForwardGraceS), 7.5);
  EXPECT_NEAR(settings->GetDecimal(kForwardRetrySlack), 35.17, 0.01);
}

struct InvalidSetting
{
  const char* lines_;
  const char* field_;
  const char* expected_;
};

class InvalidSettings : public testing::TestWithParam<InvalidSetting>
{};

TEST_P(InvalidSettings, ErrorNamesFileLineKeyAndFormat)
{
  const std::string text = std::string(kValidText) + GetParam().lines_;
  const auto settings = Settings::Parse("f", text);
  ASSERT_FALSE(settings.ok());
  EXPECT_EQ(model::FieldOf(settings.status()), GetParam().field_);
  EXPECT_NE(std::string(settings.status().message()).find(GetParam().expected_),
            std::string::npos)
    << settings.status().message();
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  InvalidSettings,
  testing::Values(
    InvalidSetting{ "queue_limit = many\n",
                    "f:8: [router] queue_limit",
                    "an integer from 1 to 1000000 requests" },
    InvalidSetting{ "queue_limit = 0\n",
                    "f:8: [router] queue_limit",
                    "from 1" },
    InvalidSetting{ "queue_limit = 99999999999999999999\n",
                    "f:8: [router] queue_limit",
                    "from 1" },
    InvalidSetting{ "queue_limit = 5\n\nqueue_limit = 6\n",
                    "f:10: [router] queue_limit",
                    "already in line 8" },
    InvalidSetting{ "wings = 2\n", "f:8: [router] wings", "unknown key" },
    InvalidSetting{ "[bird]\nwings = 2\n",
                    "f:9: [bird] wings",
                    "unknown section" },
    InvalidSetting{ "[log]\nlevel = loud\n",
                    "f:9: [log] level",
                    "one of: debug info warning error" },
    InvalidSetting{ "metrics_listen = localhost:1\n",
                    "f:8: [router] metrics_listen",
                    "IPv4:port" },
    InvalidSetting{ "metrics_listen = 1.2.3.4:70000\n",
                    "f:8: [router] metrics_listen",
                    "IPv4:port" },
    InvalidSetting{ "[forward]\ngrace_s = 1e300\n",
                    "f:9: [forward] grace_s",
                    "a number from 0 to 1000000000" },
    InvalidSetting{ "[operator]\nkey_sha256 = abc\n",
                    "f:9: [operator] key_sha256",
                    "64 hexadecimal digits" },
    InvalidSetting{ "this is no setting\n",
                    "f:8",
                    "[section] or key = value" }));

TEST(Settings, RejectsMissingKeyOfRole)
{
  const auto settings = Settings::Parse(
    "f", "[process]\nvm = c1\nfailure_domain = a\nroles = control\n");
  ASSERT_FALSE(settings.ok());
  EXPECT_EQ(model::FieldOf(settings.status()), "f: [control] listen");
}

TEST(Settings, SampleFileContainsEverySetting)
{
  const std::string sample = SampleFile();
  for (const auto& setting : AllSettings()) {
    EXPECT_NE(sample.find(std::string(setting.key_) + " = "), std::string::npos)
      << setting.key_;
  }
  const auto settings = Settings::Parse(
    "sample",
    sample + "[process]\nvm = r1\nfailure_domain = a\n"
             "[router]\nlisten = 127.0.0.1:1\npeer_listen = 127.0.0.1:2\n"
             "control = 127.0.0.1:3\n");
  EXPECT_TRUE(settings.ok()) << settings.status().ToString();
}

RC_GTEST_PROP(SettingsProperty,
              ArbitraryTextParsesOrReturnsField,
              (const std::string& aText))
{
  const auto settings = Settings::Parse("f", aText);
  RC_ASSERT(!settings.ok());
  const auto more = Settings::Parse("f", kValidText + aText);
  RC_ASSERT(more.ok() || !model::FieldOf(more.status()).empty());
}

} // namespace
} // namespace cactuswick::settings
