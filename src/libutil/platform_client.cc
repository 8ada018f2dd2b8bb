#include "dogwoodlatch/util/platform_client.h"

#include <httplib.h>

#include <utility>

#include "dogwoodlatch/util/address.h"

namespace dogwoodlatch {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 412;
constexpr int kHttpExpired = 410;

Error UnavailableAt(std::string_view path, std::string detail) {
  return {ErrorCode::kUnavailable, "platform " + std::string(path),
          std::move(detail)};
}

Error ErrorOfStatus(int status, std::string_view path,
                    const std::string& body) {
  switch (status) {
    case kHttpNotFound:
      return {ErrorCode::kNotFound, std::string(path), "no such object"};
    case kHttpConflict:
      return {ErrorCode::kConflict, std::string(path), body};
    case kHttpExpired:
      return {ErrorCode::kExpired, std::string(path),
              "the position is no longer held"};
    default:
      return UnavailableAt(path, "status " + std::to_string(status));
  }
}

httplib::Client Open(const PlatformClientOptions& options, milliseconds extra) {
  const Address address = ParseAddress(options.address);
  httplib::Client client(address.host, address.port);
  client.set_connection_timeout(options.timeout);
  client.set_read_timeout(options.timeout + extra);
  client.set_write_timeout(options.timeout);
  client.set_tcp_nodelay(true);
  return client;
}

Result<Json> ParseAnswer(const httplib::Result& result, std::string_view path) {
  if (!result) return UnavailableAt(path, httplib::to_string(result.error()));
  if (result->status != kHttpOk) {
    return ErrorOfStatus(result->status, path, result->body);
  }
  Json json = Json::parse(result->body, nullptr, false);
  if (json.is_discarded()) return UnavailableAt(path, "answer is not JSON");
  return json;
}

// A write that reached the platform may have taken effect although its answer
// did not arrive.
Result<Json> ParseWriteAnswer(const httplib::Result& result,
                              std::string_view path) {
  if (!result && result.error() != httplib::Error::Connection) {
    return Error{ErrorCode::kUnknownOutcome, std::string(path),
                 httplib::to_string(result.error())};
  }
  Result<Json> json = ParseAnswer(result, path);
  if (!json && result && result->status == kHttpOk) {
    return Error{ErrorCode::kUnknownOutcome, std::string(path),
                 "the answer to a write is not JSON"};
  }
  return json;
}

PlatformObject ParseObject(const Json& json) {
  return {json.value("path", ""), json.value("version", uint64_t{0}),
          json.value("value", Json())};
}

std::string Query(std::string_view name, std::string_view value) {
  return std::string(name) + "=" +
         httplib::detail::encode_query_param(std::string(value));
}

}  // namespace

PlatformClient::PlatformClient(PlatformClientOptions options)
    : options_(std::move(options)) {}

Result<PlatformObject> PlatformClient::Get(std::string_view path) const {
  httplib::Client client = Open(options_, milliseconds(0));
  const Result<Json> json =
      ParseAnswer(client.Get("/objects/" + std::string(path)), path);
  if (!json) return json.error();
  return ParseObject(json.value());
}

Result<PlatformObject> PlatformClient::GetVersion(std::string_view path,
                                                  uint64_t version) const {
  httplib::Client client = Open(options_, milliseconds(0));
  const std::string url =
      "/objects/" + std::string(path) + "?version=" + std::to_string(version);
  const Result<Json> json = ParseAnswer(client.Get(url), path);
  if (!json) return json.error();
  return ParseObject(json.value());
}

Result<std::vector<uint64_t>> PlatformClient::Versions(
    std::string_view path) const {
  httplib::Client client = Open(options_, milliseconds(0));
  const std::string url = "/objects/" + std::string(path) + "?versions=all";
  const Result<Json> json = ParseAnswer(client.Get(url), path);
  if (!json) return json.error();
  return json.value().value("versions", std::vector<uint64_t>());
}

Result<uint64_t> PlatformClient::Put(std::string_view path, const Json& value,
                                     uint64_t expected_version) const {
  httplib::Client client = Open(options_, milliseconds(0));
  const httplib::Headers condition = {
      {"If-Match", std::to_string(expected_version)}};
  const auto result = client.Put("/objects/" + std::string(path), condition,
                                 value.dump(), "application/json");
  const Result<Json> json = ParseWriteAnswer(result, path);
  if (!json) return json.error();
  return json.value().value("version", uint64_t{0});
}

Result<void> PlatformClient::Delete(std::string_view path,
                                    uint64_t expected_version) const {
  httplib::Client client = Open(options_, milliseconds(0));
  const httplib::Headers condition = {
      {"If-Match", std::to_string(expected_version)}};
  const Result<Json> json = ParseWriteAnswer(
      client.Delete("/objects/" + std::string(path), condition), path);
  if (!json) return json.error();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<ObjectList> PlatformClient::List(std::string_view prefix) const {
  httplib::Client client = Open(options_, milliseconds(0));
  const Result<Json> json =
      ParseAnswer(client.Get("/objects?" + Query("prefix", prefix)), prefix);
  if (!json) return json.error();
  ObjectList list{json.value().value("revision", uint64_t{0}), {}};
  for (const Json& item : json.value().value("objects", Json::array())) {
    list.objects.push_back(ParseObject(item));
  }
  return list;
}

Result<ChangeList> PlatformClient::Watch(std::string_view prefix,
                                         uint64_t revision,
                                         milliseconds wait) const {
  httplib::Client client = Open(options_, wait);
  const std::string url = "/watch?" + Query("prefix", prefix) +
                          "&revision=" + std::to_string(revision) +
                          "&wait_ms=" + std::to_string(wait.count());
  const Result<Json> json = ParseAnswer(client.Get(url), prefix);
  if (!json) return json.error();
  ChangeList list{json.value().value("revision", revision), {}};
  for (const Json& item : json.value().value("changes", Json::array())) {
    list.changes.push_back({ParseObject(item), item.value("deleted", false)});
  }
  return list;
}

Result<VmList> PlatformClient::Vms(uint64_t known_revision,
                                   milliseconds wait) const {
  httplib::Client client = Open(options_, wait);
  const std::string url = "/vms?revision=" + std::to_string(known_revision) +
                          "&wait_ms=" + std::to_string(wait.count());
  const Result<Json> json = ParseAnswer(client.Get(url), "vms");
  if (!json) return json.error();
  return ParseVmList(json.value());
}

}  // namespace dogwoodlatch
