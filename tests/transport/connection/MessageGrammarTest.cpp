#include "connection/MessageGrammar.h"

#include <string>

#include <gtest/gtest.h>

namespace cactuswick::transport {
namespace {

using namespace std::string_literals;

TEST(MessageGrammar, TokensAreLettersDigitsAndMarks)
{
  EXPECT_TRUE(IsToken("M-SEARCH"));
  EXPECT_TRUE(IsToken("!#$%&'*+-.^_`|~09azAZ"));
  for (const auto& text :
       { ""s, "a b"s, "a:"s, "a\t"s, "a\0"s, "(a)"s, "a/b"s, "\xc3\xa4"s }) {
    EXPECT_FALSE(IsToken(text)) << text;
  }
}

TEST(MessageGrammar, FieldTextHasNoControlCharactersButTabs)
{
  EXPECT_TRUE(IsFieldText(""));
  EXPECT_TRUE(IsFieldText("a\t\"b\" \xc3\xa4"));
  for (const auto& text :
       { "a\r"s, "a\nb"s, "a\0b"s, "\x0b"s, "\x1f"s, "\x7f"s }) {
    EXPECT_FALSE(IsFieldText(text)) << text;
  }
}

TEST(MessageGrammar, TargetsHaveNoBlanks)
{
  EXPECT_TRUE(IsTarget("/a%20b?c=\xc3\xa4"));
  EXPECT_TRUE(IsTarget("*"));
  for (const auto& text : { ""s, "/a b"s, "/a\tb"s, "/a\rb"s, "/\0"s }) {
    EXPECT_FALSE(IsTarget(text)) << text;
  }
}

TEST(MessageGrammar, OnlyBlanksAndTabsAreTrimmed)
{
  EXPECT_EQ(TrimBlanks(" \ta b\t "), "a b");
  EXPECT_EQ(TrimBlanks("\t "), "");
  EXPECT_EQ(TrimBlanks("\r\na\v"), "\r\na\v");
}

// Guards against lengths that one parser reads and another one does not: the
// body would then end at two places.
TEST(MessageGrammar, LengthsAreDigitsOnly)
{
  uint64_t length = 0;
  EXPECT_TRUE(ParseLength("0", 10, length));
  EXPECT_EQ(length, 0);
  EXPECT_TRUE(ParseLength("0012", 10, length));
  EXPECT_EQ(length, 12);
  EXPECT_TRUE(ParseLength("fF", 16, length));
  EXPECT_EQ(length, 255);
  for (const auto* text :
       { "", "+1", "-1", "-0", " 1", "1 ", "1,1", "0x1", "1a", "1.0", "1e1" }) {
    EXPECT_FALSE(ParseLength(text, 10, length)) << text;
  }
  for (const auto* text : { "", "+f", "0xf", "g", "f;", " f" }) {
    EXPECT_FALSE(ParseLength(text, 16, length)) << text;
  }
}

TEST(MessageGrammar, SumOfTwoLengthsDoesNotOverflow)
{
  uint64_t length = 0;
  EXPECT_TRUE(ParseLength("3fffffffffffffff", 16, length));
  EXPECT_FALSE(ParseLength("4000000000000000", 16, length));
  EXPECT_FALSE(ParseLength("9223372036854775807", 10, length));
  EXPECT_FALSE(ParseLength("18446744073709551617", 10, length));
}

} // namespace
} // namespace cactuswick::transport
