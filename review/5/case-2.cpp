// Two jobs with a mistake fail on every machine until their users cancel them. After that no machine that runs a service
// takes new work again.
#include "stage.hpp"

namespace stage {
struct Case {
  Stage s;

  net::Task<bool> accept(Job& job) {
    const double until = s.now() + 10;
    for (int k = 0; !job.accepted && s.now() < until; ++k) {
      co_await s.submit(k % kNodes, job);
      if (!job.accepted)
        co_await s.sleep(1);
    }
    co_return job.accepted;
  }

  net::DetachedTask play() {
    constexpr double kWaitLimit = 90;  // "no job is left waiting for 90 s while a machine that fits has room"
    s.open();
    for (int i = 0; i < 2; ++i)
      s.cloud.add("kast-16", s.deployment.zones[i % 2], false, 0.5);
    for (std::size_t i = 0; i < kNodes; ++i)
      s.start(i);
    co_await s.sleep(2);
    Job& service = s.service(2, 2, 5);  // one replica on each of the two machines
    service.body["apart"] = true;
    if (!co_await accept(service))
      s.finish(2);
    while (s.on_machines(service) != 2 && s.now() < 10)
      co_await s.sleep(0.2);
    if (s.on_machines(service) != 2)
      s.finish(2);
    std::vector<Job*> pair;
    for (int i = 0; i < 2; ++i) {
      pair.push_back(&s.job(1, 2, 4.6, 5));
      pair.back()->mistaken = s.trouble;
    }
    for (Job* job : pair) {
      if (!co_await accept(*job))
        s.finish(2);
    }
    co_await s.sleep(17);  // a machine that failed a job gets no task for 15 s
    for (Job* job : pair) {
      for (int k = 0; k < 10; ++k) {
        const Answer answer = co_await s.abort(k % kNodes, *job);
        if (answer.status == 200)
          break;
        co_await s.sleep(1);
      }
    }
    s.tell("the jobs with a mistake are cancelled");
    Job& array = s.job(1, 2, 4.6, 5);
    if (!co_await accept(array))
      s.finish(2);
    while (s.now() < array.accepted_at + kWaitLimit + 1) {
      co_await s.sleep(2);
      if (const auto ended = s.ended())
        s.broken(*ended);
      const Answer answer = co_await s.query(0, array);
      if (answer.phase() == "done")
        s.finish(s.broken_count > 0 ? 1 : 0);
    }
    if (s.on_machines(service) != 2)
      s.finish(2);
    s.broken(array.ref + " has waited for more than 90 s beside two sound machines with 14 free CPUs each");
    s.finish(1);
  }
};
}  // namespace stage

int main() {
  stage::Case c;
  c.play();
  c.s.loop.run();
}
