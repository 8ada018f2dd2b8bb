// The router's HTTP interface for callers.
#pragma once

#include <httplib.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "agent_links.h"
#include "caller_server.h"
#include "dogwoodlatch/util/platform_sync.h"
#include "request_driver.h"
#include "request_stats.h"
#include "router_settings.h"

namespace dogwoodlatch::router {

// Accepts callers' requests, authenticates them, and runs each to its outcome.
class HttpFrontend {
 public:
  HttpFrontend(const RouterSettings& settings, const PlatformSync& sync,
               AgentLinks& links, CrashGuard& crash_guard);
  ~HttpFrontend();
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  // Returns false if the address cannot be bound.
  bool Start();

  // Rejects new requests, waits at most the drain timeout for those in flight,
  // then closes the listener.
  void DrainAndStop();

  bool is_draining() const { return draining_; }

  // Returns the metrics in text exposition format.
  std::string Metrics() const;

  // Returns the request statistics for the status report.
  nlohmann::json Status() const { return stats_.Status(SteadyNow()); }

 private:
  class InFlightGuard;
  struct RequestRecord;

  void HandleChat(const httplib::Request& request, httplib::Response& response);
  void HandleService(const httplib::Request& request,
                     httplib::Response& response);
  void Respond(RequestContext context, bool stream,
               httplib::Response& response);
  void SendStreamedResponse(const std::shared_ptr<RequestDriver>& driver,
                            const std::shared_ptr<InFlightGuard>& in_flight,
                            const RequestRecord& record, std::string first,
                            httplib::Response& response);
  bool WriteStep(const RequestDriver& driver, const RequestRecord& record,
                 const DriverStep& step, httplib::DataSink& sink);
  void SendFullResponse(RequestDriver& driver, DriverStep first,
                        RequestKind kind, const RequestRecord& record,
                        httplib::Response& response);
  std::optional<Rejection> CheckHeaders(const httplib::Request& request) const;
  const WorkspaceSettings* Authenticate(const SettingsSnapshot& settings,
                                        const httplib::Request& request,
                                        httplib::Response& response) const;
  RequestContext MakeContext(RequestKind kind,
                             const WorkspaceSettings& workspace,
                             const httplib::Request& request);
  RequestId NextRequestId();
  void RecordEnd(const RequestDriver& driver, const RequestRecord& record,
                 const Outcome& outcome);

  const RouterSettings& settings_;
  const PlatformSync& sync_;
  AgentLinks& links_;
  CrashGuard& crash_guard_;
  SharedRetryBudget retry_budget_;
  CallerServer server_;
  std::thread thread_;
  std::atomic<bool> draining_{false};
  std::atomic<int> in_flight_{0};
  std::mutex random_mutex_;
  std::mt19937_64 random_ = MakeSeededRandom();
  RequestStats stats_;
};

}  // namespace dogwoodlatch::router
