/// @file
/// The messages of HTTP/1.1; bodies are opaque bytes here.
#pragma once

#include <optional>
#include <string>

namespace wingtrail::net {

/// A request, as received or to be sent.
struct Request {
  std::string method, target, body;
};

/// The answer to a request that came in.
struct Response {
  int status = 200;
  std::string body;
  std::string content_type = "application/cbor";
  /// The Retry-After header, in seconds.
  std::optional<int> retry_after_s;
};

/// The words that go with a status.
const char* reason_phrase(int status);

}  // namespace wingtrail::net
