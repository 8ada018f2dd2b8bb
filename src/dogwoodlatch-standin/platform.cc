// Platform stand-in: object API, VM list, and a control endpoint for fault
// injection.

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "dogwoodlatch/standin/object_store.h"
#include "serve.h"
#include "standin.h"

namespace dogwoodlatch::standin {
namespace {

using Json = nlohmann::json;
using httplib::Request;
using httplib::Response;

constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kServiceUnavailable = 503;

Json ToJson(const StoredObject& object) {
  return {{"path", object.path},
          {"version", object.version},
          {"value", object.value}};
}

Json ToJson(const std::vector<StoredChange>& changes) {
  Json list = Json::array();
  for (const StoredChange& change : changes) {
    Json item = ToJson(change.object);
    item["deleted"] = change.deleted;
    list.push_back(std::move(item));
  }
  return list;
}

// Returns the prefixes of a list or watch request, which may have several.
std::vector<std::string> ParsePrefixes(const Request& request) {
  std::vector<std::string> prefixes;
  const size_t count = request.get_param_value_count("prefix");
  for (size_t i = 0; i < count; ++i) {
    prefixes.push_back(request.get_param_value("prefix", i));
  }
  return prefixes;
}

// Returns the changes under any of the prefixes, or nullopt when the change log
// does not cover the revision.
std::optional<std::vector<StoredChange>> ChangesAfter(
    const ObjectStore& store, const std::vector<std::string>& prefixes,
    uint64_t revision) {
  std::vector<StoredChange> all;
  for (const std::string& prefix : prefixes) {
    const auto changes = store.ChangesAfter(prefix, revision);
    if (!changes) return std::nullopt;
    all.insert(all.end(), changes->begin(), changes->end());
  }
  std::ranges::sort(all, {}, &StoredChange::revision);
  return all;
}

uint64_t ParamOr(const Request& request, const char* name, uint64_t fallback) {
  return request.has_param(name) ? std::stoull(request.get_param_value(name))
                                 : fallback;
}

class Platform {
 public:
  void RegisterRoutes(httplib::Server& server) {
    server.set_pre_routing_handler(
        [this](const Request& request, Response& response) {
          return InjectFault(request, response);
        });
    server.set_post_routing_handler(
        [this](const Request& request, Response& response) {
          DropWriteResponse(request, response);
        });
    server.Get("/objects", [this](const Request& request, Response& response) {
      HandleList(request, response);
    });
    server.Get("/objects/(.+)",
               [this](const Request& request, Response& response) {
                 HandleGet(request, response);
               });
    server.Get("/history/(.+)",
               [this](const Request& request, Response& response) {
                 HandleHistory(request, response);
               });
    server.Put("/objects/(.+)",
               [this](const Request& request, Response& response) {
                 HandlePut(request, response);
               });
    server.Delete("/objects/(.+)",
                  [this](const Request& request, Response& response) {
                    HandleDelete(request, response);
                  });
    server.Get("/watch", [this](const Request& request, Response& response) {
      HandleWatch(request, response);
    });
    server.Get("/vms", [this](const Request& request, Response& response) {
      HandleVms(request, response);
    });
    server.Put("/vms", [this](const Request& request, Response& response) {
      HandlePutVms(request, response);
    });
    server.Post("/control", [this](const Request& request, Response& response) {
      HandleControl(request, response);
    });
    server.Get("/control", [this](const Request&, Response& response) {
      const std::lock_guard lock(mutex_);
      SetStatsResponse(response);
    });
  }

 private:
  static bool IsControl(const Request& request) {
    return request.path == "/control";
  }

  httplib::Server::HandlerResponse InjectFault(const Request& request,
                                               Response& response) {
    if (IsControl(request)) return httplib::Server::HandlerResponse::Unhandled;
    ++(request.method == "GET" ? reads_ : writes_);
    std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms_.load()));
    if (!down_) return httplib::Server::HandlerResponse::Unhandled;
    response.status = kServiceUnavailable;
    return httplib::Server::HandlerResponse::Handled;
  }

  // Replaces the response to a write by one that does not reveal its outcome.
  void DropWriteResponse(const Request& request, Response& response) {
    if (IsControl(request) || request.method == "GET" ||
        responses_to_drop_ <= 0) {
      return;
    }
    --responses_to_drop_;
    response.status = 200;
    response.set_content("answer lost", "text/plain");
  }

  void HandleList(const Request& request, Response& response) {
    const std::lock_guard lock(mutex_);
    const ObjectStore& store = SelectReadStore();
    Json objects = Json::array();
    for (const std::string& prefix : ParsePrefixes(request)) {
      for (const StoredObject& object : store.List(prefix)) {
        objects.push_back(ToJson(object));
      }
    }
    SetJsonResponse(response,
                    {{"revision", store.revision()}, {"objects", objects}});
  }

  void HandleGet(const Request& request, Response& response) {
    const std::lock_guard lock(mutex_);
    const ObjectStore& store = SelectReadStore();
    const std::string path = request.matches[1];
    const auto object =
        request.has_param("version")
            ? store.GetVersion(path, ParamOr(request, "version", 0))
            : store.Get(path);
    if (!object) {
      response.status = kNotFound;
      return;
    }
    SetJsonResponse(response, ToJson(*object));
  }

  void HandleHistory(const Request& request, Response& response) {
    const std::lock_guard lock(mutex_);
    SetJsonResponse(response, {{"changes", ToJson(SelectReadStore().History(
                                               request.matches[1].str()))}});
  }

  // Returns the store that serves the next read: the stale one for as many
  // reads as the control request asked for, then the current one.
  const ObjectStore& SelectReadStore() {
    if (stale_reads_left_ == 0) return store_;
    --stale_reads_left_;
    return stale_store_;
  }

  void HandlePut(const Request& request, Response& response) {
    Json value = Json::parse(request.body, nullptr, false);
    if (value.is_discarded()) {
      response.status = 400;
      return;
    }
    const std::lock_guard lock(mutex_);
    SetWriteResponse(response,
                     store_.Put(request.matches[1].str(), std::move(value),
                                ExpectedVersion(request)));
  }

  void HandleDelete(const Request& request, Response& response) {
    const std::lock_guard lock(mutex_);
    SetWriteResponse(response, store_.Delete(request.matches[1].str(),
                                             ExpectedVersion(request)));
  }

  static uint64_t ExpectedVersion(const Request& request) {
    return request.has_header("If-Match")
               ? std::stoull(request.get_header_value("If-Match"))
               : 0;
  }

  void SetWriteResponse(Response& response, const Result<uint64_t>& version) {
    if (!version) {
      response.status = version.error().code == ErrorCode::kNotFound
                            ? kNotFound
                            : kPreconditionFailed;
      return;
    }
    changed_.notify_all();
    SetJsonResponse(response, {{"version", version.value()}});
  }

  void HandleWatch(const Request& request, Response& response) {
    const std::vector<std::string> prefixes = ParsePrefixes(request);
    const uint64_t revision = ParamOr(request, "revision", 0);
    std::unique_lock lock(mutex_);
    std::optional<std::vector<StoredChange>> changes;
    changed_.wait_for(
        lock, std::chrono::milliseconds(ParamOr(request, "wait_ms", 0)), [&] {
          changes = ChangesAfter(store_, prefixes, revision);
          return down_ || !changes || !changes->empty();
        });
    if (!changes) {
      response.status = kGone;
      return;
    }
    if (down_) {
      response.status = kServiceUnavailable;
      return;
    }
    SetJsonResponse(response, {{"revision", store_.revision()},
                               {"changes", ToJson(*changes)}});
  }

  void HandleVms(const Request& request, Response& response) {
    const uint64_t known = ParamOr(request, "revision", 0);
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock,
                      std::chrono::milliseconds(ParamOr(request, "wait_ms", 0)),
                      [&] { return down_ || vms_revision_ != known; });
    if (down_) {
      response.status = kServiceUnavailable;
      return;
    }
    SetJsonResponse(response, {{"revision", vms_revision_}, {"vms", vms_}});
  }

  void HandlePutVms(const Request& request, Response& response) {
    const std::lock_guard lock(mutex_);
    vms_ = Json::parse(request.body, nullptr, false);
    ++vms_revision_;
    vms_history_[vms_revision_] = vms_;
    changed_.notify_all();
    SetJsonResponse(response, {{"revision", vms_revision_}});
  }

  void HandleControl(const Request& request, Response& response) {
    const Json command = Json::parse(request.body, nullptr, false);
    down_ = command.value("down", down_.load());
    delay_ms_ = command.value("delay_ms", delay_ms_.load());
    responses_to_drop_ =
        command.value("lose_answers", responses_to_drop_.load());
    const std::lock_guard lock(mutex_);
    if (command.contains("stale_reads")) {
      stale_reads_left_ = command["stale_reads"].get<int>();
      stale_store_ =
          store_.SnapshotAt(command.value("stale_revision", uint64_t{0}));
    }
    if (command.contains("restore_to")) {
      store_ = store_.SnapshotAt(command["restore_to"].get<uint64_t>());
    }
    if (command.contains("restore_vms_to")) {
      vms_revision_ = command["restore_vms_to"].get<uint64_t>();
      vms_ = vms_history_[vms_revision_];
    }
    changed_.notify_all();
    SetStatsResponse(response);
  }

  void SetStatsResponse(Response& response) {
    SetJsonResponse(response, {{"reads", reads_.load()},
                               {"writes", writes_.load()},
                               {"revision", store_.revision()},
                               {"down", down_.load()}});
  }

  static void SetJsonResponse(Response& response, const Json& json) {
    response.status = 200;
    response.set_content(json.dump(), "application/json");
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  ObjectStore store_;
  ObjectStore stale_store_;
  int stale_reads_left_ = 0;
  std::map<uint64_t, Json> vms_history_;
  Json vms_ = Json::array();
  uint64_t vms_revision_ = 1;
  std::atomic<bool> down_{false};
  std::atomic<int> delay_ms_{0};
  std::atomic<int> responses_to_drop_{0};
  std::atomic<uint64_t> reads_{0};
  std::atomic<uint64_t> writes_{0};
};

}  // namespace

int RunPlatform(const std::string& address) {
  httplib::Server server;
  Platform platform;
  platform.RegisterRoutes(server);
  return ServeUntilStopped(server, address);
}

}  // namespace dogwoodlatch::standin
