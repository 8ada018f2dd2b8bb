#include "dogwoodlatch/dataplane/http_client.h"

#include <optional>
#include <utility>

namespace dogwoodlatch::dataplane {
namespace {

// The platform normally accepts a connection within milliseconds.
constexpr std::chrono::milliseconds kConnectTimeout{600};

// A call that crosses the close of its connection learns it within a round
// trip.
constexpr std::chrono::milliseconds kCloseNotice{250};

}  // namespace

// One call in progress. Its pending asynchronous handlers own it and so keep it
// alive.
class HttpClient::PendingCall final
    : public ResponseListener,
      public std::enable_shared_from_this<PendingCall> {
 public:
  PendingCall(asio::io_context& context, HttpClient& owner, Call call,
              Done done)
      : owner_(&owner),
        timer_(context),
        call_(std::move(call)),
        done_(std::move(done)) {}

  void Start(const std::string& address) {
    timer_.expires_after(call_.timeout);
    timer_.async_wait([self = shared_from_this()](std::error_code error) {
      if (!error) self->FailUnanswered("no answer in time");
    });
    call_.headers.insert(call_.headers.begin(), Header{"Host", address});
    if (owner_->connection_ && owner_->connection_->MayCarry(SteadyNow())) {
      is_on_used_connection_ = true;
      Send();
      return;
    }
    Connect();
  }

  void Abandon() {
    done_ = nullptr;
    timer_.cancel();
  }

  bool OnHead(const ResponseHead& head) override {
    response_.status = head.status;
    response_.headers = head.headers;
    return true;
  }
  void OnBody(std::string_view bytes) override {
    if (response_.body.size() + bytes.size() > call_.max_body_bytes) {
      Fail(ErrorCode::kTooLong, "the answer is too long");
      return;
    }
    response_.body.append(bytes);
  }
  void OnEnd() override { Finish(std::move(response_)); }
  void OnConnectionLost() override {
    if (HasCrossedClose()) {
      is_on_used_connection_ = false;
      Connect();
    } else {
      FailUnanswered("the connection broke");
    }
  }

 private:
  // A pending read would keep a connection open that is only released.
  void Connect() {
    if (owner_->connection_) owner_->connection_->Cancel();
    owner_->connection_.reset();
    const auto endpoint = ParseEndpoint(owner_->address_);
    if (!endpoint) {
      Fail(ErrorCode::kUnavailable, "not an address");
      return;
    }
    owner_->connection_ =
        std::make_shared<UpstreamConnection>(owner_->context_);
    owner_->connection_->Connect(
        *endpoint, kConnectTimeout,
        [self = shared_from_this()](std::error_code error) {
          if (!self->done_) return;
          if (error) {
            self->Fail(self->sent_at_ ? ErrorCode::kUnknownOutcome
                                      : ErrorCode::kUnavailable,
                       error.message());
          } else {
            self->Send();
          }
        });
  }

  // The peer may have closed the connection for being idle just before the call
  // reached it.
  bool HasCrossedClose() const {
    return call_.may_repeat && is_on_used_connection_ &&
           !owner_->connection_->has_received() &&
           SteadyNow() - *sent_at_ <= kCloseNotice;
  }

  void Send() {
    sent_at_ = SteadyNow();
    owner_->connection_->Send(
        BuildRequestHead(call_.method, call_.target, call_.headers,
                         call_.body.size()),
        std::make_shared<const std::string>(call_.body), this);
  }

  void FailUnanswered(std::string detail) {
    Fail(response_.body.empty() ? ErrorCode::kUnknownOutcome
                                : ErrorCode::kIncomplete,
         std::move(detail));
  }

  void Fail(ErrorCode code, std::string detail) {
    if (!done_) return;
    if (owner_->connection_) owner_->connection_->Cancel();
    owner_->connection_.reset();
    Finish(Error{code, owner_->address_, std::move(detail)});
  }

  void Finish(Result<CallResponse> result) {
    const std::shared_ptr<PendingCall> self = shared_from_this();
    timer_.cancel();
    if (owner_->current_.get() == this) owner_->current_.reset();
    if (Done done = std::exchange(done_, nullptr)) done(std::move(result));
  }

  HttpClient* owner_;
  asio::steady_timer timer_;
  Call call_;
  Done done_;
  CallResponse response_;
  std::optional<TimePoint> sent_at_;
  bool is_on_used_connection_ = false;
};

HttpClient::HttpClient(asio::io_context& context, std::string address)
    : context_(context), address_(std::move(address)) {}

HttpClient::~HttpClient() { Cancel(); }

void HttpClient::Start(Call call, Done done) {
  Cancel();
  current_ = std::make_shared<PendingCall>(context_, *this, std::move(call),
                                           std::move(done));
  const std::shared_ptr<PendingCall> started = current_;
  started->Start(address_);
}

void HttpClient::Cancel() {
  if (!current_) return;
  current_->Abandon();
  if (connection_) connection_->Cancel();
  connection_.reset();
  current_.reset();
}

}  // namespace dogwoodlatch::dataplane
