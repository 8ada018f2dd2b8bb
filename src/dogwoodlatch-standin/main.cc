// dogwoodlatch-standin: stand-ins for the external systems that dogwoodlatch
// works with, for tests and the demo.

#include <cxxopts.hpp>
#include <iostream>

#include "dogwoodlatch/util/program.h"
#include "standin.h"

namespace dogwoodlatch::standin {
namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options("dogwoodlatch-standin",
                           "Stand-ins: engine, service or platform.");
  options.add_options()("role", "engine, service or platform",
                        cxxopts::value<std::string>())(
      "listen", "ip:port",
      cxxopts::value<std::string>()->default_value("127.0.0.1:9000"))(
      "model", "engine: model name",
      cxxopts::value<std::string>()->default_value("assistant"))(
      "weights", "engine: weights version",
      cxxopts::value<std::string>()->default_value("v1"))(
      "piece-bytes", "engine: bytes of prompt text per piece",
      cxxopts::value<size_t>()->default_value("8192"))(
      "cache-pieces", "engine: cache capacity in pieces",
      cxxopts::value<size_t>()->default_value("64"))(
      "prefill-rate", "engine: prefill rate in tokens/s",
      cxxopts::value<uint64_t>()->default_value("20000"))(
      "token-ms", "engine: milliseconds between tokens",
      cxxopts::value<int>()->default_value("20"))(
      "name", "service: name",
      cxxopts::value<std::string>()->default_value("service"))(
      "journal", "service: file that records the calls that ran",
      cxxopts::value<std::string>()->default_value(""))(
      "latency-ms", "service: milliseconds per call",
      cxxopts::value<int>()->default_value("0"))("help", "print this text")(
      "version", "print the version");
  options.parse_positional({"role"});
  options.positional_help("engine|service|platform");
  return options;
}

EngineOptions MakeEngineOptions(const cxxopts::ParseResult& parsed) {
  EngineOptions options{parsed["listen"].as<std::string>(),
                        parsed["model"].as<std::string>(),
                        parsed["weights"].as<std::string>(),
                        parsed["piece-bytes"].as<size_t>(),
                        {}};
  options.parameters.cache_pieces = parsed["cache-pieces"].as<size_t>();
  options.parameters.piece_tokens =
      static_cast<uint32_t>(options.piece_bytes / 4);
  options.parameters.prefill_tokens_per_second =
      parsed["prefill-rate"].as<uint64_t>();
  options.parameters.token_interval =
      std::chrono::milliseconds(parsed["token-ms"].as<int>());
  return options;
}

int RunRole(const cxxopts::ParseResult& parsed) {
  const std::string role = parsed["role"].as<std::string>();
  if (role == "engine") return RunEngine(MakeEngineOptions(parsed));
  if (role == "platform") {
    return RunPlatform(parsed["listen"].as<std::string>());
  }
  if (role == "service") {
    return RunService(
        {parsed["listen"].as<std::string>(), parsed["name"].as<std::string>(),
         parsed["journal"].as<std::string>(),
         std::chrono::milliseconds(parsed["latency-ms"].as<int>())});
  }
  std::cerr << "unknown role " << role << "\n";
  return static_cast<int>(ExitCode::kBadUsage);
}

}  // namespace
}  // namespace dogwoodlatch::standin

int main(int argc, char** argv) {
  using dogwoodlatch::ExitCode;
  cxxopts::Options options = dogwoodlatch::standin::MakeOptions();
  // cxxopts reports invalid command lines only by exceptions.
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return static_cast<int>(ExitCode::kOk);
    }
    if (parsed.count("version") > 0) {
      std::cout << "dogwoodlatch-standin " << DOGWOODLATCH_VERSION << "\n";
      return static_cast<int>(ExitCode::kOk);
    }
    dogwoodlatch::BlockStopSignals();
    return dogwoodlatch::standin::RunRole(parsed);
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << e.what() << "\n";
    return static_cast<int>(ExitCode::kBadUsage);
  }
}
