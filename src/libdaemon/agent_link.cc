#include "dogwoodlatch/daemon/agent_link.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <numeric>
#include <utility>

#include "dogwoodlatch/daemon/router_key.h"
#include "dogwoodlatch/json_reader.h"
#include "dogwoodlatch/util/event_loop.h"
#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::daemon {
namespace {

using nlohmann::json;

// Must be incremented when a field changes its meaning. Fields that were added
// later are optional, so that processes of both builds understand each other
// during an upgrade.
constexpr int kProtocolVersion = 5;

// Times of other processes are limited to this where they are read, so that
// they can be added to and subtracted from the present.
constexpr Duration kMaxTime = std::chrono::hours(24 * 365 * 100);

// Limits of counts of requests and of tokens, so that they can be added up.
constexpr int kMaxCount = 1'000'000;
constexpr int64_t kMaxTokens = 1'000'000'000'000;

// Lines about datagrams that cannot be decoded are at least this far apart.
constexpr Duration kFaultLogPeriod = std::chrono::seconds(1);

// The functions below throw an exception of the JSON library when a field is
// missing or of the wrong type.
Duration ReadDuration(const json& value) {
  return std::clamp(Duration(value.get<int64_t>()), Duration{0}, kMaxTime);
}

int ReadCount(const json& value) {
  const auto count = value.get<int64_t>();
  return static_cast<int>(std::clamp<int64_t>(count, 0, kMaxCount));
}

int64_t ReadTokens(const json& value) {
  return std::clamp<int64_t>(value.get<int64_t>(), 0, kMaxTokens);
}

// No field is a fraction. The library converts one to an integer without a
// check of its range.
bool HasFraction(const json& value) {
  return value.is_number_float() ||
         (value.is_structured() &&
          std::any_of(value.begin(), value.end(), HasFraction));
}

// Backlogs are sent in whole milliseconds.
Duration ReadMilliseconds(const json& value) {
  constexpr auto kMost =
      std::chrono::duration_cast<std::chrono::milliseconds>(kMaxTime);
  return std::chrono::milliseconds(
      std::clamp<int64_t>(value.get<int64_t>(), 0, kMost.count()));
}

int64_t WriteMilliseconds(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

// Sizes of memory are sent in units of this many tokens, rounded up.
constexpr int64_t kMemoryUnit = 16;

int64_t ReadMemory(const json& value) {
  return std::min(ReadTokens(value), kMaxTokens / kMemoryUnit) * kMemoryUnit;
}

int64_t WriteMemory(int64_t tokens) {
  return tokens / kMemoryUnit + (tokens % kMemoryUnit > 0 ? 1 : 0);
}

// A list is a flat array of keys and domains.
std::vector<ListedRouter> ReadRouters(const json& list) {
  std::vector<ListedRouter> routers;
  for (size_t i = 0; i + 1 < list.size(); i += 2) {
    routers.push_back(
        {list.at(i).get<uint64_t>(), list.at(i + 1).get<serving::DomainKey>()});
  }
  return routers;
}

json WriteRouters(std::span<const ListedRouter> routers) {
  json list = json::array();
  for (const ListedRouter& listed : routers) {
    list.push_back(listed.router);
    list.push_back(listed.domain);
  }
  return list;
}

// The key of a target and its load are consecutive numbers.
constexpr size_t kLoadNumbers = 6;

void ReadLoad(const json& numbers, size_t at, TargetStatus& status) {
  numbers.at(at).get_to(status.target);
  status.queued = ReadCount(numbers.at(at + 1));
  status.active = ReadCount(numbers.at(at + 2));
  status.prefilling = ReadCount(numbers.at(at + 3));
  status.memory_used = ReadMemory(numbers.at(at + 4));
  status.memory_total = ReadMemory(numbers.at(at + 5));
}

void WriteLoad(const TargetStatus& status, json& numbers) {
  numbers.push_back(status.target);
  numbers.push_back(status.queued);
  numbers.push_back(status.active);
  numbers.push_back(status.prefilling);
  numbers.push_back(WriteMemory(status.memory_used));
  numbers.push_back(WriteMemory(status.memory_total));
}

Subscription ReadSubscription(const json& message) {
  Subscription subscription{
      .newest_fence = message.at("n").get<uint64_t>(),
      .domain = message.value("d", serving::DomainKey{0})};
  if (message.contains("h")) {
    subscription.heard_ago = ReadMilliseconds(message.at("h"));
  }
  if (message.contains("g")) {
    const json& order = message.at("g");
    order.at(0).get_to(subscription.ordered_target);
    order.at(1).get_to(subscription.order_fence);
  }
  return subscription;
}

Result<Datagram> ReadTargetStatus(const json& message) {
  TargetStatus status;
  ReadLoad(message.at("s"), 0, status);
  const auto phase = message.value("p", int64_t{0});
  if (phase < 0 || phase >= serving::kRolloutPhases) {
    return Error{ErrorCode::kBadMessage, "phase", std::to_string(phase)};
  }
  status.phase = static_cast<serving::RolloutPhase>(phase);
  if (message.contains("w")) message.at("w").get_to(status.weights);
  if (message.contains("m")) status.routers = ReadRouters(message.at("m"));
  status.is_leaving = message.value("l", false);
  return Datagram(std::move(status));
}

serving::SuspectReport ReadSuspectReport(const json& entry) {
  serving::SuspectReport report;
  const bool is_part = entry.at(0).get<bool>();
  report.suspect = {
      is_part ? serving::SuspectKind::kPart : serving::SuspectKind::kRequest,
      entry.at(1).get<uint64_t>()};
  report.wanted_ago = ReadDuration(entry.at(2));
  if (!entry.at(3).is_null()) {
    report.answered_ago = ReadDuration(entry.at(3));
  }
  for (const json& crash : entry.at(4)) {
    report.crashes.push_back({.target = crash.at(0).get<uint64_t>(),
                              .age = ReadDuration(crash.at(1)),
                              .was_answering = crash.at(2).get<bool>()});
  }
  return report;
}

json WriteSuspectReport(const serving::SuspectReport& report) {
  json crashes = json::array();
  for (const serving::SuspectReport::Crash& crash : report.crashes) {
    crashes.push_back({crash.target, crash.age.count(), crash.was_answering});
  }
  const json answered_ago =
      report.answered_ago ? json(report.answered_ago->count()) : json();
  return {report.suspect.kind == serving::SuspectKind::kPart,
          report.suspect.hash, report.wanted_ago.count(), answered_ago,
          std::move(crashes)};
}

// [uptime, asks for what is left, [[workspace, spent, left or null], ...]]
serving::QuotaReport ReadQuotaReport(const json& entry) {
  const auto read_amount = [](const json& value) {
    return std::clamp(value.get<int64_t>(), -kMaxTokens, kMaxTokens);
  };
  serving::QuotaReport report{.uptime = ReadDuration(entry.at(0)),
                              .asks_for_left = entry.at(1).get<bool>()};
  for (const json& use : entry.at(2)) {
    report.uses.push_back({.workspace = use.at(0).get<uint64_t>(),
                           .spent = ReadTokens(use.at(1))});
    if (use.size() > 2) report.uses.back().left = read_amount(use.at(2));
  }
  return report;
}

json WriteQuotaReport(const serving::QuotaReport& report) {
  json uses = json::array();
  for (const serving::QuotaUse& use : report.uses) {
    uses.push_back({use.workspace, use.spent});
    if (use.left) uses.back().push_back(*use.left);
  }
  return {report.uptime.count(), report.asks_for_left, std::move(uses)};
}

// Pairs of numbers, one after the other.
std::vector<serving::SlownessSample> ReadSamples(const json& list) {
  std::vector<serving::SlownessSample> samples;
  for (size_t i = 0; i + 1 < list.size(); i += 2) {
    samples.push_back({.permille = ReadCount(list.at(i)),
                       .bound_permille = ReadCount(list.at(i + 1))});
  }
  return samples;
}

json WriteSamples(std::span<const serving::SlownessSample> samples) {
  json list = json::array();
  for (const serving::SlownessSample& sample : samples) {
    list.push_back(sample.permille);
    list.push_back(sample.bound_permille);
  }
  return list;
}

// A number, or pairs of a priority and a number, one after the other.
void ReadBacklog(const json& value, RouterUpdate::TargetLoad& target) {
  if (!value.is_array()) {
    target.prefill_backlog = ReadMilliseconds(value);
    return;
  }
  serving::PriorityBacklog& backlog = target.by_priority.emplace();
  for (size_t i = 0; i + 1 < value.size(); i += 2) {
    const auto priority = value.at(i).get<size_t>();
    if (priority >= backlog.size()) continue;
    backlog[priority] = ReadMilliseconds(value.at(i + 1));
  }
  target.prefill_backlog =
      std::accumulate(backlog.begin(), backlog.end(), Duration{0});
}

json WriteBacklog(const RouterUpdate::TargetLoad& target) {
  if (!target.by_priority) return WriteMilliseconds(target.prefill_backlog);
  json pairs = json::array();
  for (size_t i = 0; i < target.by_priority->size(); ++i) {
    const Duration backlog = (*target.by_priority)[i];
    if (backlog == Duration{0}) continue;
    pairs.push_back(i);
    pairs.push_back(WriteMilliseconds(backlog));
  }
  return pairs;
}

RouterUpdate ReadRouterUpdate(const json& message) {
  RouterUpdate update;
  const json& state = message.at("u");
  const auto phase = state.at(0).get<int64_t>();
  if (phase >= 0 &&
      phase <= static_cast<int>(serving::RouterPhase::kStopping)) {
    update.phase = static_cast<serving::RouterPhase>(phase);
  }
  update.sequence = state.at(1).get<uint8_t>();
  update.stopping_for = ReadMilliseconds(message.value("z", json(0)));
  for (const json& entry : message.value("t", json::array())) {
    RouterUpdate::TargetLoad target;
    entry.at(0).get_to(target.target);
    ReadBacklog(entry.at(1), target);
    const bool has_samples = entry.size() > 2 && entry.at(2).is_array();
    if (has_samples) target.slowness = ReadSamples(entry.at(2));
    for (size_t i = has_samples ? 3 : 2; i < entry.size(); ++i) {
      target.parts_used.push_back(entry.at(i).get<uint64_t>());
    }
    update.targets.push_back(std::move(target));
  }
  for (const json& entry : message.value("k", json::array())) {
    update.parts_saved.push_back(
        {entry.at(0).get<uint64_t>(), entry.at(1).get<uint32_t>()});
  }
  if (message.contains("f")) message.at("f").get_to(update.parts_fetched);
  for (const json& entry : message.value("x", json::array())) {
    update.suspects.push_back(ReadSuspectReport(entry));
  }
  for (const json& entry : message.value("l", json::array())) {
    update.targets_leaving.push_back({entry.at(0).get<serving::TargetKey>(),
                                      WallTime(ReadDuration(entry.at(1)))});
  }
  if (message.contains("q")) update.quota = ReadQuotaReport(message.at("q"));
  return update;
}

// Most processes use the same port. The origin of a message is an IP address if
// its port is that of the batch.
constexpr uint64_t kMaxIp = 0xFFFF'FFFF;

uint64_t ReadOrigin(const json& value, uint16_t port) {
  const auto origin = value.get<uint64_t>();
  return origin <= kMaxIp ? origin << kPortBits | port : origin;
}

Result<Datagram> ReadBatch(const json& message) {
  constexpr size_t kMost = serving::RelayQueue::kMaxBatchMessages;
  const json list = message.value("b", json::array());
  const json loads = message.value("c", json::array());
  if (list.size() % 2 != 0 || list.size() / 2 > kMost ||
      loads.size() % kLoadNumbers != 0 ||
      loads.size() / kLoadNumbers > ForwardedBatch::kMaxStatuses) {
    return Error{ErrorCode::kBadMessage, "batch", std::to_string(list.size())};
  }
  const uint16_t port =
      list.empty() ? uint16_t{0} : message.at("o").get<uint16_t>();
  ForwardedBatch batch;
  for (size_t i = 0; i < list.size(); i += 2) {
    batch.messages.push_back(
        {ReadOrigin(list.at(i), port), list.at(i + 1).get_binary()});
  }
  for (size_t i = 0; i < loads.size(); i += kLoadNumbers) {
    ReadLoad(loads, i, batch.statuses.emplace_back());
  }
  return Datagram(std::move(batch));
}

std::vector<uint8_t> EncodeMessage(json message) {
  message["v"] = kProtocolVersion;
  return json::to_cbor(message);
}

void AddIfFilled(json& message, const char* key, json value) {
  if (!value.empty()) message[key] = std::move(value);
}

}  // namespace

std::vector<uint8_t> Encode(const TargetStatus& status) {
  json load = json::array();
  WriteLoad(status, load);
  json message{{"s", std::move(load)}};
  if (status.phase != serving::RolloutPhase::kServing) {
    message["p"] = static_cast<int>(status.phase);
  }
  AddIfFilled(message, "w", status.weights);
  AddIfFilled(message, "m", WriteRouters(status.routers));
  if (status.is_leaving) message["l"] = true;
  return EncodeMessage(std::move(message));
}

std::vector<uint8_t> Encode(const RouterUpdate& update) {
  json message{{"u", {static_cast<int>(update.phase), update.sequence}}};
  json targets = json::array();
  for (const RouterUpdate::TargetLoad& target : update.targets) {
    json entry = {target.target, WriteBacklog(target)};
    if (!target.slowness.empty()) {
      entry.push_back(WriteSamples(target.slowness));
    }
    std::ranges::copy(target.parts_used, std::back_inserter(entry));
    targets.push_back(std::move(entry));
  }
  AddIfFilled(message, "t", std::move(targets));
  json saved = json::array();
  for (const serving::PartSave& save : update.parts_saved) {
    saved.push_back({save.part, save.tokens});
  }
  AddIfFilled(message, "k", std::move(saved));
  AddIfFilled(message, "f", update.parts_fetched);
  json suspects = json::array();
  std::ranges::transform(update.suspects, std::back_inserter(suspects),
                         WriteSuspectReport);
  AddIfFilled(message, "x", std::move(suspects));
  json leaving = json::array();
  for (const RouterUpdate::Leaving& target : update.targets_leaving) {
    leaving.push_back(
        {target.target, target.started.time_since_epoch().count()});
  }
  AddIfFilled(message, "l", std::move(leaving));
  if (update.quota) message["q"] = WriteQuotaReport(*update.quota);
  if (update.stopping_for != Duration{0}) {
    message["z"] = WriteMilliseconds(update.stopping_for);
  }
  return EncodeMessage(std::move(message));
}

std::vector<uint8_t> Encode(const Subscription& subscription) {
  json message{{"n", subscription.newest_fence}, {"d", subscription.domain}};
  if (subscription.heard_ago) {
    message["h"] = WriteMilliseconds(*subscription.heard_ago);
  }
  if (subscription.order_fence > 0) {
    message["g"] = {subscription.ordered_target, subscription.order_fence};
  }
  return EncodeMessage(std::move(message));
}

std::vector<uint8_t> Encode(const FreshnessQuestion& question) {
  return EncodeMessage({{"a", question.nonce}});
}

std::vector<uint8_t> Encode(const FreshnessAnswer& answer) {
  return EncodeMessage({{"y",
                         {answer.nonce, answer.configuration, answer.era,
                          answer.targets_revision, answer.newest_fence}}});
}

std::vector<uint8_t> Encode(const StateQuestion&) {
  return EncodeMessage({{"q", true}});
}

std::vector<uint8_t> Encode(const serving::KnownState& state) {
  return EncodeMessage(
      {{"e", {state.era, state.configuration, state.is_settled}}});
}

std::vector<uint8_t> Encode(const RouterDirectory& directory) {
  return EncodeMessage({{"m", WriteRouters(directory.routers)}});
}

std::vector<uint8_t> EncodeRelayRequest(std::span<const uint8_t> message) {
  return EncodeMessage({{"r", json::binary({message.begin(), message.end()})}});
}

std::vector<uint8_t> Encode(const ForwardedBatch& batch) {
  json message = json::object();
  if (!batch.messages.empty()) {
    const uint16_t port = RouterEndpoint(batch.messages.front().origin).port();
    json list = json::array();
    for (const serving::RelayQueue::Message& sent : batch.messages) {
      const bool is_port = RouterEndpoint(sent.origin).port() == port;
      list.push_back(is_port ? sent.origin >> kPortBits : sent.origin);
      list.push_back(json::binary(sent.bytes));
    }
    message["o"] = port;
    message["b"] = std::move(list);
  }
  json loads = json::array();
  for (const TargetStatus& status : batch.statuses) WriteLoad(status, loads);
  AddIfFilled(message, "c", std::move(loads));
  return EncodeMessage(std::move(message));
}

// Compares with the encoding of the load alone, so that fields which are added
// later make a status more than plain.
bool IsPlain(const TargetStatus& status, std::span<const uint8_t> message) {
  if (status.target == 0) return false;
  TargetStatus load;
  load.target = status.target;
  load.queued = status.queued;
  load.active = status.active;
  load.prefilling = status.prefilling;
  load.memory_used = status.memory_used;
  load.memory_total = status.memory_total;
  return std::ranges::equal(Encode(load), message);
}

Result<Datagram> DecodeDatagram(std::span<const uint8_t> bytes) {
  const json message = ParseCbor(bytes);
  if (!message.is_object()) {
    return Error{ErrorCode::kBadMessage, "datagram", "not a CBOR map"};
  }
  if (HasFraction(message)) {
    return Error{ErrorCode::kBadMessage, "datagram", "a number is a fraction"};
  }
  if (message.value("v", json()) != kProtocolVersion) {
    return Error{ErrorCode::kBadVersion, "datagram", ""};
  }
  // The JSON library reports such fields only by exceptions.
  try {
    if (message.contains("s")) return ReadTargetStatus(message);
    if (message.contains("u")) return Datagram(ReadRouterUpdate(message));
    if (message.contains("b") || message.contains("c")) {
      return ReadBatch(message);
    }
    if (message.contains("r")) {
      return Datagram(RelayRequest{message.at("r").get_binary()});
    }
    if (message.contains("a")) {
      return Datagram(FreshnessQuestion{message.at("a").get<uint64_t>()});
    }
    if (message.contains("y")) {
      const json& answer = message.at("y");
      return Datagram(
          FreshnessAnswer{.nonce = answer.at(0).get<uint64_t>(),
                          .configuration = answer.at(1).get<uint64_t>(),
                          .era = answer.at(2).get<uint64_t>(),
                          .targets_revision = answer.at(3).get<uint64_t>(),
                          .newest_fence = answer.at(4).get<uint64_t>()});
    }
    if (message.contains("q")) return Datagram(StateQuestion{});
    if (message.contains("e")) {
      const json& state = message.at("e");
      return Datagram(
          serving::KnownState{.era = state.at(0).get<uint64_t>(),
                              .configuration = state.at(1).get<uint64_t>(),
                              .is_settled = state.at(2).get<bool>()});
    }
    if (message.contains("m")) {
      return Datagram(RouterDirectory{ReadRouters(message.at("m"))});
    }
    return Datagram(ReadSubscription(message));
  } catch (const json::exception& fault) {
    return Error{ErrorCode::kBadMessage, "datagram", fault.what()};
  }
}

void DatagramFaults::Record(const Error& fault,
                            const asio::ip::udp::endpoint& from,
                            TimePoint now) {
  ++unlogged_;
  if (now < next_log_) return;
  next_log_ = now + kFaultLogPeriod;
  LogEvent(EventId::kBadMessage,
           {{"from", from.address().to_string()},
            {"fault", ToString(fault)},
            {"count", std::to_string(std::exchange(unlogged_, 0))}});
}

AgentLink::AgentLink(asio::io_context& context, Receiver receiver)
    : socket_(context), receiver_(std::move(receiver)) {}

Result<std::unique_ptr<AgentLink>> AgentLink::Open(asio::io_context& context,
                                                   std::string_view ip,
                                                   uint16_t port,
                                                   Receiver receiver) {
  std::unique_ptr<AgentLink> link(new AgentLink(context, std::move(receiver)));
  std::error_code error;
  const auto address = asio::ip::make_address_v4(std::string(ip), error);
  if (!error) link->socket_.open(asio::ip::udp::v4(), error);
  if (!error) link->socket_.bind({address, port}, error);
  if (!error) link->socket_.non_blocking(true, error);
  if (error) {
    return Error{ErrorCode::kIo, std::string(ip) + ":" + std::to_string(port),
                 error.message()};
  }
  link->port_ = link->socket_.local_endpoint().port();
  link->Receive();
  return link;
}

void AgentLink::Send(const asio::ip::udp::endpoint& to,
                     std::span<const uint8_t> bytes, Label label) {
  traffic_.Record(label.kind, label.relation, bytes.size());
  std::error_code ignored;  // datagrams may be lost in any case
  socket_.send_to(asio::buffer(bytes.data(), bytes.size()), to, 0, ignored);
}

void AgentLink::Receive() {
  socket_.async_receive_from(asio::buffer(buffer_), from_,
                             [this](std::error_code error, size_t count) {
                               if (error == asio::error::operation_aborted) {
                                 return;
                               }
                               if (!error) {
                                 RunGuarded("datagram", [&] {
                                   receiver_(from_,
                                             std::span(buffer_).first(count));
                                 });
                               }
                               Receive();
                             });
}

}  // namespace dogwoodlatch::daemon
