#include "daemons.h"

#include <httplib.h>

#include <algorithm>
#include <future>

#include "dogwoodlatch/json_reader.h"
#include "dogwoodlatch/util/address.h"

namespace dogwoodlatch::cli {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxConcurrentCalls = 32;

Error Unavailable(const std::string& address, std::string detail) {
  return {ErrorCode::kUnavailable, "daemon " + address, std::move(detail)};
}

DaemonStatus FetchStatus(const std::string& text,
                         std::chrono::milliseconds timeout) {
  const Address address = ParseAddress(text);
  httplib::Client client(address.host, address.port);
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  const httplib::Result response = client.Get("/status");
  if (!response) {
    return {text, Unavailable(text, httplib::to_string(response.error()))};
  }
  Json status = ParseJson(response->body);
  if (response->status != 200 || !status.is_object()) {
    return {text, Unavailable(text, "the response holds no status object")};
  }
  return {text, std::move(status)};
}

}  // namespace

std::string DaemonStatus::Name() const {
  if (!status || !status.value().contains("id")) return address;
  return status.value()["id"].get<std::string>();
}

std::vector<DaemonStatus> FetchDaemonStatuses(const ClientOptions& options) {
  std::vector<DaemonStatus> statuses;
  for (size_t begin = 0; begin < options.daemons.size();
       begin += kMaxConcurrentCalls) {
    const size_t end =
        std::min(begin + kMaxConcurrentCalls, options.daemons.size());
    std::vector<std::future<DaemonStatus>> calls;
    for (size_t i = begin; i < end; ++i) {
      calls.push_back(std::async(std::launch::async, FetchStatus,
                                 std::cref(options.daemons[i]),
                                 options.timeout));
    }
    for (auto& call : calls) statuses.push_back(call.get());
  }
  return statuses;
}

}  // namespace dogwoodlatch::cli
