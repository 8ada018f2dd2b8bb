/// An HTTP server for tests of the callers of the platform's store.
#pragma once

#include <algorithm>
#include <asio.hpp>
#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dogwoodlatch::testing {

/// Gives scripted responses, then none, on one connection after the other, and
/// records the request lines.
class ScriptedStore {
 public:
  ScriptedStore(asio::io_context& context, std::deque<std::string> responses)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        socket_(context),
        responses_(std::move(responses)) {
    Accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  const std::vector<std::string>& requests() const { return requests_; }

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](std::error_code error, asio::ip::tcp::socket socket) {
          if (error) return;
          socket_ = std::move(socket);
          input_.clear();
          ReadRequest();
          Accept();
        });
  }

  // A long answer may be left unread.
  void Answer() {
    response_ = std::move(responses_.front());
    responses_.pop_front();
    asio::async_write(socket_, asio::buffer(response_),
                      [this](std::error_code error, size_t /*count*/) {
                        if (!error) ReadRequest();
                      });
  }

  void ReadRequest() {
    asio::async_read_until(
        socket_, asio::dynamic_buffer(input_), "\r\n\r\n",
        [this](std::error_code error, size_t count) {
          if (error) return;
          requests_.push_back(input_.substr(0, input_.find("\r\n")));
          const std::string head = input_.substr(0, count);
          input_.erase(0, count);
          SkipBody(head);
        });
  }

  void SkipBody(const std::string& head) {
    constexpr std::string_view kLength = "Content-Length: ";
    const size_t at = head.find(kLength);
    const size_t length = at == std::string::npos
                              ? 0
                              : std::stoul(head.substr(at + kLength.size()));
    const size_t missing = length - std::min(length, input_.size());
    asio::async_read(socket_, asio::dynamic_buffer(input_),
                     asio::transfer_exactly(missing),
                     [this, length](std::error_code error, size_t /*count*/) {
                       if (error) return;
                       input_.erase(0, length);
                       if (!responses_.empty()) Answer();
                     });
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  std::deque<std::string> responses_;
  std::string response_;  // that is being written
  std::vector<std::string> requests_;
  std::string input_;
};

}  // namespace dogwoodlatch::testing
