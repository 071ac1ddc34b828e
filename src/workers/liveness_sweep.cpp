#include "workers/liveness_sweep.hpp"

namespace wingtrail::workers {

bool LivenessSweep::begin_or_extend(Seconds now) {
  ends_at_ = now + kDuration;
  if (now < began_at_ + kDuration)
    return false;
  began_at_ = now;
  remaining_.clear();
  return true;
}

MachineIndex LivenessSweep::pop_next() {
  const MachineIndex next = remaining_.front();
  remaining_.pop_front();
  return next;
}

void LivenessSweep::clear() {
  remaining_.clear();
  began_at_ = -kDuration;
  ends_at_ = 0;
}

}  // namespace wingtrail::workers
