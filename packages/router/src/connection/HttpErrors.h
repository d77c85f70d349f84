#pragma once

#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "cactuswick/transport/connection/HttpExchange.h"

namespace cactuswick::router {

inline constexpr int kHttpOk = 200;
inline constexpr int kHttpNotFound = 404;

inline constexpr const char* kJsonType = "application/json";
inline constexpr const char* kOutcomeHeader = "X-Cactuswick-Outcome";

/// Outcome of a request for its caller; every request ends in one of the three.
enum class Outcome
{
  /// The complete response was sent.
  kWhole,
  /// The request did not run.
  kRefused,
  /// The request may have run; a retry under the same idempotency key is safe.
  kUnknown,
};

std::string_view
NameOf(Outcome aOutcome);

/// Returns the JSON body of an error; all APIs use the same form.
std::string
ErrorBody(const absl::Status& aStatus, Outcome aOutcome);

/// Replies with an error, and with Retry-After if a retry may succeed.
void
ReplyError(transport::HttpExchange& aExchange,
           const absl::Status& aStatus,
           Outcome aOutcome = Outcome::kRefused);

void
ReplyJson(transport::HttpExchange& aExchange, std::string_view aBody);

/// Returns the token of an "Authorization: Bearer" header, or an empty string.
std::string
BearerToken(const transport::HttpExchange& aExchange);

/// Returns whether the bearer token has the SHA-256 @p aSha256. An empty
/// @p aSha256 matches no token.
bool
HasKey(const transport::HttpExchange& aExchange, const std::string& aSha256);

/// Removes @p aPrefix from @p aPath; returns false if @p aPath does not start
/// with it.
bool
ConsumePrefix(std::string_view& aPath, std::string_view aPrefix);

} // namespace cactuswick::router
