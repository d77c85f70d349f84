#include "connection/EndpointApi.h"

#include <utility>

#include "cactuswick/model/process/Codec.h"
#include "cactuswick/model/process/Error.h"
#include "cactuswick/model/version/Resource.h"
#include "cactuswick/transport/process/Address.h"
#include "connection/HttpErrors.h"

namespace cactuswick::router {

namespace {

using model::ErrorKind;
using model::MakeError;

constexpr int64_t kMaxSlots = 100'000;
constexpr int64_t kMinLeaseMs = 100;
constexpr int64_t kMaxLeaseMs = 60'000;
constexpr size_t kMaxServed = 64;

} // namespace

absl::Status
ValidateAnnouncement(const model::Announcement& aAnnouncement)
{
  absl::Status status =
    model::ValidateName("endpoint", aAnnouncement.endpoint_);
  status.Update(
    model::ValidateName("failure_domain", aAnnouncement.failureDomain_));
  status.Update(
    transport::ParseAddress("address", aAnnouncement.address_).status());
  if (!status.ok()) {
    return status;
  }
  if (aAnnouncement.serves_.empty() ||
      aAnnouncement.serves_.size() > kMaxServed) {
    return MakeError(ErrorKind::kOutOfRange, "serves", "expected 1 to 64");
  }
  if (aAnnouncement.slots_ < 1 || aAnnouncement.slots_ > kMaxSlots) {
    return MakeError(ErrorKind::kOutOfRange, "slots", "expected 1 to 100000");
  }
  if (aAnnouncement.leaseMs_ < kMinLeaseMs ||
      aAnnouncement.leaseMs_ > kMaxLeaseMs) {
    return MakeError(
      ErrorKind::kOutOfRange, "lease_ms", "expected 100 to 60000");
  }
  if (aAnnouncement.incarnation_ < 0 || aAnnouncement.sequence_ < 0 ||
      aAnnouncement.inFlight_ < 0) {
    return MakeError(
      ErrorKind::kOutOfRange, "sequence", "must not be negative");
  }
  return absl::OkStatus();
}

EndpointApi::EndpointApi(
  std::string aKeySha256,
  std::function<void(const model::Announcement&)> aOnAnnounced)
  : keySha256_(std::move(aKeySha256))
  , onAnnounced_(std::move(aOnAnnounced))
{
}

std::unique_ptr<transport::HttpExchange>
EndpointApi::Handle(std::unique_ptr<transport::HttpExchange> aExchange)
{
  if (aExchange->Path() != "/v1/endpoints" || aExchange->Method() != "POST") {
    return aExchange;
  }
  if (!keySha256_.empty() && !HasKey(*aExchange, keySha256_)) {
    ReplyError(*aExchange,
               MakeError(ErrorKind::kUnauthorized,
                         "Authorization",
                         "expected the endpoints' key"));
    return nullptr;
  }
  auto announcement = model::DecodeJson<model::Announcement>(aExchange->Body());
  absl::Status status = announcement.status();
  if (status.ok()) {
    status = ValidateAnnouncement(*announcement);
  }
  if (!status.ok()) {
    ReplyError(*aExchange, status);
    return nullptr;
  }
  announcement->coldLeftMs_ =
    model::ClampColdLeftMs(static_cast<double>(announcement->coldLeftMs_));
  onAnnounced_(*announcement);
  ReplyJson(*aExchange, "{}");
  return nullptr;
}

} // namespace cactuswick::router
