/// Routers and agents that exchange updates and statuses in virtual time, with
/// the plans, periods and encodings of the daemons. Serves the tests of who
/// receives what when, and of the bytes sent.
#pragma once

#include <algorithm>
#include <bitset>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "dogwoodlatch/daemon/agent_link.h"
#include "dogwoodlatch/daemon/relay_link.h"
#include "dogwoodlatch/daemon/router_key.h"
#include "dogwoodlatch/serving/relay_plan.h"
#include "dogwoodlatch/serving/update_period.h"

namespace dogwoodlatch::daemon {

class ControlSimulation {
 public:
  using milliseconds = std::chrono::milliseconds;
  static constexpr size_t kMaxRouters = 512;

  struct Options {
    size_t routers = 0;
    size_t agents = 0;
    size_t domains = 1;
    double requests_per_second = 0;
  };
  struct Sent {
    uint64_t datagrams = 0;
    uint64_t bytes = 0;
    uint64_t other_domain_bytes = 0;
    uint64_t router_bytes = 0;  // sent by routers
    uint64_t router_datagrams = 0;
  };

  explicit ControlSimulation(const Options& options) : options_(options) {
    for (size_t i = 0; i < options.routers + options.agents; ++i) {
      const auto domain =
          static_cast<serving::DomainKey>(1 + i % options.domains);
      const bool is_router = i < options.routers;
      nodes_.emplace_back(domain, is_router,
                          is_router ? milliseconds(1200) : milliseconds(2500),
                          kStep * std::uniform_int_distribution(0, 9)(random_));
    }
    for (size_t at = 0; at < nodes_.size(); ++at) ListRouters(at);
  }

  /// The router ends. Others list it no more.
  void Kill(size_t router) { nodes_[router].is_alive = false; }

  /// Nothing passes between these two domains.
  void Cut(std::optional<std::pair<serving::DomainKey, serving::DomainKey>>
               domains) {
    cut_ = domains;
  }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) Step();
  }

  /// Starts to count anew; messages that are on their way do not count.
  void Restart() {
    messages_.clear();
    sent_ = {};
    missed_ = checked_ = 0;
  }

  const Sent& sent() const { return sent_; }
  size_t daemons() const { return nodes_.size(); }
  /// Pairs of a message and a live router that is not cut off, and those of
  /// them in which the message had not arrived within two periods.
  uint64_t checked() const { return checked_; }
  uint64_t missed() const { return missed_; }

 private:
  static constexpr milliseconds kStep{5};
  static constexpr milliseconds kTick{50};
  static constexpr milliseconds kSecond{1000};
  static constexpr size_t kParts = 200;

  struct Work {
    Duration prefill{0};
    TimePoint until{};
  };
  struct Delivery {
    size_t to = 0;
    std::vector<uint8_t> bytes;  // of the message, and its id
    size_t origin = 0;
    bool is_request = false;
    std::optional<TargetStatus> plain{};
  };
  struct Node {
    Node(serving::DomainKey domain, bool router, Duration silence,
         milliseconds offset)
        : plan(domain, silence), is_router(router), phase(offset) {}

    serving::RelayPlan plan;
    serving::RelayQueue queue;
    std::vector<Delivery> statuses{};  // plain, to be forwarded
    bool is_router;
    bool is_alive = true;
    milliseconds phase;
    serving::UpdateSchedule schedule;
    std::map<size_t, Work> work{};  // by target; of an agent: all work
    std::map<size_t, std::vector<uint64_t>> parts{};
    std::map<std::pair<size_t, uint64_t>, TimePoint> announced{};
    std::map<size_t, Duration> published{};
    serving::LoadReport report{};
    TimePoint published_at{};
    TimePoint listed_at{};
  };
  struct Message {
    uint32_t id = 0;
    size_t origin = 0;
    TimePoint deadline{};
    std::bitset<kMaxRouters> received;
    std::vector<std::pair<size_t, uint64_t>> parts{};  // by target
  };
  static constexpr size_t kIdBytes = 4;

  bool IsCut(size_t a, size_t b) const {
    if (!cut_) return false;
    const std::pair domains{nodes_[a].plan.own_domain(),
                            nodes_[b].plan.own_domain()};
    return domains == *cut_ ||
           std::pair{domains.second, domains.first} == *cut_;
  }

  void Count(size_t from, size_t to, size_t bytes) {
    ++sent_.datagrams;
    sent_.bytes += bytes;
    if (nodes_[from].is_router) {
      sent_.router_bytes += bytes;
      ++sent_.router_datagrams;
    }
    if (nodes_[from].plan.own_domain() != nodes_[to].plan.own_domain()) {
      sent_.other_domain_bytes += bytes;
    }
  }

  void Step() {
    for (const Delivery& delivery : std::exchange(deliveries_, {})) {
      Deliver(delivery);
    }
    AddRequests();
    for (size_t i = 0; i < nodes_.size(); ++i) {
      const bool is_tick =
          (now_ - TimePoint{} - nodes_[i].phase) % kTick == Duration{0};
      if (is_tick && nodes_[i].is_alive) Tick(i);
    }
    while (!messages_.empty() && messages_.front().deadline <= now_) {
      Check(messages_.front());
      messages_.pop_front();
    }
  }

  void Deliver(const Delivery& delivery) {
    Node& node = nodes_[delivery.to];
    if (!node.is_alive) return;
    uint32_t id = 0;
    for (size_t i = 0; i < kIdBytes; ++i) {
      id = id << 8 | delivery.bytes[delivery.bytes.size() - 1 - i];
    }
    const auto message = std::ranges::lower_bound(
        messages_, id, {}, [](const Message& entry) { return entry.id; });
    if (message != messages_.end() && message->id == id &&
        now_ <= message->deadline && delivery.to < options_.routers) {
      message->received.set(delivery.to);
      for (const auto& part : message->parts) node.announced[part] = now_;
    }
    node.plan.OnHeard(delivery.origin, now_);
    if (!delivery.is_request) return;
    if (delivery.plain) {
      node.statuses.push_back(delivery);
    } else {
      node.queue.Add(delivery.origin, delivery.bytes);
    }
  }

  void Check(const Message& message) {
    if (!nodes_[message.origin].is_alive) return;
    for (size_t i = 0; i < options_.routers; ++i) {
      if (i == message.origin || !nodes_[i].is_alive ||
          IsCut(message.origin, i)) {
        continue;
      }
      ++checked_;
      if (!message.received.test(i)) ++missed_;
    }
  }

  // Requests have two shared parts each. One in four prompts is long.
  void AddRequests() {
    const double expected = options_.requests_per_second *
                            std::chrono::duration<double>(kStep).count();
    int count = std::poisson_distribution(std::max(expected, 1e-9))(random_);
    if (options_.agents == 0) count = 0;
    for (; count > 0; --count) {
      const size_t router = random_() % options_.routers;
      const uint64_t part = random_() % kParts;
      const size_t target = (part * 7919) % options_.agents;
      const milliseconds prefill(random_() % 4 == 0 ? 90 : 18);
      for (const size_t at : {router, options_.routers + target}) {
        Work& work = nodes_[at].work[target];
        work.until = std::max(work.until, now_) + prefill;
      }
      for (const uint64_t key : {part, part % 8}) {
        nodes_[router].parts[target].push_back(~uint64_t{0} - key);
      }
    }
  }

  Duration Backlog(const Node& node, size_t target) const {
    const auto work = node.work.find(target);
    return work == node.work.end()
               ? Duration{0}
               : std::max(Duration{0}, work->second.until - now_);
  }

  void ListRouters(size_t at) {
    Node& node = nodes_[at];
    for (size_t i = 0; i < options_.routers; ++i) {
      if (!nodes_[i].is_alive || i == at) continue;
      node.plan.OnListed(i, nodes_[i].plan.own_domain(), now_);
      if (!node.is_router) node.plan.OnHeard(i, now_);
    }
  }

  void Tick(size_t index) {
    Node& node = nodes_[index];
    if ((now_ - TimePoint{} - node.phase) % kSecond == Duration{0}) {
      ListRouters(index);
      node.plan.DropOld(milliseconds(3000), now_);
      if (node.is_router) Subscribe(index);
    }
    if (!node.is_router) {
      PublishStatus(index);
      return;
    }
    PublishUpdate(index);
    Forward(index);
  }

  void Forward(size_t index) {
    Node& node = nodes_[index];
    std::vector<TargetStatus> statuses;
    std::vector<Delivery> forwarded = std::exchange(node.statuses, {});
    std::ranges::transform(
        forwarded, std::back_inserter(statuses),
        [](const Delivery& delivery) { return *delivery.plain; });
    size_t next = 0;
    for (const auto& batch : MakeBatches(node.queue.Take(), statuses)) {
      const size_t bytes = BatchBytes(batch);
      for (const uint64_t to : node.plan.OwnDomain()) {
        Count(index, to, bytes);
        for (const auto& message : batch.messages) {
          Send(index, {to, message.bytes, message.origin, false});
        }
        for (size_t i = next; i < next + batch.statuses.size(); ++i) {
          Send(index, {to, forwarded[i].bytes, forwarded[i].origin, false});
        }
      }
      next += batch.statuses.size();
    }
  }

  // Origins are sent as addresses of four bytes, as in 10.0.0.0/8.
  static size_t BatchBytes(ForwardedBatch batch) {
    for (auto& message : batch.messages) {
      message.origin = (0x0A000000ULL + message.origin) << kPortBits | 7340;
    }
    return Encode(batch).size() - kIdBytes * batch.messages.size();
  }

  void Subscribe(size_t index) {
    const size_t bytes = Encode(Subscription{.newest_fence = ~0ULL,
                                             .domain = ~0U,
                                             .heard_ago = milliseconds(999)})
                             .size();
    for (size_t to = options_.routers; to < nodes_.size(); ++to) {
      Count(index, to, bytes);
    }
  }

  void PublishUpdate(size_t index) {
    Node& node = nodes_[index];
    RouterUpdate update;
    auto change = serving::ChangeSize::kNone;
    std::map<size_t, RouterUpdate::TargetLoad> loads;
    const Duration repeat = serving::PartRepeatTime(options_.routers);
    for (const auto& [target, work] : node.work) {
      const Duration backlog =
          serving::BacklogToPublish(Backlog(node, target), options_.routers);
      const Duration last = node.published[target];
      if (backlog + last == Duration{0}) continue;
      loads[target].prefill_backlog = backlog;
      change = std::max(
          change, serving::CompareBacklogs(last, backlog, options_.routers));
    }
    for (const auto& [target, parts] : node.parts) {
      for (const uint64_t part : parts) {
        TimePoint& at = node.announced[{target, part}];
        const bool is_known = at != TimePoint{};
        if (is_known && now_ - at < repeat) continue;
        change =
            std::max(change, at == TimePoint{} ? serving::ChangeSize::kLarge
                                               : serving::ChangeSize::kSmall);
        auto& listed = loads[target].parts_used;
        if (std::ranges::find(listed, part) == listed.end()) {
          listed.push_back(part);
        }
      }
    }
    if (!node.schedule.IsDue(change, options_.routers, now_)) return;
    node.schedule.OnSent(now_);
    for (auto& [target, load] : loads) {
      load.target = ~0U - static_cast<uint32_t>(target);
      node.published[target] = load.prefill_backlog;
      for (const uint64_t part : load.parts_used) {
        node.announced[{target, part}] = now_;
      }
      update.targets.push_back(load);
    }
    node.parts.clear();
    update.sequence = 200;
    Publish(index, Encode(update),
            2 * serving::RouterUpdatePeriod(options_.routers));
    for (const auto& [target, load] : loads) {
      for (const uint64_t part : load.parts_used) {
        messages_.back().parts.emplace_back(target, part);
      }
    }
  }

  void PublishStatus(size_t index) {
    Node& node = nodes_[index];
    const Duration backlog = Backlog(node, index - options_.routers);
    serving::LoadReport report;
    report.prefilling = static_cast<int>(backlog / milliseconds(40));
    report.active = 8 + report.prefilling;
    report.memory_used = 90'000 + 6'000 * report.active;
    report.memory_total = 272'107;
    const Duration period = serving::AgentStatusPeriod(
        serving::CompareReports(node.report, report), options_.routers);
    if (now_ - node.published_at < period) return;
    const serving::RouterListing listing =
        serving::PlanRouterListing(options_.routers, options_.agents);
    const bool is_listing = now_ - node.listed_at >= listing.period;
    if (is_listing) node.listed_at = now_;
    node.published_at = now_;
    node.report = report;
    TargetStatus status;
    status.target = ~0U;
    status.active = report.active;
    status.prefilling = report.prefilling;
    status.memory_used = report.memory_used;
    status.memory_total = report.memory_total;
    if (is_listing) {
      status.weights = {{"model-name", 7}};
      status.routers.assign(listing.routers, {1ULL << 47, ~0U});
    }
    const std::vector<uint8_t> message = Encode(status);
    Publish(index, message,
            2 * serving::AgentStatusPeriod(serving::ChangeSize::kLarge,
                                           options_.routers),
            IsPlain(status, message) ? std::optional(status) : std::nullopt);
  }

  void Publish(size_t index, std::vector<uint8_t> bytes, Duration limit,
               const std::optional<TargetStatus>& plain = std::nullopt) {
    const serving::RelayPlan::Recipients recipients =
        nodes_[index].plan.Next(now_);
    const size_t direct = bytes.size();
    const size_t relayed = EncodeRelayRequest(bytes).size();
    messages_.push_back({++last_id_, index, now_ + limit, {}});
    for (size_t i = 0; i < kIdBytes; ++i) {
      bytes.push_back(static_cast<uint8_t>(last_id_ >> (8 * i)));
    }
    for (const uint64_t to : recipients.direct) {
      if (to == index) continue;
      Count(index, to, direct);
      Send(index, {to, bytes, index, false});
    }
    for (const uint64_t to : recipients.forwarders) {
      Count(index, to, relayed);
      Send(index, {to, bytes, index, true, plain});
    }
  }

  void Send(size_t from, Delivery delivery) {
    if (!IsCut(from, delivery.to)) deliveries_.push_back(std::move(delivery));
  }

  Options options_;
  std::minstd_rand random_{20261206};
  TimePoint now_{std::chrono::seconds(100)};
  std::vector<Node> nodes_;
  std::vector<Delivery> deliveries_;
  std::deque<Message> messages_;
  uint32_t last_id_ = 0;
  std::optional<std::pair<serving::DomainKey, serving::DomainKey>> cut_;
  Sent sent_;
  uint64_t checked_ = 0;
  uint64_t missed_ = 0;
};

}  // namespace dogwoodlatch::daemon
