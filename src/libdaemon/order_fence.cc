#include "dogwoodlatch/daemon/order_fence.h"

#include <algorithm>
#include <utility>

#include "dogwoodlatch/serving/store_era.h"
#include "dogwoodlatch/util/log.h"
#include "platform/coordinator_lease.h"
#include "platform/objects.h"

namespace dogwoodlatch::daemon {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{1000};
constexpr milliseconds kLeastRetryPause{100}, kMostRetryPause{400};

constexpr int kStatusOk = 200;
constexpr int kStatusCreated = 201;
constexpr int kStatusNotFound = 404;

}  // namespace

OrderFence::OrderFence(asio::io_context& context,
                       const std::string& store_address, std::string holder)
    : client_(context, store_address),
      holder_(std::move(holder)),
      random_(std::random_device{}()) {}

std::optional<uint64_t> OrderFence::Of(uint64_t term) const {
  return term == term_ && fence_ > 0 ? std::optional(fence_) : std::nullopt;
}

void OrderFence::Request(uint64_t term, uint64_t era, TimePoint now) {
  if (is_call_pending_ || now < next_call_) return;
  Write(term, era, false);
}

void OrderFence::Write(uint64_t term, uint64_t era, bool creates) {
  is_call_pending_ = true;
  dataplane::Call call;
  call.method = creates ? "POST" : "PUT";
  call.target =
      creates ? platform::LeaseCreationPath() : platform::OrderFencePath();
  call.headers = {{"Content-Type", "application/json"}};
  call.body = platform::EncodeOrderFence(holder_, random_());
  call.timeout = kCallTimeout;
  call.may_repeat = true;  // a second write only gives a higher fence
  client_.Start(std::move(call),
                [this, term, era,
                 creates](const Result<dataplane::CallResponse>& response) {
                  is_call_pending_ = false;
                  OnWritten(term, era, creates, response);
                });
}

void OrderFence::OnWritten(uint64_t term, uint64_t era, bool creates,
                           const Result<dataplane::CallResponse>& response) {
  const int status = response ? response.value().status : 0;
  if (status == kStatusNotFound && !creates) {
    Write(term, era, true);
    return;
  }
  const bool is_written = status == kStatusOk || status == kStatusCreated;
  const auto written = is_written
                           ? platform::DecodeLease(response.value().body)
                           : Error{ErrorCode::kUnavailable, "order fence",
                                   response ? std::to_string(status)
                                            : ToString(response.error())};
  const uint64_t answered =
      response
          ? platform::DecodeStoreEra(response.value().headers).value_or(era)
          : era;
  if (!written || answered < era) {
    std::uniform_int_distribution<int64_t> pause(kLeastRetryPause.count(),
                                                 kMostRetryPause.count());
    next_call_ = SteadyNow() + milliseconds(pause(random_));
    LogEvent(EventId::kOrderFenceTaken,
             {{"fence", "none"},
              {"fault", written ? "earlier era" : ToString(written.error())}});
    return;
  }
  term_ = term;
  fence_ =
      std::max(fence_, serving::MakeFence(answered, written.value().revision));
  LogEvent(EventId::kOrderFenceTaken,
           {{"fence", std::to_string(fence_)}, {"term", std::to_string(term)}});
}

}  // namespace dogwoodlatch::daemon
