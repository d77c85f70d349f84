#pragma once

#include <memory>
#include <string>
#include <utility>

namespace cactuswick::transport {

/// Body of a request; copies share its memory, so that a request that is sent
/// on, or sent again, is held once.
class RequestBody
{
public:
  RequestBody() = default;
  // Implicit, so that a text can be given as a body.
  RequestBody(std::string aText) // NOLINT(google-explicit-constructor)
    : text_(std::make_shared<const std::string>(std::move(aText)))
  {
  }

  const std::string& Text() const { return *text_; }

private:
  std::shared_ptr<const std::string> text_ =
    std::make_shared<const std::string>();
};

} // namespace cactuswick::transport
