#include "process/EngineStandin.h"

#include <algorithm>
#include <utility>

#include "cactuswick/model/process/Json.h"
#include "cactuswick/model/process/Text.h"

namespace cactuswick::standin {

namespace {

using model::Concat;
using nlohmann::json;
using transport::HttpExchange;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
/// Bytes of request body counted as one prompt token.
constexpr int64_t kBytesPerToken = 4;

void
ReplyJson(HttpExchange& aExchange, int aStatus, const json& aBody)
{
  aExchange.Reply(aStatus,
                  { { "Content-Type", "application/json" } },
                  model::PrintJson(aBody));
}

} // namespace

/// A request that is queued or being generated.
struct EngineStandin::Run
{
  std::unique_ptr<HttpExchange> exchange_;
  std::string requestId_;
  int64_t priority_ = 0;
  int64_t promptTokens_ = 0;
  int64_t answerTokens_ = 0;
  int64_t sent_ = 0;
  bool stream_ = false;
  bool active_ = false;
  std::string text_;
  std::unique_ptr<transport::Timer> timer_;
};

EngineStandin::EngineStandin(transport::EventLoop& aLoop,
                             EngineOptions aOptions)
  : loop_(aLoop)
  , options_(std::move(aOptions))
{
}

EngineStandin::~EngineStandin() = default;

int64_t
EngineStandin::InFlight() const
{
  return static_cast<int64_t>(runs_.size());
}

void
EngineStandin::Handle(std::unique_ptr<HttpExchange> aExchange)
{
  const std::string& path = aExchange->Path();
  if (path == "/v1/chat/completions") {
    StartRun(std::move(aExchange));
  } else if (path == "/fault") {
    SetFault(*aExchange);
  } else if (path == "/orders") {
    AcceptOrder(*aExchange);
  } else if (path == "/runs") {
    ReplyRuns(*aExchange);
  } else {
    ReplyJson(*aExchange,
              fault_.unhealthy_ ? kUnavailable : kOk,
              { { "healthy", !fault_.unhealthy_ },
                { "in_flight", InFlight() },
                { "slots", options_.slots_ } });
  }
}

void
EngineStandin::SetFault(HttpExchange& aExchange)
{
  const auto document =
    model::ParseJson(aExchange.Body()).value_or(json::object());
  fault_ = { .abortAfter_ = document.value("cut_after", int64_t{ -1 }),
             .stallAfter_ = document.value("silent_after", int64_t{ -1 }),
             .refuse_ = document.value("refuse", false),
             .unhealthy_ = document.value("unhealthy", false) };
  ReplyJson(aExchange, kOk, json::object());
}

void
EngineStandin::AcceptOrder(HttpExchange& aExchange)
{
  const auto document = model::ParseJson(aExchange.Body());
  if (!document.ok() || !document->contains("fence")) {
    ReplyJson(aExchange, kOk, orders_);
    return;
  }
  const int64_t fence = (*document)["fence"].get<int64_t>();
  const bool isStale = !orders_.empty() && fence < orders_.back();
  if (isStale && options_.checksFencing_) {
    ReplyJson(aExchange, kConflict, { { "error", "stale fencing number" } });
    return;
  }
  orders_.push_back(fence);
  ReplyJson(aExchange, kOk, json::object());
}

void
EngineStandin::ReplyRuns(HttpExchange& aExchange)
{
  json list = json::object();
  for (const auto& [id, runs] : counts_) {
    list[id] = { { "started", runs.started_ }, { "finished", runs.finished_ } };
  }
  ReplyJson(aExchange, kOk, list);
}

void
EngineStandin::StartRun(std::unique_ptr<HttpExchange> aExchange)
{
  const auto document = model::ParseJson(aExchange->Body());
  if (!document.ok() || fault_.refuse_) {
    ReplyJson(*aExchange,
              document.ok() ? kUnavailable : kBadRequest,
              { { "error", "not run" } });
    return;
  }
  const int64_t id = ++lastRun_;
  auto run = std::make_unique<Run>();
  run->requestId_ = aExchange->HeaderValue("X-Request-Id");
  run->priority_ = document->value("priority", int64_t{ 0 });
  run->promptTokens_ =
    static_cast<int64_t>(aExchange->Body().size()) / kBytesPerToken;
  run->answerTokens_ =
    std::min(document->value("max_tokens", options_.answerTokens_),
             options_.answerTokens_);
  run->stream_ = document->value("stream", false);
  run->exchange_ = std::move(aExchange);
  run->exchange_->SetClosedHook(
    [this, id] { loop_.Defer([this, id] { RemoveRun(id); }); });
  run->timer_ =
    std::make_unique<transport::Timer>(loop_, [this, id] { OnToken(id); });
  ++counts_[run->requestId_].started_;
  runs_[id] = std::move(run);
  Admit();
}

void
EngineStandin::Admit()
{
  while (active_ < options_.slots_) {
    Run* next = nullptr;
    for (auto& [id, run] : runs_) {
      const bool better = next == nullptr || run->priority_ < next->priority_;
      if (!run->active_ && better) {
        next = run.get();
      }
    }
    if (next == nullptr) {
      return;
    }
    next->active_ = true;
    ++active_;
    next->timer_->StartOnce(options_.firstTokenMs_);
  }
}

void
EngineStandin::OnToken(int64_t aRun)
{
  Run& run = *runs_[aRun];
  if (fault_.abortAfter_ >= 0 && run.sent_ >= fault_.abortAfter_) {
    run.exchange_->Abort();
    RemoveRun(aRun);
    return;
  }
  if (fault_.stallAfter_ >= 0 && run.sent_ >= fault_.stallAfter_) {
    return;
  }
  if (run.sent_ == run.answerTokens_) {
    Finish(aRun);
    return;
  }
  // Each word contains the request id, so that tests detect an answer that
  // mixes words of several requests.
  const std::string word = Concat(run.requestId_, ":", run.sent_, " ");
  ++run.sent_;
  run.text_ += word;
  if (run.stream_) {
    if (run.sent_ == 1) {
      run.exchange_->StartStream(kOk,
                                 { { "Content-Type", "text/event-stream" } });
    }
    const json event{ { "choices",
                        { { { "delta", { { "content", word } } } } } } };
    run.exchange_->SendChunk(Concat("data: ", model::PrintJson(event), "\n\n"));
  }
  run.timer_->StartOnce(options_.tokenMs_);
}

void
EngineStandin::Finish(int64_t aRun)
{
  Run& run = *runs_[aRun];
  ++counts_[run.requestId_].finished_;
  const json usage{ { "prompt_tokens", run.promptTokens_ },
                    { "completion_tokens", run.sent_ },
                    { "total_tokens", run.promptTokens_ + run.sent_ } };
  if (run.stream_) {
    const json event{ { "choices", json::array() }, { "usage", usage } };
    run.exchange_->SendChunk(
      Concat("data: ", model::PrintJson(event), "\n\ndata: [DONE]\n\n"));
    run.exchange_->EndStream();
  } else {
    ReplyJson(
      *run.exchange_,
      kOk,
      { { "choices",
          { { { "message",
                { { "role", "assistant" }, { "content", run.text_ } } } } } },
        { "usage", usage } });
  }
  RemoveRun(aRun);
}

void
EngineStandin::RemoveRun(int64_t aRun)
{
  const auto found = runs_.find(aRun);
  if (found == runs_.end()) {
    return;
  }
  active_ -= found->second->active_ ? 1 : 0;
  // The caller may be the callback of the run's timer: the run is destroyed
  // only after the callback has returned to the loop.
  const std::shared_ptr<Run> run = std::move(found->second);
  runs_.erase(found);
  loop_.Defer([run] {});
  Admit();
}

} // namespace cactuswick::standin
