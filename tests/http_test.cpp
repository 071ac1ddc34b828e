#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <pcg_random.hpp>

#include "jobs/state_writer.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "store/state_client.hpp"
#include "wire/job_messages.hpp"

namespace wingtrail {
namespace {

jobs::Job big_job(std::uint32_t tasks) {
  jobs::Job job;
  job.spec.ref = "req-1";
  job.spec.tasks = tasks;
  job.tasks.resize(tasks);
  return job;
}

TEST(CompletionCodec, PagesOfALargeJobFitTheValueLimitAndDecodeToTheSameTasks) {
  const jobs::CompletionCodec codec(8);
  jobs::Job job = big_job(wire::kMaxTasks);
  for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
    if (i * 2654435761U % 7 < 3)
      job.tasks[i].state = jobs::TaskState::done;
  }
  std::vector<bool> decoded(job.spec.tasks);
  for (std::uint32_t chunk = 0; chunk < codec.chunks(job); ++chunk) {
    const wire::Value page = codec.encode(job, chunk);
    EXPECT_LT(page.dump().size(), 8 * 1024U) << "completion page " << chunk << " exceeds the value limit";
    EXPECT_TRUE(codec.decode(page, job.spec.tasks, [&](std::uint32_t task) { decoded[task] = true; }))
        << "completion page " << chunk << " was refused";
  }
  for (std::uint32_t i = 0; i < job.spec.tasks; ++i)
    EXPECT_EQ(decoded[i], job.tasks[i].state == jobs::TaskState::done) << "task " << i;
}

TEST(CompletionCodec, InvalidPagesAreRefused) {
  const jobs::CompletionCodec codec(8);
  const auto expect_no_task = [](std::uint32_t task) {
    FAIL() << "task " << task << " was decoded from an invalid page";
  };
  EXPECT_FALSE(codec.decode({{"from", 0}, {"bits", "~"}}, 6, expect_no_task)) << "invalid character";
  EXPECT_FALSE(codec.decode({{"from", 90}, {"bits", "00"}}, 12, expect_no_task)) << "beyond the last task";
  EXPECT_FALSE(codec.decode({{"bits", "0"}}, 6, expect_no_task)) << "without a first task";
}

// The renewal of the leader lease is sent even when the request budget is used up.
TEST(TokenBucket, LeaseRenewalIsSentWhenTheBudgetIsUsedUp) {
  ports::Outbox outbox;
  settings::Settings settings;
  settings.state_requests_per_s = 10;
  settings.peers.resize(2);
  store::StateClient client(outbox, settings);
  int refused = 0;
  for (int i = 0; i < 40; ++i)
    client.get("k", store::RequestPriority::user, [&](const ports::Reply& r) { refused += r.status == 429; });
  EXPECT_GT(refused, 30);
  const auto sent = outbox.drain().size();
  EXPECT_LT(sent, 10U);
  client.renew_lease(1, [](const ports::Reply&) { FAIL() << "the renewal was refused without being sent"; });
  EXPECT_EQ(outbox.drain().size(), 1U) << "expected the lease renewal to be sent";
}

// Sends arbitrary bytes to a server on the loopback interface.
class HttpTest : public ::testing::Test {
 protected:
  std::size_t max_connections = 1000, spare = 2;

  // Starts a server that echoes requests, sends it the bytes on one connection and returns what it sent back.
  std::string exchange(const std::string& bytes) {
    net::EventLoop loop;
    net::TaskScope scope(loop);
    net::ServerLimits limits;
    limits.idle_s = 0.3;
    limits.request_s = 0.3;
    limits.max_connections = max_connections;
    limits.spare = spare;
    std::unique_ptr<net::HttpServer> server;
    std::uint16_t port = 23'000;
    for (; port < 23'200; ++port) {
      server = std::make_unique<net::HttpServer>(scope, "127.0.0.1", port, limits,
                                                 [](net::Request r) { return echo(std::move(r)); });
      if (!server->listen())
        break;
    }
    std::string received;
    run_client(loop, scope, port, bytes, received);
    loop.run();
    scope.cancel();
    loop.run();  // the cancelled coroutines run to their ends
    return received;
  }
  static net::Task<net::Response> echo(net::Request request) {
    net::Response response;
    response.body = request.method + " " + request.target + " " + std::to_string(request.body.size());
    response.retry_after_s = request.target == "/later" ? std::optional<int>(2) : std::nullopt;
    co_return response;
  }
  static net::DetachedTask run_client(net::EventLoop& loop, net::TaskScope& scope, std::uint16_t port,
                                      std::string bytes, std::string& received) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address), 0)
        << "cannot connect to port " << port;
    constexpr std::size_t kSendBytes = 20'000;
    for (std::size_t offset = 0; offset < bytes.size(); offset += kSendBytes) {
      send(fd, bytes.data() + offset, std::min(kSendBytes, bytes.size() - offset),
           MSG_NOSIGNAL | MSG_DONTWAIT);
      co_await net::Sleep(scope, loop.now() + 0.01);
    }
    co_await net::Sleep(scope, loop.now() + 0.15);
    char buffer[8192];
    const ssize_t n = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
    if (n > 0)
      received.assign(buffer, static_cast<std::size_t>(n));
    close(fd);
    loop.stop();
  }
};

TEST_F(HttpTest, AnswersAndKeepsTheConnection) {
  const auto response = exchange("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
  EXPECT_NE(response.find("200 OK"), std::string::npos) << "found: " << response;
  EXPECT_NE(response.find("POST /a 3"), std::string::npos) << "found: " << response;
  EXPECT_EQ(response.find("Connection: close"), std::string::npos) << "found: " << response;
}
TEST_F(HttpTest, ClosesTheConnectionOnRequest) {
  const auto response = exchange("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_NE(response.find("Connection: close"), std::string::npos) << "found: " << response;
}
TEST_F(HttpTest, SendsTheRetryAfterHeader) {
  const auto response = exchange("GET /later HTTP/1.1\r\n\r\n");
  EXPECT_NE(response.find("Retry-After: 2"), std::string::npos) << "found: " << response;
}
TEST_F(HttpTest, RefusesABodyOverTheLimit) {
  const auto response =
      exchange("POST /a HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + std::string(70'000, 'x'));
  EXPECT_NE(response.find("413"), std::string::npos) << "found: " << response;
}
TEST_F(HttpTest, RefusesBytesThatAreNotHttp) {
  const auto response = exchange("\x16\x03\x01 hello\r\n\r\n");
  EXPECT_NE(response.find("400"), std::string::npos) << "found: " << response;
}
// Whatever it receives, the server sends an HTTP response or closes the connection, and continues to serve
// others.
TEST_F(HttpTest, DamagedRequestsGetAnHttpResponseOrNone) {
  const std::string valid_request =
      "POST /jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n\xa1"
      "abcdefg";
  pcg32 rng(7);
  for (int round = 0; round < 30; ++round) {
    std::string bytes = valid_request;
    for (std::uint32_t edit = 0, edits = 1 + rng(4); edit < edits; ++edit) {
      const std::size_t position = rng(static_cast<std::uint32_t>(bytes.size()));
      switch (rng(3)) {
        case 0:
          bytes[position] = static_cast<char>(rng(256));
          break;
        case 1:
          bytes.erase(position, 1 + rng(5));
          break;
        default:
          bytes.insert(position, 1 + rng(3), static_cast<char>(rng(256)));
      }
    }
    const auto response = exchange(bytes);
    EXPECT_TRUE(response.empty() || response.starts_with("HTTP/1.1 "))
        << "round " << round << ": expected an HTTP response or none, found: " << response;
  }
  const auto response = exchange(valid_request);
  EXPECT_NE(response.find("200 OK"), std::string::npos) << "found: " << response;
}
// A connection beyond `max_connections` gets one response and is closed; one beyond `spare` more gets none.
TEST_F(HttpTest, AConnectionBeyondTheLimitGetsOneResponse) {
  max_connections = 0;
  const auto response = exchange("GET /a HTTP/1.1\r\n\r\n");
  EXPECT_NE(response.find("200 OK"), std::string::npos) << "found: " << response;
  EXPECT_NE(response.find("Connection: close"), std::string::npos) << "found: " << response;
  spare = 0;
  EXPECT_EQ(exchange("GET /a HTTP/1.1\r\n\r\n"), "") << "expected no response beyond the spare connections";
}
TEST_F(HttpTest, RefusesAHeaderOverTheLimit) {
  const auto response = exchange("GET / HTTP/1.1\r\nA: " + std::string(20'000, 'a'));
  EXPECT_NE(response.find("400"), std::string::npos) << "found: " << response;
}

}  // namespace
}  // namespace wingtrail
