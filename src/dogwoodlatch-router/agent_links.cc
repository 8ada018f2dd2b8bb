#include "agent_links.h"

#include <utility>

#include "dogwoodlatch/util/log.h"

namespace dogwoodlatch::router {
namespace {

constexpr size_t kMaxMessageBytes = 16U << 20U;

}  // namespace

void Mailbox::Put(MailboxItem item) {
  const std::lock_guard lock(mutex_);
  items_.push_back(std::move(item));
  item_available_.notify_one();
}

std::optional<MailboxItem> Mailbox::Wait(TimePoint until) {
  std::unique_lock lock(mutex_);
  if (!item_available_.wait_until(lock, until,
                                  [this] { return !items_.empty(); })) {
    return std::nullopt;
  }
  MailboxItem item = std::move(items_.front());
  items_.pop_front();
  return item;
}

AgentLinks::AgentLinks(std::string router_id,
                       std::chrono::milliseconds connect_timeout)
    : router_id_(std::move(router_id)),
      node_({kMaxMessageBytes, connect_timeout},
            {[this](ConnectionId id) { OnOpened(id); },
             [this](ConnectionId id, const std::string& bytes) {
               OnReceived(id, bytes);
             },
             [this](ConnectionId id) { OnClosed(id); }}) {}

void AgentLinks::SendProbe(const std::string& address, Probe probe,
                           const std::shared_ptr<Mailbox>& mailbox) {
  const std::lock_guard lock(mutex_);
  probe.probe_id = next_probe_++;
  probes_[probe.probe_id] = mailbox;
  Send(address, Encode(probe), mailbox);
}

void AgentLinks::SendForRequest(const std::string& address,
                                const RequestId& request_id,
                                const Message& message,
                                const std::shared_ptr<Mailbox>& mailbox) {
  const std::lock_guard lock(mutex_);
  requests_[request_id] = mailbox;
  Send(address, Encode(message), mailbox);
}

void AgentLinks::Unsubscribe(const RequestId& request_id,
                             const std::shared_ptr<Mailbox>& mailbox) {
  const std::lock_guard lock(mutex_);
  requests_.erase(request_id);
  std::erase_if(probes_,
                [&](const auto& entry) { return entry.second == mailbox; });
  for (auto& [address, link] : links_) link.mailboxes.erase(mailbox);
}

void AgentLinks::Send(const std::string& address, const std::string& bytes,
                      const std::shared_ptr<Mailbox>& mailbox) {
  Link& link = links_[address];
  link.mailboxes.insert(mailbox);
  if (link.connection == 0) {
    link.connection = node_.Connect(address);
    addresses_[link.connection] = address;
    link.unsent.push_back(Encode(Hello{kProtocolVersion, router_id_}));
  }
  if (link.open) {
    node_.Send(link.connection, bytes);
  } else {
    link.unsent.push_back(bytes);
  }
}

void AgentLinks::OnOpened(ConnectionId connection) {
  const std::lock_guard lock(mutex_);
  const auto address = addresses_.find(connection);
  if (address == addresses_.end()) return;
  Link& link = links_[address->second];
  link.open = true;
  for (const std::string& bytes : link.unsent) node_.Send(connection, bytes);
  link.unsent.clear();
}

void AgentLinks::OnReceived(ConnectionId connection, const std::string& bytes) {
  Result<Message> message = Decode(bytes);
  if (!message) {
    LogEvent(EventId::kBadMessage, {{"detail", ToString(message.error())}});
    return;
  }
  const std::lock_guard lock(mutex_);
  const std::shared_ptr<Mailbox> mailbox = FindMailbox(message.value());
  if (mailbox) {
    mailbox->Put({addresses_[connection], std::move(message).value()});
  }
}

void AgentLinks::OnClosed(ConnectionId connection) {
  const std::lock_guard lock(mutex_);
  const auto address = addresses_.find(connection);
  if (address == addresses_.end()) return;
  LogEvent(EventId::kAgentUnreachable, {{"agent", address->second}});
  for (const auto& mailbox : links_[address->second].mailboxes) {
    mailbox->Put({address->second, LinkLost{}});
  }
  links_.erase(address->second);
  addresses_.erase(address);
}

std::shared_ptr<Mailbox> AgentLinks::FindMailbox(const Message& message) {
  if (const auto* reply = std::get_if<ProbeReply>(&message)) {
    const auto found = probes_.find(reply->probe_id);
    if (found == probes_.end()) return nullptr;
    std::shared_ptr<Mailbox> mailbox = std::move(found->second);
    probes_.erase(found);
    return mailbox;
  }
  const RequestId* id = std::visit(
      [](const auto& m) -> const RequestId* {
        if constexpr (requires { m.request_id; }) return &m.request_id;
        return nullptr;
      },
      message);
  if (id == nullptr) return nullptr;
  const auto found = requests_.find(*id);
  return found == requests_.end() ? nullptr : found->second;
}

}  // namespace dogwoodlatch::router
