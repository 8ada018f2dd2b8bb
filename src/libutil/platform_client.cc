#include "dogwoodlatch/util/platform_client.h"

#include <httplib.h>

#include <mutex>
#include <set>
#include <utility>

#include "dogwoodlatch/json_reader.h"
#include "dogwoodlatch/percent_encoding.h"
#include "dogwoodlatch/util/address.h"

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpPreconditionFailed = 412;
constexpr int kHttpGone = 410;

Error MakeUnavailable(std::string_view path, std::string detail) {
  return {ErrorCode::kUnavailable, "platform " + std::string(path),
          std::move(detail)};
}

Error ErrorFromStatus(int status, std::string_view path,
                      const std::string& body) {
  switch (status) {
    case kHttpNotFound:
      return {ErrorCode::kNotFound, std::string(path), "no such object"};
    case kHttpPreconditionFailed:
      return {ErrorCode::kConflict, std::string(path), body};
    case kHttpGone:
      return {ErrorCode::kExpired, std::string(path),
              "the revision is no longer available"};
    default:
      return MakeUnavailable(path, "status " + std::to_string(status));
  }
}

Result<Json> ParseResponse(const httplib::Result& result,
                           std::string_view path) {
  if (!result) return MakeUnavailable(path, httplib::to_string(result.error()));
  if (result->status != kHttpOk) {
    return ErrorFromStatus(result->status, path, result->body);
  }
  Json json = ParseJson(result->body);
  if (!json.is_object()) {
    return MakeUnavailable(path, "response is not a JSON object");
  }
  return json;
}

// A write that reached the platform may have taken effect even though its
// response was not received. A failure to connect means that it was not sent.
Result<Json> ParseWriteResponse(const httplib::Result& result,
                                std::string_view path) {
  if (!result && result.error() != httplib::Error::Connection) {
    return Error{ErrorCode::kUnknownOutcome, std::string(path),
                 httplib::to_string(result.error())};
  }
  Result<Json> json = ParseResponse(result, path);
  if (!json && result && result->status == kHttpOk) {
    return Error{ErrorCode::kUnknownOutcome, std::string(path),
                 "the response to a write is not JSON"};
  }
  return json;
}

uint64_t ReadRevision(const Json& json, const char* key, uint64_t otherwise) {
  ReadNumber(json, key, otherwise);
  return otherwise;
}

PlatformObject ParseObject(const Json& json) {
  PlatformObject object;
  ReadText(json, "path", object.path);
  object.version = ReadRevision(json, "version", 0);
  const auto value = json.find("value");
  if (value != json.end()) object.value = *value;
  return object;
}

// Calls `visit` for each object of the list `key`; other writers may have left
// something else among them.
template <typename Visit>
void VisitObjects(const Json& json, const char* key, Visit&& visit) {
  const auto list = json.find(key);
  if (list == json.end() || !list->is_array()) return;
  for (const Json& item : *list) {
    if (item.is_object()) visit(item);
  }
}

std::vector<ObjectChange> ParseChangeList(const Json& json) {
  std::vector<ObjectChange> changes;
  VisitObjects(json, "changes", [&](const Json& item) {
    ObjectChange change{ParseObject(item), false};
    ReadFlag(item, "deleted", change.deleted);
    changes.push_back(std::move(change));
  });
  return changes;
}

std::string ObjectUrl(std::string_view path) {
  return "/objects/" + PercentEncodePath(path);
}

std::string EncodePrefixes(const std::vector<std::string>& prefixes) {
  std::string query;
  for (const std::string& prefix : prefixes) {
    query += "prefix=" + PercentEncode(prefix) + "&";
  }
  return query;
}

}  // namespace

// The HTTP clients of the calls in progress, so that another thread can abort
// them.
class PlatformClient::ActiveCalls {
 public:
  // An HTTP client that is registered for Interrupt during one call.
  class Call {
   public:
    Call(ActiveCalls& calls, const PlatformClientOptions& options,
         milliseconds extra_wait)
        : calls_(calls),
          address_(ParseAddress(options.address)),
          client_(address_.host, address_.port) {
      client_.set_connection_timeout(options.timeout);
      client_.set_read_timeout(options.timeout + extra_wait);
      client_.set_write_timeout(options.timeout);
      client_.set_tcp_nodelay(true);
      const std::lock_guard lock(calls_.mutex_);
      calls_.clients_.insert(&client_);
    }
    ~Call() {
      const std::lock_guard lock(calls_.mutex_);
      calls_.clients_.erase(&client_);
    }
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;

    httplib::Client* operator->() { return &client_; }

   private:
    ActiveCalls& calls_;
    Address address_;
    httplib::Client client_;
  };

  void Interrupt() {
    const std::lock_guard lock(mutex_);
    for (httplib::Client* client : clients_) client->stop();
  }

 private:
  std::mutex mutex_;
  std::set<httplib::Client*> clients_;
};

PlatformClient::PlatformClient(PlatformClientOptions options)
    : options_(std::move(options)),
      active_calls_(std::make_unique<ActiveCalls>()) {}
PlatformClient::~PlatformClient() = default;

void PlatformClient::Interrupt() { active_calls_->Interrupt(); }

Result<PlatformObject> PlatformClient::Get(std::string_view path) const {
  ActiveCalls::Call client(*active_calls_, options_, milliseconds(0));
  const Result<Json> json = ParseResponse(client->Get(ObjectUrl(path)), path);
  if (!json) return json.error();
  return ParseObject(json.value());
}

Result<std::string> PlatformClient::GetText(std::string_view path) const {
  ActiveCalls::Call client(*active_calls_, options_, milliseconds(0));
  const httplib::Result result = client->Get(std::string(path));
  if (!result) return MakeUnavailable(path, httplib::to_string(result.error()));
  if (result->status != kHttpOk) {
    return ErrorFromStatus(result->status, path, result->body);
  }
  return result->body;
}

Result<PlatformObject> PlatformClient::GetVersion(std::string_view path,
                                                  uint64_t version) const {
  ActiveCalls::Call client(*active_calls_, options_, milliseconds(0));
  const std::string url =
      ObjectUrl(path) + "?version=" + std::to_string(version);
  const Result<Json> json = ParseResponse(client->Get(url), path);
  if (!json) return json.error();
  return ParseObject(json.value());
}

Result<uint64_t> PlatformClient::Put(std::string_view path, const Json& value,
                                     uint64_t expected_version) const {
  ActiveCalls::Call client(*active_calls_, options_, milliseconds(0));
  const httplib::Headers condition = {
      {"If-Match", std::to_string(expected_version)}};
  const auto result =
      client->Put(ObjectUrl(path), condition, value.dump(), "application/json");
  const Result<Json> json = ParseWriteResponse(result, path);
  if (!json) return json.error();
  return ReadRevision(json.value(), "version", 0);
}

Result<void> PlatformClient::Delete(std::string_view path,
                                    uint64_t expected_version) const {
  ActiveCalls::Call client(*active_calls_, options_, milliseconds(0));
  const httplib::Headers condition = {
      {"If-Match", std::to_string(expected_version)}};
  const Result<Json> json =
      ParseWriteResponse(client->Delete(ObjectUrl(path), condition), path);
  if (!json) return json.error();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<ObjectList> PlatformClient::List(std::string_view prefix) const {
  return List(std::vector<std::string>{std::string(prefix)});
}

Result<ObjectList> PlatformClient::List(
    const std::vector<std::string>& prefixes) const {
  ActiveCalls::Call client(*active_calls_, options_, milliseconds(0));
  const Result<Json> json = ParseResponse(
      client->Get("/objects?" + EncodePrefixes(prefixes)), "objects");
  if (!json) return json.error();
  ObjectList list{ReadRevision(json.value(), "revision", 0), {}};
  VisitObjects(json.value(), "objects", [&](const Json& item) {
    list.objects.push_back(ParseObject(item));
  });
  return list;
}

Result<ObjectHistory> PlatformClient::History(std::string_view path) const {
  ActiveCalls::Call client(*active_calls_, options_, milliseconds(0));
  const Result<Json> json =
      ParseResponse(client->Get("/history/" + PercentEncodePath(path)), path);
  if (!json) return json.error();
  return ParseChangeList(json.value());
}

Result<ChangeList> PlatformClient::Watch(
    const std::vector<std::string>& prefixes, uint64_t revision,
    milliseconds wait) const {
  ActiveCalls::Call client(*active_calls_, options_, wait);
  const std::string url = "/watch?" + EncodePrefixes(prefixes) +
                          "revision=" + std::to_string(revision) +
                          "&wait_ms=" + std::to_string(wait.count());
  const Result<Json> json = ParseResponse(client->Get(url), "watch");
  if (!json) return json.error();
  return ChangeList{ReadRevision(json.value(), "revision", revision),
                    ParseChangeList(json.value())};
}

Result<VmList> PlatformClient::GetVmList(uint64_t known_revision,
                                         milliseconds wait) const {
  ActiveCalls::Call client(*active_calls_, options_, wait);
  const std::string url = "/vms?revision=" + std::to_string(known_revision) +
                          "&wait_ms=" + std::to_string(wait.count());
  const Result<Json> json = ParseResponse(client->Get(url), "vms");
  if (!json) return json.error();
  return ParseVmList(json.value());
}

}  // namespace dogwoodlatch
