// One machine fails every task for some seconds. The one task that it failed is not started again after that,
// although the machine is sound, has room, and runs another job.
#include "stage.hpp"

namespace stage {
struct Case {
  Stage s;

  net::DetachedTask play() {
    constexpr double kWaitLimit = 90;  // "no job is left waiting for 90 s while a machine that fits has room"
    s.open();
    s.cloud.room = 10;
    Worker& machine = s.cloud.add("kast-32", s.deployment.zones[0], false, 0.5);
    machine.failing = s.trouble;
    for (std::size_t i = 0; i < kNodes; ++i)
      s.start(i);
    Job& service = s.service(1, 2, 5);
    for (int k = 0; !service.accepted && s.now() < 15; ++k) {
      co_await s.sleep(1);
      co_await s.submit(k % kNodes, service);
    }
    if (!service.accepted)
      s.finish(2);
    while (s.started == 0 && s.now() < 15)
      co_await s.sleep(0.05);
    if (s.started == 0)
      s.finish(2);
    co_await s.sleep(1.5);
    machine.failing = false;
    const double sound_since = s.now();
    s.tell("the machine is sound from now on");
    co_await s.sleep(16);
    Job& array = s.job(1, 2, 4.6, 5);  // shows that the machine takes and completes work
    co_await s.submit(1, array);
    bool array_done = false;
    for (int k = 0; s.now() < sound_since + kWaitLimit + 2; ++k) {
      co_await s.sleep(1);
      if (const auto ended = s.ended())
        s.broken(*ended);
      if (s.on_machines(service) == 1 && array_done) {
        s.tell("the service runs");
        s.finish(0);
      }
      if (k % 5 != 0)
        continue;
      co_await s.query(k % kNodes, service);
      const Answer answer = co_await s.query((k + 1) % kNodes, array);
      array_done = array_done || answer.phase() == "done";
    }
    if (!array_done || machine.gone)
      s.finish(2);
    s.broken(service.ref + " has waited for more than " + std::to_string(static_cast<int>(kWaitLimit)) +
             " s beside a sound machine with room");
    s.finish(1);
  }
};
}  // namespace stage

int main() {
  stage::Case c;
  c.play();
  c.s.loop.run();
}
