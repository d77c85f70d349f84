#include "cactuswick/model/process/Json.h"

#include "cactuswick/model/process/Codec.h"
#include "cactuswick/model/process/Error.h"

namespace cactuswick::model {

namespace {

using nlohmann::json;

/// Builds a document and aborts parsing beyond kMaxNestingDepth.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<json>
{
  using Base = nlohmann::detail::json_sax_dom_parser<json>;

public:
  explicit BoundedBuilder(json& aRoot)
    : Base(aRoot, false)
  {
  }

  bool start_object(std::size_t aElements)
  {
    return ++depth_ <= kMaxNestingDepth && Base::start_object(aElements);
  }

  bool end_object()
  {
    --depth_;
    return Base::end_object();
  }

  bool start_array(std::size_t aElements)
  {
    return ++depth_ <= kMaxNestingDepth && Base::start_array(aElements);
  }

  bool end_array()
  {
    --depth_;
    return Base::end_array();
  }

private:
  int depth_ = 0;
};

absl::StatusOr<json>
Parse(std::string_view aBytes, json::input_format_t aFormat)
{
  if (aBytes.size() > kMaxDocumentBytes) {
    return MakeError(
      ErrorKind::kTooLarge, "", "document exceeds the size limit");
  }
  json root;
  BoundedBuilder builder(root);
  // Although its exceptions are turned off, the library throws on implausible
  // lengths inside CBOR.
  try {
    if (json::sax_parse(aBytes.begin(), aBytes.end(), &builder, aFormat)) {
      return root;
    }
  } catch (const std::exception& error) {
    return MakeError(ErrorKind::kMalformed, "", error.what());
  }
  return MakeError(ErrorKind::kMalformed, "", "document is malformed");
}

} // namespace

absl::StatusOr<json>
ParseJson(std::string_view aText)
{
  return Parse(aText, json::input_format_t::json);
}

absl::StatusOr<json>
ParseCbor(std::string_view aBytes)
{
  return Parse(aBytes, json::input_format_t::cbor);
}

std::string
PrintJson(const json& aDocument, int aIndent)
{
  return aDocument.dump(aIndent, ' ', false, json::error_handler_t::replace);
}

} // namespace cactuswick::model
