// Service stand-in: responds to any call and records the calls that ran in a
// journal.

#include <atomic>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "dogwoodlatch/ids.h"
#include "serve.h"
#include "standin.h"

namespace dogwoodlatch::standin {
namespace {

using httplib::Request;
using httplib::Response;

class Service {
 public:
  explicit Service(const ServiceOptions& options) : options_(options) {
    std::mt19937_64 random = MakeSeededRandom();
    boot_id_ = MakeRandomHex(random);
    if (!options.journal.empty()) journal_.open(options.journal, std::ios::app);
  }

  void RegisterRoutes(httplib::Server& server) {
    server.Get("/service/state", [this](const Request&, Response& response) {
      response.set_content(
          nlohmann::json({{"boot_id", boot_id_}, {"name", options_.name}})
              .dump(),
          "application/json");
    });
    const auto run = [this](const Request& request, Response& response) {
      HandleCall(request, response);
    };
    server.Get("/.*", run)
        .Post("/.*", run)
        .Put("/.*", run)
        .Patch("/.*", run)
        .Delete("/.*", run);
  }

 private:
  // The call takes effect before its latency elapses and the response is sent,
  // so a kill in between loses only the response.
  void HandleCall(const Request& request, Response& response) {
    const std::string key = request.get_header_value("Idempotency-Key");
    const uint64_t run_number = ++run_count_;
    {
      const std::lock_guard lock(mutex_);
      if (journal_.is_open()) {
        journal_ << request.method << ' ' << request.path << ' ' << key
                 << std::endl;
      }
    }
    std::this_thread::sleep_for(options_.latency);
    const nlohmann::json body = {{"service", options_.name},
                                 {"method", request.method},
                                 {"path", request.path},
                                 {"key", key},
                                 {"ran", run_number}};
    response.set_content(body.dump(), "application/json");
  }

  ServiceOptions options_;
  std::string boot_id_;
  std::atomic<uint64_t> run_count_{0};
  std::mutex mutex_;
  std::ofstream journal_;
};

}  // namespace

int RunService(const ServiceOptions& options) {
  httplib::Server server;
  Service service(options);
  service.RegisterRoutes(server);
  return ServeUntilStopped(server, options.address);
}

}  // namespace dogwoodlatch::standin
