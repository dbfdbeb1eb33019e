#include "workflow/delivery_delay.h"

#include <gtest/gtest.h>

namespace mangoplank::workflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against two clocks without a common start that look like a delay, and
// against a delay that the first message hides.
TEST(DeliveryDelayTest, ComparesWithTheFastestMessage) {
  delivery_delay delay;
  const core::time_point start{std::chrono::hours(1)};
  EXPECT_EQ(delay.Note(50, start).count(), 0);
  EXPECT_EQ(delay.Note(1'050, start + milliseconds(1'030)).count(), 30);
  EXPECT_EQ(delay.Note(2'050, start + milliseconds(1'990)).count(), 0);
  EXPECT_EQ(delay.Note(3'050, start + milliseconds(3'990)).count(), 1'000);
}

// Guards against a pause of any length after which the first message counts as
// the fastest.
TEST(DeliveryDelayTest, FindsMessagesThatWaitedDuringAPause) {
  for (const milliseconds pause : {seconds(2), seconds(9), seconds(60)}) {
    delivery_delay delay;
    core::time_point now{std::chrono::hours(1)};
    std::int64_t sender_ms = 0;
    for (int i = 0; i < 300; ++i) {
      now += milliseconds(100);
      sender_ms += 100;
      delay.Note(sender_ms, now);
    }
    // Sent just after the start of the pause, read after its end.
    EXPECT_EQ(delay.Note(sender_ms, now + pause), pause);
  }
}

// Guards against clocks of different rates, after which all messages count as
// delayed.
TEST(DeliveryDelayTest, ForgetsOldMessages) {
  delivery_delay delay;
  core::time_point now{std::chrono::hours(1)};
  double sender_ms = 0;
  milliseconds longest{0};
  for (int i = 0; i < 36'000; ++i) {
    now += milliseconds(100);
    // The sender's clock is slow by 200 parts in a million.
    sender_ms += 100 * (1 - 0.0002);
    longest = std::max(longest,
                       delay.Note(static_cast<std::int64_t>(sender_ms), now));
  }
  EXPECT_LE(longest, milliseconds(20));
}

}  // namespace
}  // namespace mangoplank::workflow
