#include "dogwoodlatch/util/program.h"

#include <httplib.h>

#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <thread>
#include <utility>

#include "dogwoodlatch/json_reader.h"
#include "dogwoodlatch/util/address.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch {
namespace {

sigset_t MakeStopSignalSet() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

Result<nlohmann::json> LoadSettings(const std::string& file,
                                    std::span<const KeySpec> schema) {
  std::ifstream in(file);
  if (!in) return Error{ErrorCode::kIo, file, "cannot be read"};
  const std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
  const Result<nlohmann::json> document = ParseJsonWithComments(text, file);
  if (!document) return document.error();
  const std::vector<Error> faults = FindFaults(document.value(), schema, file);
  for (const Error& fault : faults) std::cerr << ToString(fault) << "\n";
  if (!faults.empty()) return faults.front();
  return FillDefaults(document.value(), schema);
}

}  // namespace

std::optional<nlohmann::json> ReadDaemonSettings(
    int argc, const char* const* argv, std::string_view program,
    std::string_view summary, std::span<const KeySpec> schema,
    ExitCode& exit_code) {
  cxxopts::Options options{std::string(program), std::string(summary)};
  options.add_options()("config", "settings file, JSON with comments",
                        cxxopts::value<std::string>())(
      "check-config", "check the settings file and exit")(
      "help", "print this text")("version", "print the version");
  exit_code = ExitCode::kOk;
  // cxxopts reports invalid command lines only by exceptions.
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\nSettings:\n" << Explain(schema);
      return std::nullopt;
    }
    if (parsed.count("version") > 0) {
      std::cout << program << " " << DOGWOODLATCH_VERSION << "\n";
      return std::nullopt;
    }
    if (parsed.count("config") == 0) {
      std::cerr << "--config is required\n";
      exit_code = ExitCode::kBadUsage;
      return std::nullopt;
    }
    Result<nlohmann::json> settings =
        LoadSettings(parsed["config"].as<std::string>(), schema);
    if (!settings) {
      InitLogging(program, Severity::kInfo);
      LogEvent(EventId::kSettingsFileRefused,
               {{"fault", ToString(settings.error())}});
      exit_code = ExitCode::kBadSettings;
      return std::nullopt;
    }
    if (parsed.count("check-config") > 0) {
      std::cout << "settings are valid\n";
      return std::nullopt;
    }
    return std::move(settings).value();
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << e.what() << "\n";
    exit_code = ExitCode::kBadUsage;
    return std::nullopt;
  }
}

void SetExclusiveBind(int sock) {
  const int on = 1;
  setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

void BlockStopSignals() {
  const sigset_t signals = MakeStopSignalSet();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const sigset_t signals = MakeStopSignalSet();
  int signal_number = 0;
  sigwait(&signals, &signal_number);
}

class OpsServer::Impl {
 public:
  Impl(std::string_view address, OpsHandlers handlers)
      : address_(ParseAddress(address)), handlers_(std::move(handlers)) {
    server_.new_task_queue = [] {
      return new httplib::ThreadPool(kThreadCount);
    };
    server_.set_socket_options(SetExclusiveBind);
    // The library's stop waits for its connections: none is kept after a
    // response, and none waits long for a request.
    server_.set_keep_alive_max_count(1);
    server_.set_keep_alive_timeout(kRequestTimeout.count());
    server_.set_read_timeout(kRequestTimeout);
    server_.Get("/healthz",
                [](const httplib::Request&, httplib::Response& response) {
                  response.set_content("ok\n", "text/plain");
                });
    server_.Get("/readyz", [this](const httplib::Request&,
                                  httplib::Response& response) {
      const bool ready = handlers_.is_ready();
      response.status = ready ? 200 : 503;
      response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    server_.Get("/metrics",
                [this](const httplib::Request&, httplib::Response& response) {
                  response.set_content(handlers_.metrics(), "text/plain");
                });
    server_.Get("/status", [this](const httplib::Request&,
                                  httplib::Response& response) {
      response.set_content(handlers_.status().dump(), "application/json");
    });
    server_.Get("/snapshot", [this](const httplib::Request&,
                                    httplib::Response& response) {
      response.set_content(handlers_.snapshot().dump(), "application/json");
    });
    for (const auto& [path, command] : handlers_.commands) {
      server_.Post(path, [&command = command](const httplib::Request& request,
                                              httplib::Response& response) {
        const auto body = ParseExactJson(request.body);
        response.status = command(body) ? 200 : 400;
      });
    }
  }

  ~Impl() {
    server_.stop();
    if (thread_.joinable()) thread_.join();
  }

  bool Start() {
    if (!server_.bind_to_port(address_.host, address_.port)) return false;
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    // A call to stop() has no effect until the server is running.
    while (!server_.is_running()) std::this_thread::sleep_for(kPollInterval);
    return true;
  }

 private:
  static constexpr size_t kThreadCount = 2;
  static constexpr std::chrono::seconds kRequestTimeout{1};
  static constexpr std::chrono::milliseconds kPollInterval{1};

  Address address_;
  OpsHandlers handlers_;
  httplib::Server server_;
  std::thread thread_;
};

OpsServer::OpsServer(std::string_view address, OpsHandlers handlers)
    : impl_(std::make_unique<Impl>(address, std::move(handlers))) {}
OpsServer::~OpsServer() = default;
bool OpsServer::Start() { return impl_->Start(); }

}  // namespace dogwoodlatch
