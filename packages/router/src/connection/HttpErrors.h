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

/// How a request ended for its caller; there is no fourth way.
enum class Outcome
{
  /// The whole answer was sent.
  kWhole,
  /// Nothing ran.
  kRefused,
  /// It may have run; a retry under the same key is safe.
  kUnknown,
};

std::string_view
NameOf(Outcome aOutcome);

/// The JSON form of an error; callers, endpoints and operators get the same.
std::string
ErrorBody(const absl::Status& aStatus, Outcome aOutcome);

/// Answers with an error, and with Retry-After when a retry may help.
void
ReplyError(transport::HttpExchange& aExchange,
           const absl::Status& aStatus,
           Outcome aOutcome = Outcome::kRefused);

void
ReplyJson(transport::HttpExchange& aExchange, std::string_view aBody);

/// The token of an "Authorization: Bearer" header, or an empty string.
std::string
BearerToken(const transport::HttpExchange& aExchange);

/// Whether the bearer token has this SHA-256; no token has the empty one.
bool
HasKey(const transport::HttpExchange& aExchange, const std::string& aSha256);

/// Removes @p aPrefix from @p aPath; false when it does not start with it.
bool
ConsumePrefix(std::string_view& aPath, std::string_view aPrefix);

} // namespace cactuswick::router
