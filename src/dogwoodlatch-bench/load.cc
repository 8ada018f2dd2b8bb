// Sends streamed completion requests to a router or directly to an engine, and
// prints the times to the first token and to the end of the response.

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cxxopts.hpp>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "bench.h"
#include "dogwoodlatch/time.h"
#include "dogwoodlatch/util/address.h"
#include "dogwoodlatch/util/program.h"

namespace dogwoodlatch::bench {
namespace {

using Json = nlohmann::json;

struct LoadOptions {
  Address address;
  std::string key;
  std::string model;
  int requests = 0;
  int concurrency = 0;
  size_t prompt_bytes = 0;
  int max_tokens = 0;
};

struct Sample {
  bool complete = false;
  Duration first_token{0};
  Duration total{0};
};

std::string MakeBody(const LoadOptions& options, int index) {
  // The first half of the prompt is shared by all requests; the second half is
  // unique to the request.
  const size_t shared_bytes = options.prompt_bytes / 2;
  const std::string unique_text = "request " + std::to_string(index) + " ";
  std::string text(shared_bytes, 's');
  while (text.size() < options.prompt_bytes) text += unique_text;
  const Json message = {{"role", "user"}, {"content", text}};
  return Json({{"model", options.model},
               {"stream", true},
               {"max_tokens", options.max_tokens},
               {"messages", Json::array({message})}})
      .dump();
}

Sample SendRequest(const LoadOptions& options, httplib::Client& client,
                   int index) {
  Sample sample;
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.body = MakeBody(options, index);
  request.set_header("Authorization", "Bearer " + options.key);
  request.set_header("Content-Type", "application/json");
  std::string body_text;
  const TimePoint start = SteadyNow();
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) {
    if (sample.first_token == Duration(0)) {
      sample.first_token = SteadyNow() - start;
    }
    body_text.append(data, size);
    return true;
  };
  const auto response = client.send(request);
  sample.total = SteadyNow() - start;
  sample.complete = response && response->status == 200 &&
                    body_text.find("[DONE]") != std::string::npos;
  return sample;
}

std::vector<Sample> RunLoad(const LoadOptions& options) {
  std::vector<Sample> samples(options.requests);
  std::atomic<int> next{0};
  std::vector<std::thread> workers;
  workers.reserve(static_cast<size_t>(options.concurrency));
  for (int i = 0; i < options.concurrency; ++i) {
    workers.emplace_back([&] {
      httplib::Client client(options.address.host, options.address.port);
      client.set_tcp_nodelay(true);
      client.set_keep_alive(true);
      for (int index = next++; index < options.requests; index = next++) {
        samples[index] = SendRequest(options, client, index);
      }
    });
  }
  std::ranges::for_each(workers, [](std::thread& worker) { worker.join(); });
  return samples;
}

double PercentileMs(std::vector<Duration> times, double share) {
  if (times.empty()) return 0;
  std::ranges::sort(times);
  const double rank = std::ceil(share * static_cast<double>(times.size()));
  const auto position = static_cast<size_t>(std::max(rank, 1.0)) - 1;
  return std::chrono::duration<double, std::milli>(times[position]).count();
}

Json Percentiles(const std::vector<Duration>& times) {
  return {{"p50_ms", PercentileMs(times, 0.50)},
          {"p95_ms", PercentileMs(times, 0.95)},
          {"p99_ms", PercentileMs(times, 0.99)}};
}

void Print(const std::vector<Sample>& samples, Duration elapsed) {
  std::vector<Duration> first_tokens;
  std::vector<Duration> totals;
  for (const Sample& sample : samples) {
    if (!sample.complete) continue;
    first_tokens.push_back(sample.first_token);
    totals.push_back(sample.total);
  }
  const double seconds = std::chrono::duration<double>(elapsed).count();
  const auto complete = static_cast<double>(totals.size());
  std::cout << Json({{"bench", "load"},
                     {"requests", samples.size()},
                     {"complete", totals.size()},
                     {"requests_per_second", complete / seconds},
                     {"first_token", Percentiles(first_tokens)},
                     {"whole", Percentiles(totals)}})
                   .dump()
            << "\n";
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "dogwoodlatch-bench load",
      "Sends streamed completion requests to running daemons.");
  options.add_options()("address", "ip:port of a router or engine",
                        cxxopts::value<std::string>())(
      "key", "API key of the workspace",
      cxxopts::value<std::string>()->default_value(""))(
      "model", "model name",
      cxxopts::value<std::string>()->default_value("assistant"))(
      "requests", "total number of requests",
      cxxopts::value<int>()->default_value("1000"))(
      "concurrency", "number of concurrent requests",
      cxxopts::value<int>()->default_value("1"))(
      "prompt-bytes", "length of each prompt in bytes",
      cxxopts::value<size_t>()->default_value("20000"))(
      "max-tokens", "maximum length of a response in tokens",
      cxxopts::value<int>()->default_value("1"))("help",
                                                 "print this help text");
  return options;
}

}  // namespace

int RunLoadBench(std::span<const std::string> arguments) {
  cxxopts::Options options = MakeOptions();
  std::vector<const char*> argv = {"dogwoodlatch-bench load"};
  for (const std::string& argument : arguments) argv.push_back(argument.data());
  // cxxopts reports invalid command lines only by throwing.
  try {
    const cxxopts::ParseResult parsed =
        options.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0 || parsed.count("address") == 0) {
      std::cout << options.help();
      return static_cast<int>(parsed.count("help") > 0 ? ExitCode::kOk
                                                       : ExitCode::kBadUsage);
    }
    LoadOptions load;
    load.address = ParseAddress(parsed["address"].as<std::string>());
    load.key = parsed["key"].as<std::string>();
    load.model = parsed["model"].as<std::string>();
    load.requests = parsed["requests"].as<int>();
    load.concurrency = parsed["concurrency"].as<int>();
    load.prompt_bytes = parsed["prompt-bytes"].as<size_t>();
    load.max_tokens = parsed["max-tokens"].as<int>();
    const TimePoint start = SteadyNow();
    const std::vector<Sample> samples = RunLoad(load);
    Print(samples, SteadyNow() - start);
    return static_cast<int>(ExitCode::kOk);
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << e.what() << "\n";
    return static_cast<int>(ExitCode::kBadUsage);
  }
}

}  // namespace dogwoodlatch::bench
