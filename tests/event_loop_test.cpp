#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <string>
#include <vector>

#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace wingtrail::net {
namespace {

constexpr std::size_t kWorkers = 300;
constexpr const char* kLoopback = "127.0.0.1";

// A blocking client connection that sends requests without reading the responses.
class ClientConnection {
 public:
  ClientConnection(std::uint16_t port, std::string target)
      : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), target_(std::move(target)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, kLoopback, &address.sin_addr);
    EXPECT_EQ(connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  }
  ~ClientConnection() {
    close(fd_);
  }
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;
  void send_request() const {
    const std::string bytes = "GET " + target_ + " HTTP/1.1\r\n\r\n";
    EXPECT_EQ(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
  }

 private:
  int fd_;
  std::string target_;
};

// A process with one server for workers and users and one for other controllers. All of them send a request
// on open connections at the same time, the workers first.
class LoadedServers {
 public:
  LoadedServers()
      : scope_(loop_),
        client_server_(listening(22'000,
                                 [](const Request& request) {
                                   return request.target == "/worker" ? Priority::bulk
                                                                      : Priority::interactive;
                                 })),
        peer_server_(listening(port_ + 1, {})) {}

  // Returns the targets of the handled requests, in the order in which they were handled. With `calls_out`
  // the process also makes a call to its second server at that time; "reply" stands for its reply.
  std::vector<std::string> run(bool calls_out = false) {
    calls_out_ = calls_out;
    send_requests();
    loop_.run();
    scope_.cancel();
    loop_.run();
    return handled_;
  }

 private:
  std::unique_ptr<HttpServer> listening(std::uint16_t first_port, const HttpServer::Classifier& classify) {
    constexpr std::uint16_t kPortsTried = 200;
    for (port_ = first_port; port_ < first_port + kPortsTried; ++port_) {
      auto server = std::make_unique<HttpServer>(
          scope_, kLoopback, port_, ServerLimits{}, [this](Request r) { return handle(std::move(r)); },
          classify);
      if (!server->listen()) {
        ports_.push_back(port_);
        return server;
      }
    }
    ADD_FAILURE() << "no free port from " << first_port;
    return nullptr;
  }
  Task<Response> handle(Request request) {
    handled_.push_back(request.target);
    co_return Response{};
  }
  DetachedTask call_out() {
    Request request{"GET", "/called", ""};
    const CallResult result =
        co_await client_.call(kLoopback, ports_[1], std::move(request), "", loop_.now() + 1, INFINITY);
    EXPECT_EQ(result.status, 200);
    handled_.emplace_back("reply");
  }
  DetachedTask send_requests() {
    constexpr Seconds kHandledWithinS = 0.5;
    std::vector<std::unique_ptr<ClientConnection>> connections;
    for (std::size_t i = 0; i < kWorkers; ++i)
      connections.push_back(std::make_unique<ClientConnection>(ports_[0], "/worker"));
    connections.push_back(std::make_unique<ClientConnection>(ports_[0], "/user"));
    connections.push_back(std::make_unique<ClientConnection>(ports_[1], "/peer"));
    // The first request of each connection shows what the connection is for.
    for (int round = 0; round < 2; ++round) {
      handled_.clear();
      for (const auto& connection : connections)
        connection->send_request();
      if (calls_out_ && round == 1)
        call_out();
      co_await Sleep(scope_, loop_.refresh() + kHandledWithinS);
    }
    loop_.stop();
  }

  EventLoop loop_;
  TaskScope scope_;
  std::uint16_t port_ = 0;
  std::vector<std::uint16_t> ports_;
  std::unique_ptr<HttpServer> client_server_, peer_server_;
  HttpClient client_{scope_, 8, 1024};
  bool calls_out_ = false;
  std::vector<std::string> handled_;
};

TEST(EventLoop, RequestsOfPeersAndUsersDoNotWaitBehindTheHeartbeatsOfAllWorkers) {
  LoadedServers servers;
  const std::vector<std::string> handled = servers.run();
  ASSERT_EQ(handled.size(), kWorkers + 2) << "some requests were not handled";
  const auto position = [&handled](const char* target) {
    return std::find(handled.begin(), handled.end(), target) - handled.begin();
  };
  constexpr std::ptrdiff_t kTurn = 32;  // heartbeats that may be handled first
  EXPECT_LE(position("/peer"), kTurn) << "a peer's request waited behind that many others";
  EXPECT_LE(position("/user"), kTurn + 1) << "a user's request waited behind that many others";
}

TEST(EventLoop, RepliesToCallsDoNotWaitBehindTheHeartbeatsOfAllWorkers) {
  LoadedServers servers;
  const std::vector<std::string> handled = servers.run(true);
  const auto reply = std::find(handled.begin(), handled.end(), "reply") - handled.begin();
  constexpr std::ptrdiff_t kTurns = 5;  // connect, accept, request, reply, and one to spare
  constexpr std::ptrdiff_t kTurn = 32;
  EXPECT_LE(reply, kTurns * kTurn) << "the reply to a call waited behind that many heartbeats";
}

TEST(EventLoop, WorkersAreServedWhileUsersSendMoreThanCanBeAnswered) {
  EventLoop loop;
  TaskScope scope(loop);
  constexpr int kEndless = 100'000;
  int user_turns = 0, worker_turns = 0;
  const auto repeat = [&](Priority priority, int& turns) -> DetachedTask {
    while (user_turns < kEndless && !scope.cancelled()) {
      ++turns;
      co_await Yield(scope, priority);
    }
    loop.stop();
  };
  for (int i = 0; i < 100; ++i) {
    repeat(Priority::interactive, user_turns);
    repeat(Priority::bulk, worker_turns);
  }
  loop.run();
  scope.cancel();
  loop.run();
  EXPECT_GE(3 * worker_turns, user_turns) << "heartbeats were put off behind users' requests";
}

}  // namespace
}  // namespace wingtrail::net
