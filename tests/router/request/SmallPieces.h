#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include <gtest/gtest.h>

namespace cactuswick::router {

/// Feeds a splitter of events the largest event, byte by byte, with a line's
/// end in every second place, and expects that this takes linear time.
template<class Splitter>
void
ExpectLinearTimeForSmallPieces()
{
  constexpr auto kMost = std::chrono::seconds(1);
  const auto start = std::chrono::steady_clock::now();
  Splitter splitter;
  for (size_t i = 0; i < Splitter::kMaxEventBytes; ++i) {
    splitter.Feed(i % 2 == 0 ? "a" : "\n");
  }
  EXPECT_LT(std::chrono::steady_clock::now() - start, kMost);
  EXPECT_EQ(splitter.Feed("\n").size(), Splitter::kMaxEventBytes + 1);
}

} // namespace cactuswick::router
