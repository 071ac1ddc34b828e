/// @file
/// HTTP/1.1 requests and responses. Bodies are opaque bytes in this package.
#pragma once

#include <optional>
#include <string>

namespace wingtrail::net {

/// A request received or to be sent. `target` is the path with its query.
struct Request {
  std::string method, target, body;
};

/// The response to a received request.
struct Response {
  int status = 200;
  std::string body;
  std::string content_type = "application/cbor";
  /// The Retry-After header, in seconds.
  std::optional<int> retry_after_s;
};

/// The reason phrase of the status line; "Status" for a status that this server does not send.
const char* reason_phrase(int status);

}  // namespace wingtrail::net
