// The router's connections to agents, opened on demand, and the mailboxes that
// receive the agents' messages.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "dogwoodlatch/ids.h"
#include "dogwoodlatch/messages.h"
#include "dogwoodlatch/time.h"
#include "dogwoodlatch/transport.h"
#include "owner_cache.h"

namespace dogwoodlatch::router {

// Reports that the connection to an agent was lost or could not be opened.
struct LinkLost {};

struct MailboxItem {
  std::string agent_address;
  std::variant<Message, LinkLost> content;
};

// Queue of the messages received for one request. Thread-safe.
class Mailbox {
 public:
  void Put(MailboxItem item);

  // Blocks until there is an item and removes it; returns none once `until` has
  // passed.
  std::optional<MailboxItem> Wait(TimePoint until);

 private:
  std::mutex mutex_;
  std::condition_variable item_available_;
  std::deque<MailboxItem> items_;
};

// Sends messages to agents and dispatches their replies to mailboxes.
// Thread-safe.
class AgentLinks {
 public:
  AgentLinks(std::string router_id, std::chrono::milliseconds connect_timeout);

  // Sends a probe. Its reply, or LinkLost, is put into `mailbox`.
  void SendProbe(const std::string& address, Probe probe,
                 const std::shared_ptr<Mailbox>& mailbox);

  // Sends a message for a request. All messages received for that request, or
  // LinkLost, are put into `mailbox`.
  void SendForRequest(const std::string& address, const RequestId& request_id,
                      const Message& message,
                      const std::shared_ptr<Mailbox>& mailbox);

  // Removes the request and its probes: `mailbox` receives nothing more.
  void Unsubscribe(const RequestId& request_id,
                   const std::shared_ptr<Mailbox>& mailbox);

  OwnerCache& owners() { return owners_; }

  void Stop() { node_.Stop(); }

 private:
  struct Link {
    ConnectionId connection = 0;
    bool open = false;
    std::vector<std::string> unsent;
    std::set<std::shared_ptr<Mailbox>> mailboxes;
  };

  void Send(const std::string& address, const std::string& bytes,
            const std::shared_ptr<Mailbox>& mailbox);
  void OnOpened(ConnectionId connection);
  void OnReceived(ConnectionId connection, const std::string& bytes);
  void OnClosed(ConnectionId connection);
  std::shared_ptr<Mailbox> FindMailbox(const Message& message);

  std::string router_id_;
  std::mutex mutex_;
  std::map<std::string, Link> links_;
  std::unordered_map<ConnectionId, std::string> addresses_;
  std::unordered_map<RequestId, std::shared_ptr<Mailbox>> requests_;
  std::unordered_map<uint64_t, std::shared_ptr<Mailbox>> probes_;
  uint64_t next_probe_ = 1;
  OwnerCache owners_;
  TransportNode node_;
};

}  // namespace dogwoodlatch::router
