#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "cactuswick/model/process/Json.h"
#include "cactuswick/transport/connection/HttpCall.h"

namespace {

using namespace cactuswick;
using transport::EventLoop;

/// Parsed command line.
struct Arguments
{
  std::vector<transport::Address> targets_;
  std::string key_;
  std::string model_;
  std::string rank_;
  int64_t requests_ = 0;
  int64_t concurrency_ = 1;
  int64_t maxTokens_ = 16;
  int64_t promptBytes_ = 256;
  bool stream_ = false;
};

Arguments
ParseArguments(int aCount, char** aValues)
{
  TCLAP::CmdLine line(
    "Sends model requests, to a router or straight to an engine, keeping a "
    "fixed number in flight, and prints outcomes and latencies as JSON.");
  using Text = TCLAP::ValueArg<std::string>;
  using Number = TCLAP::ValueArg<int64_t>;
  Text target(
    "", "target", "Addresses to send to.", true, "", "IP:PORT,...", line);
  Text key("", "key", "API key.", false, "", "KEY", line);
  Text model("", "model", "Model.", true, "", "NAME", line);
  Text rank("", "rank", "Rank.", false, "", "NAME", line);
  Number requests(
    "", "requests", "Number of requests.", false, 1'000, "N", line);
  Number concurrency(
    "", "concurrency", "Requests in flight.", false, 16, "N", line);
  Number tokens(
    "", "max-tokens", "Token limit of an answer.", false, 16, "N", line);
  Number prompt("", "prompt-bytes", "Prompt size.", false, 256, "BYTES", line);
  TCLAP::SwitchArg stream("", "stream", "Streamed answers.", line);
  line.parse(aCount, aValues);
  Arguments arguments{ .key_ = key.getValue(),
                       .model_ = model.getValue(),
                       .rank_ = rank.getValue(),
                       .requests_ = requests.getValue(),
                       .concurrency_ = concurrency.getValue(),
                       .maxTokens_ = tokens.getValue(),
                       .promptBytes_ = prompt.getValue(),
                       .stream_ = stream.getValue() };
  const std::vector<std::string> parts = absl::StrSplit(target.getValue(), ',');
  for (const auto& part : parts) {
    arguments.targets_.push_back(
      transport::ParseAddress("target", part).value());
  }
  return arguments;
}

/// Closed-loop load generator: keeps a fixed number of requests in flight until
/// all are done.
class LoadGenerator
{
public:
  LoadGenerator(EventLoop& aLoop, Arguments aArguments)
    : loop_(aLoop)
    , arguments_(std::move(aArguments))
  {
  }

  void Start()
  {
    startMs_ = EventLoop::NowMs();
    for (int64_t i = 0; i < arguments_.concurrency_; ++i) {
      StartNext();
    }
  }

  std::string Report() const
  {
    const double seconds =
      static_cast<double>(EventLoop::NowMs() - startMs_) / 1'000.0;
    return model::PrintJson(
      { { "requests", started_ },
        { "outcomes", outcomes_ },
        { "requests_per_second", static_cast<double>(started_) / seconds },
        { "first_byte_ms", Quantiles(firstByteMs_) },
        { "total_ms", Quantiles(totalMs_) } },
      2);
  }

private:
  struct Request
  {
    std::unique_ptr<transport::HttpCall> call_;
    std::chrono::steady_clock::time_point start_;
    int status_ = 0;
    bool hasData_ = false;
    std::string tail_;
  };

  static double MsSince(std::chrono::steady_clock::time_point aStart)
  {
    const std::chrono::duration<double, std::milli> elapsed =
      std::chrono::steady_clock::now() - aStart;
    return elapsed.count();
  }

  static nlohmann::json Quantiles(std::vector<double> aValues)
  {
    std::sort(aValues.begin(), aValues.end());
    const auto at = [&](double aFraction) {
      const auto index =
        static_cast<size_t>(aFraction * static_cast<double>(aValues.size()));
      return aValues.empty() ? 0.0
                             : aValues[std::min(index, aValues.size() - 1)];
    };
    return { { "p50", at(0.50) }, { "p95", at(0.95) }, { "p99", at(0.99) } };
  }

  std::string Body(int64_t aNumber) const
  {
    return model::PrintJson(
      { { "model", arguments_.model_ },
        { "stream", arguments_.stream_ },
        { "max_tokens", arguments_.maxTokens_ },
        { "messages",
          { { { "role", "user" },
              { "content",
                std::to_string(aNumber) +
                  std::string(static_cast<size_t>(arguments_.promptBytes_),
                              'x') } } } } });
  }

  void StartNext()
  {
    if (started_ >= arguments_.requests_) {
      return;
    }
    const int64_t number = ++started_;
    Request& request = inFlight_[number];
    request.start_ = std::chrono::steady_clock::now();
    const auto targets = static_cast<int64_t>(arguments_.targets_.size());
    request.call_ = std::make_unique<transport::HttpCall>(
      loop_,
      transport::HttpCallOptions{
        .address_ = arguments_.targets_[static_cast<size_t>(number % targets)],
        .path_ = "/v1/chat/completions",
        .headers_ = { { "Authorization", "Bearer " + arguments_.key_ },
                      { "Content-Type", "application/json" },
                      { "X-Cactuswick-Rank", arguments_.rank_ } },
        .body_ = Body(number),
        .connectTimeoutMs_ = 5'000,
        .firstByteTimeoutMs_ = 120'000,
        .onHeaders_ =
          [this, number](int aStatus, const transport::Headers&) {
            inFlight_[number].status_ = aStatus;
          },
        .onData_ = [this,
                    number](std::string_view aData) { OnData(number, aData); },
        .onDone_ =
          [this, number](const absl::Status& aStatus) {
            OnDone(number, aStatus);
          } });
  }

  void OnData(int64_t aNumber, std::string_view aData)
  {
    Request& request = inFlight_[aNumber];
    if (!std::exchange(request.hasData_, true) && request.status_ == 200) {
      firstByteMs_.push_back(MsSince(request.start_));
    }
    request.tail_.append(aData);
    constexpr size_t kTailBytes = 64;
    if (request.tail_.size() > kTailBytes) {
      request.tail_.erase(0, request.tail_.size() - kTailBytes);
    }
  }

  void OnDone(int64_t aNumber, const absl::Status& aStatus)
  {
    const Request& request = inFlight_[aNumber];
    const bool isTerminated =
      !arguments_.stream_ || request.tail_.find("[DONE]") != std::string::npos;
    if (aStatus.ok() && request.status_ == 200 && isTerminated) {
      ++outcomes_["whole"];
      totalMs_.push_back(MsSince(request.start_));
    } else if (aStatus.ok() && request.status_ != 200) {
      ++outcomes_["status " + std::to_string(request.status_)];
    } else {
      ++outcomes_["cut"];
    }
    loop_.Defer([this, aNumber] {
      inFlight_.erase(aNumber);
      StartNext();
      if (inFlight_.empty()) {
        loop_.Stop();
      }
    });
  }

  EventLoop& loop_;
  Arguments arguments_;
  int64_t startMs_ = 0;
  int64_t started_ = 0;
  std::map<int64_t, Request> inFlight_;
  std::map<std::string, int64_t> outcomes_;
  std::vector<double> firstByteMs_;
  std::vector<double> totalMs_;
};

} // namespace

int
main(int aCount, char** aValues)
{
  try {
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    LoadGenerator generator(loop, ParseArguments(aCount, aValues));
    generator.Start();
    loop.Run();
    std::cout << generator.Report() << "\n";
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "cactuswick-load: " << error.what() << "\n";
    return 1;
  }
}
