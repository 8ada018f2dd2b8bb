// Engine stand-in: serves the chat completions protocol from EngineModel in
// real time.

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdlib>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/prefix_key.h"
#include "serve.h"
#include "standin.h"

namespace dogwoodlatch::standin {
namespace {

using Json = nlohmann::json;
using httplib::Request;
using httplib::Response;

constexpr uint32_t kDefaultMaxTokens = 16;
// A prompt that contains this text crashes the engine, for tests of requests
// that crash their target.
constexpr std::string_view kCrashMarker = "CRASH-ENGINE";

struct Generation {
  std::string request_id;
  std::string cache_salt;
  std::string prompt;
  uint64_t digest = 0;
  // The number of words that an earlier attempt delivered.
  uint32_t first_word_index = 0;
  uint32_t max_tokens = 0;
  uint32_t prompt_tokens = 0;
  PrefillPlan plan;
};

std::string FormatPrompt(const Json& messages) {
  std::string prompt;
  for (const Json& message : messages) {
    prompt += message.value("role", "");
    prompt += '\n';
    prompt += message.value("content", "");
    prompt += '\n';
  }
  return prompt;
}

Generation ParseGeneration(const Json& body) {
  Generation generation;
  generation.request_id = body.value("request_id", "");
  generation.cache_salt = body.value("cache_salt", "");
  generation.max_tokens = body.value("max_tokens", kDefaultMaxTokens);
  Json messages = body.value("messages", Json::array());
  if (body.value("continue_final_message", false) && !messages.empty()) {
    const std::string delivered = messages.back().value("content", "");
    generation.first_word_index =
        static_cast<uint32_t>(std::ranges::count(delivered, ' '));
    messages.erase(messages.size() - 1);
  }
  generation.prompt = FormatPrompt(messages);
  generation.digest = ComputeDigest({generation.prompt});
  generation.prompt_tokens =
      static_cast<uint32_t>(generation.prompt.size() / kBytesPerToken);
  return generation;
}

class Engine {
 public:
  explicit Engine(const EngineOptions& options)
      : options_(options),
        model_(options.parameters),
        weights_version_(options.weights_version) {
    std::mt19937_64 random = MakeSeededRandom();
    boot_id_ = MakeRandomHex(random);
  }

  void RegisterRoutes(httplib::Server& server) {
    server.Post("/v1/chat/completions",
                [this](const Request& request, Response& response) {
                  HandleChat(request, response);
                });
    server.Get("/engine/state", [this](const Request&, Response& response) {
      HandleState(response);
    });
    server.Get("/engine/cache_events",
               [this](const Request& request, Response& response) {
                 HandleCacheEvents(request, response);
               });
    server.Post("/engine/weights",
                [this](const Request& request, Response& response) {
                  HandleWeights(request, response);
                });
  }

 private:
  void HandleChat(const Request& request, Response& response) {
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      response.status = 400;
      return;
    }
    auto generation = std::make_shared<Generation>(ParseGeneration(body));
    if (generation->prompt.find(kCrashMarker) != std::string::npos) {
      std::_Exit(EXIT_FAILURE);
    }
    const std::vector<BlockId> blocks = ComputePromptBlocks(
        generation->cache_salt, generation->prompt, options_.piece_bytes);
    {
      const std::lock_guard lock(mutex_);
      generation->plan = model_.Admit(generation->request_id, blocks,
                                      generation->prompt_tokens, SteadyNow());
      changed_.notify_all();
    }
    ++running_;
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, generation, index = generation->first_word_index](
            size_t, httplib::DataSink& sink) mutable {
          return WriteNextEvent(*generation, index, sink);
        },
        [this](bool) { --running_; });
  }

  // Writes one event per call; returns false when the caller has disconnected.
  bool WriteNextEvent(const Generation& generation, uint32_t& index,
                      httplib::DataSink& sink) {
    if (index >= generation.max_tokens) {
      const Json usage = {
          {"prompt_tokens", generation.prompt_tokens},
          {"cached_tokens",
           generation.prompt_tokens - generation.plan.computed_tokens},
          {"completion_tokens",
           generation.max_tokens - generation.first_word_index}};
      const bool written =
          WriteEvent(
              sink,
              Json({{"choices", Json::array()}, {"usage", usage}}).dump()) &&
          WriteEvent(sink, "[DONE]");
      sink.done();
      return written;
    }
    const Duration since_first = options_.parameters.token_interval *
                                 (index - generation.first_word_index);
    std::this_thread::sleep_until(generation.plan.first_token + since_first);
    const Json choice = {
        {"index", 0},
        {"delta", {{"content", MakeResponseWord(generation.digest, index)}}}};
    ++index;
    return WriteEvent(sink, Json({{"system_fingerprint", Fingerprint()},
                                  {"choices", Json::array({choice})}})
                                .dump());
  }

  // Identifies the process incarnation and its weights; sent in every token
  // event.
  std::string Fingerprint() {
    const std::lock_guard lock(mutex_);
    return boot_id_ + "/" + weights_version_;
  }

  static bool WriteEvent(httplib::DataSink& sink, const std::string& data) {
    const std::string event = "data: " + data + "\n\n";
    return sink.write(event.data(), event.size());
  }

  void HandleState(Response& response) {
    const std::lock_guard lock(mutex_);
    SetJsonResponse(response,
                    {{"boot_id", boot_id_},
                     {"model", options_.model},
                     {"weights_version", weights_version_},
                     {"running", running_.load()},
                     {"prefill_tokens_per_second",
                      options_.parameters.prefill_tokens_per_second},
                     {"backlog_tokens", model_.BacklogTokens(SteadyNow())},
                     {"last_event", model_.last_sequence()}});
  }

  void HandleCacheEvents(const Request& request, Response& response) {
    const uint64_t after = std::stoull(request.get_param_value("after"));
    const std::chrono::milliseconds wait(
        std::stoll(request.get_param_value("wait_ms")));
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, wait,
                      [&] { return model_.last_sequence() > after; });
    Json events = Json::array();
    for (const CacheEvent& event : model_.EventsAfter(after)) {
      events.push_back({{"sequence", event.sequence},
                        {"kind", static_cast<int>(event.kind)},
                        {"blocks", event.blocks},
                        {"request_id", event.request_id}});
    }
    SetJsonResponse(response, {{"boot_id", boot_id_},
                               {"weights_version", weights_version_},
                               {"events", events}});
  }

  void HandleWeights(const Request& request, Response& response) {
    const Json order = Json::parse(request.body, nullptr, false);
    const std::lock_guard lock(mutex_);
    weights_version_ = order.value("version", weights_version_);
    model_.Clear();
    changed_.notify_all();
    SetJsonResponse(response, {{"weights_version", weights_version_}});
  }

  static void SetJsonResponse(Response& response, const Json& json) {
    response.set_content(json.dump(), "application/json");
  }

  EngineOptions options_;
  std::mutex mutex_;
  std::condition_variable changed_;
  EngineModel model_;
  std::string weights_version_;
  std::string boot_id_;
  std::atomic<int> running_{0};
};

}  // namespace

int RunEngine(const EngineOptions& options) {
  httplib::Server server;
  Engine engine(options);
  engine.RegisterRoutes(server);
  return ServeUntilStopped(server, options.address);
}

}  // namespace dogwoodlatch::standin
