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
  jobs::Job j;
  j.spec.ref = "req-1";
  j.spec.tasks = tasks;
  j.tasks.resize(tasks);
  return j;
}

TEST(CompletionCodec, ABigJobsRecordsStayBelowTheValueLimitAndReadBackTheSame) {
  const jobs::CompletionCodec codec(8);
  jobs::Job job = big_job(wire::kMaxTasks);
  for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
    if (i * 2654435761U % 7 < 3)
      job.tasks[i].state = jobs::TaskState::done;
  }
  std::vector<bool> back(job.spec.tasks);
  for (std::uint32_t c = 0; c < codec.chunks(job); ++c) {
    const wire::Value v = codec.encode(job, c);
    EXPECT_LT(v.dump().size(), 8 * 1024U);
    EXPECT_TRUE(codec.decode(v, job.spec.tasks, [&](std::uint32_t t) { back[t] = true; }));
  }
  for (std::uint32_t i = 0; i < job.spec.tasks; ++i)
    EXPECT_EQ(back[i], job.tasks[i].state == jobs::TaskState::done);
}

TEST(CompletionCodec, RecordsThatMakeNoSenseAreRefused) {
  const jobs::CompletionCodec codec(8);
  const auto none = [](std::uint32_t) {
    FAIL();
  };
  EXPECT_FALSE(codec.decode({{"from", 0}, {"bits", "~"}}, 6, none));
  EXPECT_FALSE(codec.decode({{"from", 90}, {"bits", "00"}}, 12, none));
  EXPECT_FALSE(codec.decode({{"bits", "0"}}, 6, none));
}

TEST(TokenBucket, ALeasePassesWhenEverybodyElseWaits) {
  ports::Outbox out;
  settings::Settings s;
  s.state_requests_per_s = 10;
  s.peers.resize(2);
  store::StateClient client(out, s);
  int refused = 0;
  for (int i = 0; i < 40; ++i)
    client.get("k", store::RequestPriority::user, [&](const ports::Reply& r) { refused += r.status == 429; });
  EXPECT_GT(refused, 30);
  const auto before = out.drain().size();
  EXPECT_LT(before, 10U);
  client.renew_lease(1, [](const ports::Reply&) { FAIL() << "answered from here"; });
  EXPECT_EQ(out.drain().size(), 1U);
}

// A server and raw sockets on loopback: what a stranger may send.
class HttpTest : public ::testing::Test {
 protected:
  std::size_t bound = 1000, spare = 2;
  std::string talk(const std::string& bytes) {
    net::EventLoop loop;
    net::TaskScope scope(loop);
    net::ServerLimits limits;
    limits.idle_s = 0.3;
    limits.request_s = 0.3;
    limits.max_connections = bound;
    limits.spare = spare;
    std::unique_ptr<net::HttpServer> server;
    std::uint16_t port = 23'000;
    for (; port < 23'200; ++port) {
      server = std::make_unique<net::HttpServer>(scope, "127.0.0.1", port, limits,
                                                 [](net::Request r) { return echo(std::move(r)); });
      if (!server->listen())
        break;
    }
    std::string got;
    run(loop, scope, port, bytes, got);
    loop.run();
    scope.cancel();
    loop.run();  // lets the cancelled routines run to their ends
    return got;
  }
  static net::Task<net::Response> echo(net::Request r) {
    net::Response out;
    out.body = r.method + " " + r.target + " " + std::to_string(r.body.size());
    out.retry_after_s = r.target == "/later" ? std::optional<int>(2) : std::nullopt;
    co_return out;
  }
  static net::DetachedTask run(net::EventLoop& loop, net::TaskScope& scope, std::uint16_t port,
                               std::string bytes, std::string& got) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in sa{};
    sa.sin_family = AF_INET;
    sa.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &sa.sin_addr);
    EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&sa), sizeof sa), 0);
    for (std::size_t at = 0; at < bytes.size(); at += 20'000) {
      send(fd, bytes.data() + at, std::min<std::size_t>(20'000, bytes.size() - at),
           MSG_NOSIGNAL | MSG_DONTWAIT);
      co_await net::Sleep(scope, loop.now() + 0.01);
    }
    co_await net::Sleep(scope, loop.now() + 0.15);
    char buffer[8192];
    const ssize_t n = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
    if (n > 0)
      got.assign(buffer, static_cast<std::size_t>(n));
    close(fd);
    loop.stop();
  }
};

TEST_F(HttpTest, AnswersAndKeepsTheConnection) {
  const auto got = talk("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
  EXPECT_NE(got.find("200 OK"), std::string::npos);
  EXPECT_NE(got.find("POST /a 3"), std::string::npos);
  EXPECT_EQ(got.find("Connection: close"), std::string::npos);
}
TEST_F(HttpTest, ClosesWhenAskedTo) {
  EXPECT_NE(talk("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n").find("Connection: close"),
            std::string::npos);
}
TEST_F(HttpTest, SaysWhenToComeBack) {
  EXPECT_NE(talk("GET /later HTTP/1.1\r\n\r\n").find("Retry-After: 2"), std::string::npos);
}
TEST_F(HttpTest, RefusesABodyOverTheLimit) {
  const auto got = talk("POST /a HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + std::string(70'000, 'x'));
  EXPECT_NE(got.find("413"), std::string::npos);
}
TEST_F(HttpTest, RefusesWhatIsNotHttp) {
  EXPECT_NE(talk("\x16\x03\x01 hello\r\n\r\n").find("400"), std::string::npos);
}
// Whatever comes in, the server answers in HTTP or closes, and goes on serving others.
TEST_F(HttpTest, DamagedRequestsGetAnAnswerOrNone) {
  const std::string whole =
      "POST /jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n\xa1"
      "abcdefg";
  pcg32 rng(7);
  for (int round = 0; round < 30; ++round) {
    std::string bytes = whole;
    for (std::uint32_t k = 0, n = 1 + rng(4); k < n; ++k) {
      const std::size_t at = rng(static_cast<std::uint32_t>(bytes.size()));
      switch (rng(3)) {
        case 0:
          bytes[at] = static_cast<char>(rng(256));
          break;
        case 1:
          bytes.erase(at, 1 + rng(5));
          break;
        default:
          bytes.insert(at, 1 + rng(3), static_cast<char>(rng(256)));
      }
    }
    const auto got = talk(bytes);
    EXPECT_TRUE(got.empty() || got.starts_with("HTTP/1.1 ")) << "round " << round;
  }
  EXPECT_NE(talk(whole).find("200 OK"), std::string::npos);
}
// Beyond its bound the server still answers, but keeps no connection more than it may.
TEST_F(HttpTest, BeyondTheBoundAConnectionGetsOneAnswer) {
  bound = 0;
  const auto got = talk("GET /a HTTP/1.1\r\n\r\n");
  EXPECT_NE(got.find("200 OK"), std::string::npos);
  EXPECT_NE(got.find("Connection: close"), std::string::npos);
  spare = 0;
  EXPECT_EQ(talk("GET /a HTTP/1.1\r\n\r\n"), "");
}
TEST_F(HttpTest, RefusesEndlessHeaders) {
  EXPECT_NE(talk("GET / HTTP/1.1\r\nA: " + std::string(20'000, 'a')).find("400"), std::string::npos);
}

}  // namespace
}  // namespace wingtrail
