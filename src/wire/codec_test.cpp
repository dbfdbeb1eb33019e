#include "mangoplank/wire/codec.h"

#include <gtest/gtest.h>

#include <boost/pfr.hpp>
#include <random>

namespace mangoplank::wire {
namespace {

using random_source = std::mt19937_64;

constexpr std::uint64_t kSeed = 20261204;

template <class E>
constexpr int kLastEnumerator = 0;
template <>
constexpr int kLastEnumerator<cell::object_kind> = 5;
template <>
constexpr int kLastEnumerator<cell::urgency> = 2;
template <>
constexpr int kLastEnumerator<cell::spread> = 2;
template <>
constexpr int kLastEnumerator<cell::role> = 2;
template <>
constexpr int kLastEnumerator<cell::task_phase> = 7;
template <>
constexpr int kLastEnumerator<cell::ending> = 3;
template <>
constexpr int kLastEnumerator<consensus::entry_kind> = 2;
template <>
constexpr int kLastEnumerator<control::topic> = 1;
template <>
constexpr int kLastEnumerator<workflow::job_phase> = 4;
template <>
constexpr int kLastEnumerator<workflow::job_failure> = 2;
template <>
constexpr int kLastEnumerator<workflow::run_end> =
    static_cast<int>(workflow::kLastRunEnd);
template <>
constexpr int kLastEnumerator<workflow::refusal> = 6;
template <>
constexpr int kLastEnumerator<core::connection_failed::kind> = 4;
template <>
constexpr int kLastEnumerator<core::storage_failed::kind> = 7;

/// Fills every field of a value with random content, by reflection, so that the
/// tests also cover a field that the codec omits.
class filler {
 public:
  explicit filler(std::uint64_t seed) : random_(seed) {}

  std::size_t Pick(std::size_t count) { return random_() % count; }

  void Fill(bool& value) { value = Pick(2) == 1; }
  void Fill(double& value) { value = static_cast<double>(random_()) / 7; }
  void Fill(core::milliseconds& value) {
    value = core::milliseconds(static_cast<std::int64_t>(random_()));
  }
  void Fill(std::string& value) {
    value.resize(Pick(12));
    for (char& c : value) c = static_cast<char>(random_());
  }
  template <class T>
  requires std::is_integral_v<T>
  void Fill(T& value) { value = static_cast<T>(random_()); }
  template <class E>
  requires std::is_enum_v<E>
  void Fill(E& value) {
    static_assert(kLastEnumerator<E> > 0);
    value = static_cast<E>(Pick(kLastEnumerator<E> + 1));
  }
  template <class T>
  void Fill(std::optional<T>& value) {
    value.reset();
    if (Pick(4) != 0) Fill(value.emplace());
  }
  template <class T>
  void Fill(std::vector<T>& value) {
    value.resize(Pick(4));
    for (T& item : value) Fill(item);
  }
  void Fill(std::map<std::string, std::string>& value) {
    value.clear();
    for (std::size_t n = Pick(4); n > 0; --n) {
      std::string key;
      Fill(key);
      Fill(value[key]);
    }
  }
  template <class T>
  void Fill(core::outcome<T>& value) {
    if (Pick(2) == 0) {
      T content;
      Fill(content);
      value = std::move(content);
    } else {
      core::failure failure;
      Fill(failure);
      value = std::move(failure);
    }
  }
  template <class... Ts>
  void Fill(std::variant<Ts...>& value) {
    FillAlternative(value, Pick(sizeof...(Ts)));
  }
  template <class... Ts>
  void FillAlternative(std::variant<Ts...>& value, std::size_t index) {
    std::size_t i = 0;
    ((i++ == index ? Fill(value.template emplace<Ts>()) : void()), ...);
  }
  template <class T>
  requires std::is_aggregate_v<T>
  void Fill(T& value) {
    if constexpr (boost::pfr::tuple_size_v < T >> 0) {
      boost::pfr::for_each_field(value, [this](auto& field) { Fill(field); });
    }
  }

 private:
  random_source random_;
};

/// Overloads that select the decoder by type.
core::result<cell::command> Decode(std::string_view bytes,
                                   const cell::command&) {
  return DecodeCommand(bytes);
}
core::result<cell::state_image> Decode(std::string_view bytes,
                                       const cell::state_image&) {
  return DecodeStateImage(bytes);
}
core::result<consensus::membership> Decode(std::string_view bytes,
                                           const consensus::membership&) {
  return DecodeMembership(bytes);
}
core::result<consensus::message> Decode(std::string_view bytes,
                                        const consensus::message&) {
  return DecodeConsensusMessage(bytes);
}
core::result<control::message> Decode(std::string_view bytes,
                                      const control::message&) {
  return DecodeControlMessage(bytes);
}

core::result<workflow::message> Decode(std::string_view bytes,
                                       const workflow::message&) {
  return DecodeWorkflowMessage(bytes);
}
core::result<std::vector<workflow::event>> Decode(
    std::string_view bytes, const std::vector<workflow::event>&) {
  return DecodeWorkflowEvents(bytes);
}
core::result<peer_hello> Decode(std::string_view bytes, const peer_hello&) {
  return DecodePeerHello(bytes);
}

template <class T>
core::outcome<T> TryDecode(std::string_view bytes, const T& type_tag) {
  return core::Capture([&] { return Decode(bytes, type_tag); });
}

template <class T>
void ExpectRoundTrip(const T& value, std::size_t index) {
  const auto decoded = TryDecode(Encode(value), value);
  ASSERT_TRUE(decoded) << core::Describe(decoded.error()) << " alternative "
                       << index;
  EXPECT_TRUE(*decoded == value) << "alternative " << index;
}

template <class... Ts>
constexpr std::size_t CountAlternatives(const std::variant<Ts...>*) {
  return sizeof...(Ts);
}

/// Calls `visit` with each alternative of a variant, filled `times` times.
template <class V, class F>
void ForAlternatives(filler& fill, int times, F visit) {
  for (std::size_t i = 0; i < CountAlternatives(static_cast<const V*>(nullptr));
       ++i) {
    for (int n = 0; n < times; ++n) {
      V value;
      fill.FillAlternative(value, i);
      visit(value, i);
    }
  }
}

// Guards against a field, an alternative or an empty optional that the codec
// drops or confuses with another.
TEST(CodecTest, CommandsRoundTrip) {
  filler fill(kSeed);
  ForAlternatives<cell::command_body>(
      fill, 50, [&](const cell::command_body& body, std::size_t i) {
        cell::command c;
        fill.Fill(c);
        c.body = body;
        ExpectRoundTrip(c, i);
      });
}

TEST(CodecTest, ConsensusMessagesRoundTrip) {
  filler fill(kSeed);
  ForAlternatives<consensus::message>(
      fill, 50, [](const auto& m, std::size_t i) { ExpectRoundTrip(m, i); });
  consensus::membership members;
  fill.Fill(members);
  ExpectRoundTrip(members, 0);
  peer_hello hello;
  fill.Fill(hello);
  ExpectRoundTrip(hello, 0);
}

TEST(CodecTest, ControlMessagesRoundTrip) {
  filler fill(kSeed);
  ForAlternatives<control::message>(
      fill, 100, [](const auto& m, std::size_t i) { ExpectRoundTrip(m, i); });
}

TEST(CodecTest, WorkflowMessagesRoundTrip) {
  filler fill(kSeed);
  ForAlternatives<workflow::message>(
      fill, 100, [](const auto& m, std::size_t i) { ExpectRoundTrip(m, i); });
  ForAlternatives<workflow::order>(
      fill, 50, [](const workflow::order& order, std::size_t i) {
        workflow::order_request request;
        request.order = order;
        ExpectRoundTrip<workflow::message>(request, i);
      });
  ForAlternatives<workflow::order_answer>(
      fill, 50, [](const workflow::order_answer& answer, std::size_t i) {
        ExpectRoundTrip<workflow::message>(workflow::order_reply{1, answer}, i);
      });
}

TEST(CodecTest, WorkflowEventsRoundTrip) {
  filler fill(kSeed);
  ForAlternatives<workflow::event>(
      fill, 50, [](const workflow::event& event, std::size_t i) {
        ExpectRoundTrip(std::vector<workflow::event>{event}, i);
      });
}

TEST(CodecTest, RequestsAnswersAndFailuresRoundTrip) {
  filler fill(kSeed);
  ForAlternatives<
      control::request>(fill, 50, [](const control::request& r, std::size_t i) {
    ExpectRoundTrip<control::message>(control::numbered_request{1, {}, r}, i);
  });
  ForAlternatives<control::answer>(
      fill, 50, [](const control::answer& a, std::size_t i) {
        ExpectRoundTrip<control::message>(control::numbered_answer{1, a}, i);
      });
  ForAlternatives<core::failure>(
      fill, 50, [](const core::failure& f, std::size_t i) {
        ExpectRoundTrip<control::message>(control::numbered_answer{1, f}, i);
      });
  ForAlternatives<cell::change>(
      fill, 50, [](const cell::change& c, std::size_t i) {
        ExpectRoundTrip<control::message>(
            control::feed_batch{1, 2, 3, true, {c}}, i);
      });
}

TEST(CodecTest, StateImagesRoundTrip) {
  filler fill(kSeed);
  for (int n = 0; n < 100; ++n) {
    cell::state_image image;
    fill.Fill(image);
    ExpectRoundTrip(image, 0);
  }
}

// Guards against a memory budget or traversal limit that rejects valid lists of
// small values.
TEST(CodecTest, LongListsOfSmallValuesRoundTrip) {
  control::feed_batch batch;
  batch.changes.resize(5000, cell::task_removed{{1, 2}});
  ExpectRoundTrip<control::message>(batch, 0);
  batch.changes.assign(5000, cell::call_removed{});
  ExpectRoundTrip<control::message>(batch, 0);
  cell::command c;
  c.body =
      cell::place_tasks{std::vector<std::vector<cell::task_placement>>(5000)};
  ExpectRoundTrip(c, 0);
  const control::list_answer views{1, std::vector<control::object_view>(5000),
                                   false};
  ExpectRoundTrip<control::message>(control::numbered_answer{1, {views}}, 0);
}

// Guards against crashes and unbounded work on invalid bytes, and against a
// value that decodes but can't be encoded again.
template <class T>
void DecodeMutated(filler& fill, const T& value, int times) {
  const std::string valid = Encode(value);
  for (int n = 0; n < times; ++n) {
    std::string mutated = valid;
    for (std::size_t flips = 1 + fill.Pick(4); flips > 0; --flips) {
      mutated[fill.Pick(mutated.size())] ^=
          static_cast<char>(1 << fill.Pick(8));
    }
    if (fill.Pick(4) == 0) mutated.resize(fill.Pick(mutated.size()));
    const auto decoded = TryDecode(mutated, value);
    if (decoded) {
      ExpectRoundTrip(*decoded, 0);
    } else {
      EXPECT_EQ(decoded.error(), Malformed());
    }
  }
}

TEST(CodecTest, MutatedBytesDecodeOrFailAsMalformed) {
  filler fill(kSeed);
  ForAlternatives<cell::command_body>(
      fill, 4, [&](const cell::command_body& body, std::size_t) {
        DecodeMutated(fill, cell::command{1, {"r"}, {"d"}, body}, 300);
      });
  ForAlternatives<consensus::message>(fill, 4, [&](const auto& m, std::size_t) {
    DecodeMutated(fill, m, 300);
  });
  ForAlternatives<control::message>(fill, 4, [&](const auto& m, std::size_t) {
    DecodeMutated(fill, m, 300);
  });
  ForAlternatives<workflow::message>(fill, 4, [&](const auto& m, std::size_t) {
    DecodeMutated(fill, m, 300);
  });
  ForAlternatives<workflow::event>(
      fill, 4, [&](const workflow::event& event, std::size_t) {
        DecodeMutated(fill, std::vector<workflow::event>{event}, 300);
      });
  cell::state_image image;
  fill.Fill(image);
  DecodeMutated(fill, image, 2000);
}

// Guards against a small message that declares a list of millions of empty
// structs and makes the decoder allocate them.
TEST(CodecTest, RejectsLongListOfEmptyStructs) {
  std::string bytes = Encode(cell::command{
      0, {}, {}, cell::evict_tasks{std::vector<cell::task_id>(1)}});
  // The list is the last object: its pointer, a tag word and one task id.
  const std::size_t tag = bytes.size() - 24;
  const std::uint64_t empty_structs = std::uint64_t{100'000'000} << 2;
  std::memcpy(bytes.data() + tag, &empty_structs, sizeof(empty_structs));
  EXPECT_FALSE(TryDecode(bytes, cell::command{}));
}

// Guards against a corrupt file that is reported as a connection failure.
TEST(CodecTest, ReturnsFailureGivenByCaller) {
  const core::failure corrupt = core::storage_failed{
      core::storage_failed::kind::kCorrupt, "log.1", "record 7"};
  const auto decoded =
      core::Capture([&] { return DecodeCommand("12345678", corrupt); });
  ASSERT_FALSE(decoded);
  EXPECT_EQ(decoded.error(), corrupt);
  EXPECT_FALSE(core::Capture([&] { return DecodeCommand("", corrupt); }));
}

}  // namespace
}  // namespace mangoplank::wire
