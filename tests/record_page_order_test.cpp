// The order in which record pages may be written, with the pages in many orders of waiting for one another.
#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "jobs/record_pages.hpp"
#include "small_stack.hpp"

namespace wingtrail::jobs {
namespace {

constexpr std::size_t kEntryBytes = 10;
constexpr Seconds kNow = 1;

TEST(RecordPageOrder, ALongChainOfWaitingPagesDoesNotOverflowTheStackOfANewLeader) {
  constexpr std::size_t kPages = 20'000;
  run_on_small_stack([] {
    RecordPages<std::size_t> pages;
    pages.add_stored(0, kEntryBytes, 0, kNow);
    for (std::size_t number = 1; number < kPages; ++number) {
      pages.add_stored(number - 1, kEntryBytes, number, kNow);
      pages.add_stored(number, kEntryBytes, number, kNow);
    }
    EXPECT_FALSE(pages.is_writable(kPages - 1)) << "each page has an entry of the one before";
    pages.add_stored(kPages - 1, kEntryBytes, 0, kNow);
    EXPECT_TRUE(pages.is_writable(0)) << "a cycle of pages could never be written";
    for (std::size_t number = 0; number < kPages; ++number) {
      ASSERT_TRUE(pages.is_writable(number));
      pages.on_written(number);
    }
  });
}

// Following each way from page to page would take 2^60 steps.
TEST(RecordPageOrder, PagesThatWaitForOneAnotherInManyWaysAreReadInTime) {
  constexpr std::size_t kPages = 60;
  RecordPages<std::pair<std::size_t, std::size_t>> pages;
  for (std::size_t number = 0; number < kPages; ++number) {
    for (std::size_t earlier = 0; earlier < number; ++earlier)
      pages.add_stored({earlier, number}, kEntryBytes, number, kNow);
    for (std::size_t later = number + 1; later < kPages; ++later)
      pages.add_stored({number, later}, kEntryBytes, number, kNow);
  }
  EXPECT_TRUE(pages.split(0, kEntryBytes, kNow));
  for (std::size_t number = 1; number < kPages; ++number)
    EXPECT_FALSE(pages.is_writable(number)) << "page " << number << " has entries of the pages before";
  EXPECT_FALSE(pages.is_writable(0)) << "page 0 was split";
}

}  // namespace
}  // namespace wingtrail::jobs
