#include "controller/responder.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "wire/value.hpp"

namespace wingtrail::controller {

Responder::Responder(ports::Outbox& out, std::function<peer::Frame()> make_frame)
    : out_(out), make_frame_(std::move(make_frame)) {}

void Responder::respond(const RequestOrigin& origin, int status, wire::Value body,
                        std::optional<int> retry_after_s) {
  ports::Answer answer;
  answer.request = origin.id;
  answer.status = status;
  answer.retry_after_s = retry_after_s;
  if (origin.by_peer) {
    peer::Frame frame = make_frame_();
    frame.status = status;
    frame.retry_after_s = retry_after_s.value_or(0);
    if (!body.is_null())
      frame.body = wire::encode_cbor(body);
    answer.status = 200;
    answer.retry_after_s = {};
    answer.frame = std::move(frame);
  } else {
    answer.body = std::move(body);
  }
  out_.answer(std::move(answer));
}

void Responder::try_later(const RequestOrigin& origin, int status, Seconds delay) {
  // Retry-After is given in whole seconds, and senders wait 30 s at most.
  respond(origin, status, nullptr, static_cast<int>(std::clamp(std::ceil(delay), 1.0, 30.0)));
}

}  // namespace wingtrail::controller
