#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include <gtest/gtest.h>

namespace cactuswick::router {

/// Feeds a splitter the largest event byte by byte, with a newline at every
/// second position, and expects linear time: a splitter that rescans its buffer
/// for every piece takes quadratic time.
template<class Splitter>
void
ExpectLinearTimeForSmallPieces()
{
  constexpr auto kMaxDuration = std::chrono::seconds(1);
  const auto start = std::chrono::steady_clock::now();
  Splitter splitter;
  for (size_t i = 0; i < Splitter::kMaxEventBytes; ++i) {
    splitter.Feed(i % 2 == 0 ? "a" : "\n");
  }
  EXPECT_LT(std::chrono::steady_clock::now() - start, kMaxDuration);
  EXPECT_EQ(splitter.Feed("\n").size(), Splitter::kMaxEventBytes + 1);
}

} // namespace cactuswick::router
