#include "connection/HttpRequests.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace cactuswick::transport {

std::string
MethodNameOf(const evhttp_request* aRequest)
{
  switch (evhttp_request_get_command(aRequest)) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    default:
      return "OTHER";
  }
}

bool
TakesBody(std::string_view aMethod)
{
  return aMethod == "POST" || aMethod == "PUT" || aMethod == "PATCH";
}

Headers
ToHeaders(const evkeyvalq* aHeaders)
{
  Headers headers;
  for (const evkeyval* item = aHeaders->tqh_first; item != nullptr;
       item = item->next.tqe_next) {
    headers.push_back({ item->key, item->value });
  }
  return headers;
}

} // namespace cactuswick::transport
