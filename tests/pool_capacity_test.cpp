#include "autoscaling/pool_capacity.hpp"

#include <gtest/gtest.h>

namespace wingtrail::autoscaling {
namespace {

// A zone that the catalog named for the first time was read beyond the end of the table.
TEST(PoolCapacityTest, AZoneThatCameUpSinceTheLastUpdateHasNoFreeCores) {
  PoolCapacity capacity;
  capacity.begin_update(1);
  capacity.add_free_ordinary(jobs::ZoneIndex(0), 4);
  EXPECT_EQ(capacity.free_ordinary_cores(jobs::ZoneIndex(0)), 4);
  EXPECT_EQ(capacity.free_ordinary_cores(jobs::ZoneIndex(1)), 0);
  EXPECT_EQ(capacity.free_ordinary_cores(jobs::ZoneIndex(100'000)), 0);
}

}  // namespace
}  // namespace wingtrail::autoscaling
