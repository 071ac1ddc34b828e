// Case 1: a submission with a name that is not UTF-8 ends the controller that reads it. See claim.txt.
#include "../standins/standins.hpp"

using namespace review;

int main(int argc, char** argv) {
  const std::string folder = argc > 1 ? argv[1] : ".";
  record().open(folder + "/record.txt");
  Cluster cluster;
  if (!cluster.start(5, 40)) {
    record().line("no controller became ready");
    cluster.controllers.stop_all();
    return 2;
  }
  if (!cluster.submit_until_accepted(job("req-000001", "platform-ops", "standing", 3), 0)) {
    record().line("the service of the bystander was not accepted");
    cluster.controllers.stop_all();
    return 2;
  }
  record().line("bystander: req-000001 accepted");
  sleep_s(3);

  // The bystander asks for its job every second, at one controller after the other.
  std::atomic<bool> over{false};
  std::atomic<int> asked{0}, unanswered{0};
  std::thread bystander([&] {
    for (std::size_t node = 0; !over; ++node) {
      const Reply reply = cluster.poll(node % Controllers::kCount, "req-000001");
      ++asked;
      if (reply.status != 200) {
        ++unanswered;
        record().line("bystander: berth-%zu gives no answer, status %d", node % Controllers::kCount, reply.status);
      }
      sleep_s(1);
    }
  });

  // The user sends one submission. Without an answer it repeats it after 1 s or more, for 60 s in all (PROTOCOL).
  Json spec = job("req-000002", "platform-ops", "sweep", 4);
  spec["jobclass"] = trouble() ? "z\xe4hlerstand" : "z\xc3\xa4hlerstand";  // Latin-1; UTF-8
  cluster.world.add_job(spec, 3);
  const double until = now() + 60;
  int status = 0;
  for (std::size_t node = 0; now() < until && status == 0; ++node) {
    const std::size_t at = node % Controllers::kCount;
    if (!cluster.controllers.alive(at))
      continue;  // refused; the load balancer tries a different one
    status = call(cluster.controllers.client(at), "POST", "/api/jobs", spec, 5).status;
    record().line("user: submission of req-000002 at berth-%zu, status %d", at, status);
    if (status == 0)
      sleep_s(1);
  }
  sleep_s(12);
  over = true;
  bystander.join();
  const int ends = cluster.controllers.own_ends();
  record().line("controllers that ended by themselves: %d; bystander: %d of %d questions without an answer", ends,
                unanswered.load(), asked.load());
  cluster.controllers.stop_all();
  const bool expected = trouble() ? status == 400 : status == 201;
  record().line(ends > 0 ? "BROKEN: a controller ended by itself" : "held: no controller ended by itself");
  if (ends == 0 && !expected)
    record().line("note: the submission got %d", status);
  std::fflush(nullptr);
  _exit(ends > 0 ? 1 : 0);
}
