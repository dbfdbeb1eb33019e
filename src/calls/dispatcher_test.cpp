#include "mangoplank/calls/dispatcher.h"

#include <gtest/gtest.h>

#include "calls/fakes.h"

namespace mangoplank::calls {
namespace {

using cell::ending;
using fakes::fake_cell;
using namespace std::chrono_literals;

// Guards against a path without any answer.
TEST(DispatcherTest, AnIdempotentCallIsAnsweredWithoutControl) {
  fake_cell cell(1);
  cell.AddWorker("w1", "kalisz", 8);
  const auto d = cell.MakeDispatcher("e1", "kalisz");
  cell.Grant(*d, 2);
  const call_end end = cell.Run(*d, cell.Call("check", "a", 300ms));
  EXPECT_EQ(end.e, ending::kDone);
  EXPECT_EQ(end.body, "answer:a");
  EXPECT_EQ(cell.control.asked, 0u);
}

// Guards against a booking that reaches a worker without a recorded intent, or
// a caller who hears of it before the outcome is recorded.
TEST(DispatcherTest, AOnceCallIsRecordedBeforeItIsSentAndAnswered) {
  fake_cell cell(1);
  cell.AddWorker("w1", "kalisz", 8);
  const auto d = cell.MakeDispatcher("e1", "kalisz");
  cell.Grant(*d, 2);
  const auto end = cell.Start(*d, cell.Call("book", "a", 1s, "k1"));
  cell.time.RunFor(1ms);
  EXPECT_EQ(cell.transport.exchanges, 0u);
  cell.time.RunFor(1s);
  ASSERT_TRUE(*end);
  EXPECT_EQ((*end)->e, ending::kDone);
  const cell::call_record* const record =
      cell.control.state.FindCall({{"kitchens"}, "meals", "k1"});
  ASSERT_TRUE(record && record->outcome);
  EXPECT_EQ(record->outcome->body, "answer:a");
  EXPECT_EQ(cell.Starts("a"), 1);
}

}  // namespace
}  // namespace mangoplank::calls
