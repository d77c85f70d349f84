#include "connection/WebSocketSession.h"

#include <utility>

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace cactuswick::transport {

namespace {

using Server = websocketpp::server<websocketpp::config::core>;
using Client = websocketpp::client<websocketpp::config::core_client>;

/// websocketpp requires a valid URI; the owner of the stream connects.
constexpr const char* kUri = "ws://cactuswick/peer";

/// Common interface of the client and server side, which have different types
/// in websocketpp.
class WebSocketEnd
{
public:
  virtual ~WebSocketEnd() = default;
  virtual void Start() = 0;
  virtual void Feed(const char* aData, size_t aSize) = 0;
  virtual bool Send(std::string_view aMessage) = 0;
  virtual void Detach() = 0;
};

template<class Endpoint>
class WebSocketEndOf : public WebSocketEnd
{
public:
  explicit WebSocketEndOf(const WebSocketOptions& aOptions)
    : options_(aOptions)
  {
    endpoint_.clear_access_channels(websocketpp::log::alevel::all);
    endpoint_.clear_error_channels(websocketpp::log::elevel::all);
  }

  void Feed(const char* aData, size_t aSize) override
  {
    size_t consumed = 0;
    while (connection_ && consumed < aSize) {
      const size_t count =
        connection_->read_some(aData + consumed, aSize - consumed);
      if (count == 0) {
        return;
      }
      consumed += count;
    }
  }

  bool Send(std::string_view aMessage) override
  {
    return connection_ &&
           !connection_->send(aMessage.data(),
                              aMessage.size(),
                              websocketpp::frame::opcode::binary);
  }

  /// Prevents any further callback.
  void Detach() override { options_ = {}; }

protected:
  void Prepare(typename Endpoint::connection_ptr aConnection)
  {
    connection_ = std::move(aConnection);
    connection_->set_max_message_size(options_.maxMessageBytes_);
    connection_->set_write_handler(
      [this](websocketpp::connection_hdl, const char* aData, size_t aSize) {
        if (options_.write_) {
          options_.write_(aData, aSize);
        }
        return websocketpp::lib::error_code();
      });
    connection_->set_open_handler([this](websocketpp::connection_hdl) {
      if (options_.onOpen_) {
        options_.onOpen_();
      }
    });
    connection_->set_message_handler(
      [this](websocketpp::connection_hdl,
             const typename Endpoint::message_ptr& aMessage) {
        if (options_.onMessage_) {
          options_.onMessage_(aMessage->get_payload());
        }
      });
    const auto closed = [this](websocketpp::connection_hdl) {
      if (options_.onClosed_) {
        options_.onClosed_();
      }
    };
    connection_->set_close_handler(closed);
    connection_->set_fail_handler(closed);
  }

  WebSocketOptions options_;
  Endpoint endpoint_;
  typename Endpoint::connection_ptr connection_;
};

class ServerEnd : public WebSocketEndOf<Server>
{
public:
  using WebSocketEndOf::WebSocketEndOf;

  void Start() override
  {
    Prepare(endpoint_.get_connection());
    connection_->start();
  }
};

class ClientEnd : public WebSocketEndOf<Client>
{
public:
  using WebSocketEndOf::WebSocketEndOf;

  void Start() override
  {
    websocketpp::lib::error_code error;
    Prepare(endpoint_.get_connection(kUri, error));
    endpoint_.connect(connection_);
  }
};

std::unique_ptr<WebSocketEnd>
MakeWebSocketEnd(const WebSocketOptions& aOptions)
{
  if (aOptions.isClient_) {
    return std::make_unique<ClientEnd>(aOptions);
  }
  return std::make_unique<ServerEnd>(aOptions);
}

} // namespace

struct WebSocketSession::State
{
  std::unique_ptr<WebSocketEnd> end_;
};

WebSocketSession::WebSocketSession(WebSocketOptions aOptions)
  : state_(std::make_unique<State>(State{ MakeWebSocketEnd(aOptions) }))
{
}

WebSocketSession::~WebSocketSession()
{
  state_->end_->Detach();
}

void
WebSocketSession::Start()
{
  state_->end_->Start();
}

void
WebSocketSession::Feed(const char* aData, size_t aSize)
{
  state_->end_->Feed(aData, aSize);
}

bool
WebSocketSession::Send(std::string_view aMessage)
{
  return state_->end_->Send(aMessage);
}

} // namespace cactuswick::transport
