#include "mangoplank/wire/codec.h"

#include <gtest/gtest.h>

#include <boost/pfr.hpp>
#include <random>

namespace mangoplank::wire {
namespace {

using random_source = std::mt19937_64;

constexpr std::uint64_t kSeed = 20261204;

template <class E>
constexpr int kLast = 0;
template <>
constexpr int kLast<cell::object_kind> = 5;
template <>
constexpr int kLast<cell::urgency> = 2;
template <>
constexpr int kLast<cell::spread> = 2;
template <>
constexpr int kLast<cell::role> = 2;
template <>
constexpr int kLast<cell::task_phase> = 7;
template <>
constexpr int kLast<cell::ending> = 3;
template <>
constexpr int kLast<consensus::entry_kind> = 2;
template <>
constexpr int kLast<control::topic> = 1;
template <>
constexpr int kLast<core::connection_failed::kind> = 4;
template <>
constexpr int kLast<core::storage_failed::kind> = 6;

/// Fills every field of a value by reflection, so that a field that the codec
/// forgets can't be forgotten here as well.
class filler {
 public:
  explicit filler(std::uint64_t seed) : random_(seed) {}

  std::size_t Pick(std::size_t n) { return random_() % n; }

  void Fill(bool& v) { v = Pick(2) == 1; }
  void Fill(double& v) { v = static_cast<double>(random_()) / 7; }
  void Fill(core::milliseconds& v) {
    v = core::milliseconds(static_cast<std::int64_t>(random_()));
  }
  void Fill(std::string& v) {
    v.resize(Pick(12));
    for (char& c : v) c = static_cast<char>(random_());
  }
  template <class T>
  requires std::is_integral_v<T>
  void Fill(T& v) { v = static_cast<T>(random_()); }
  template <class E>
  requires std::is_enum_v<E>
  void Fill(E& v) {
    static_assert(kLast<E> > 0);
    v = static_cast<E>(Pick(kLast<E> + 1));
  }
  template <class T>
  void Fill(std::optional<T>& v) {
    v.reset();
    if (Pick(4) != 0) Fill(v.emplace());
  }
  template <class T>
  void Fill(std::vector<T>& v) {
    v.resize(Pick(4));
    for (T& item : v) Fill(item);
  }
  void Fill(std::map<std::string, std::string>& v) {
    v.clear();
    for (std::size_t n = Pick(4); n > 0; --n) {
      std::string key;
      Fill(key);
      Fill(v[key]);
    }
  }
  template <class T>
  void Fill(core::outcome<T>& v) {
    if (Pick(2) == 0) {
      T value;
      Fill(value);
      v = std::move(value);
    } else {
      core::failure f;
      Fill(f);
      v = std::move(f);
    }
  }
  template <class... Ts>
  void Fill(std::variant<Ts...>& v) {
    FillAlternative(v, Pick(sizeof...(Ts)));
  }
  template <class... Ts>
  void FillAlternative(std::variant<Ts...>& v, std::size_t index) {
    std::size_t i = 0;
    ((i++ == index ? Fill(v.template emplace<Ts>()) : void()), ...);
  }
  template <class T>
  requires std::is_aggregate_v<T>
  void Fill(T& v) {
    if constexpr (boost::pfr::tuple_size_v < T >> 0) {
      boost::pfr::for_each_field(v, [this](auto& field) { Fill(field); });
    }
  }

 private:
  random_source random_;
};

/// Decoder of each type, under one name.
core::result<cell::command> Decode(std::string_view b, const cell::command&) {
  return DecodeCommand(b);
}
core::result<cell::state_image> Decode(std::string_view b,
                                       const cell::state_image&) {
  return DecodeStateImage(b);
}
core::result<consensus::membership> Decode(std::string_view b,
                                           const consensus::membership&) {
  return DecodeMembership(b);
}
core::result<consensus::message> Decode(std::string_view b,
                                        const consensus::message&) {
  return DecodeConsensusMessage(b);
}
core::result<control::message> Decode(std::string_view b,
                                      const control::message&) {
  return DecodeControlMessage(b);
}

core::result<peer_hello> Decode(std::string_view b, const peer_hello&) {
  return DecodePeerHello(b);
}

template <class T>
core::outcome<T> TryDecode(std::string_view bytes, const T& like) {
  return core::Capture([&] { return Decode(bytes, like); });
}

template <class T>
void ExpectRoundTrip(const T& v, std::size_t index) {
  const auto back = TryDecode(Encode(v), v);
  ASSERT_TRUE(back) << core::Describe(back.error()) << " alternative " << index;
  EXPECT_TRUE(*back == v) << "alternative " << index;
}

template <class... Ts>
constexpr std::size_t Count(const std::variant<Ts...>*) {
  return sizeof...(Ts);
}

/// Calls `f` with each alternative of a variant, filled several times.
template <class V, class F>
void ForAlternatives(filler& fill, int times, F f) {
  for (std::size_t i = 0; i < Count(static_cast<const V*>(nullptr)); ++i) {
    for (int n = 0; n < times; ++n) {
      V v;
      fill.FillAlternative(v, i);
      f(v, i);
    }
  }
}

// Guards against a field, an alternative or an absent value that is lost or
// mixed up on the way.
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

// Guards against a valid list of small values that is refused by the memory
// budget or the traversal limit.
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

// Guards against crashes and unbounded work on bytes that are not a message,
// and against a value that decodes but can't be encoded again.
template <class T>
void Mutate(filler& fill, const T& v, int times) {
  const std::string good = Encode(v);
  for (int n = 0; n < times; ++n) {
    std::string bad = good;
    for (std::size_t flips = 1 + fill.Pick(4); flips > 0; --flips) {
      bad[fill.Pick(bad.size())] ^= static_cast<char>(1 << fill.Pick(8));
    }
    if (fill.Pick(4) == 0) bad.resize(fill.Pick(bad.size()));
    const auto decoded = TryDecode(bad, v);
    if (decoded) {
      ExpectRoundTrip(*decoded, 0);
    } else {
      EXPECT_EQ(decoded.error(), Malformed());
    }
  }
}

TEST(CodecTest, MutatedBytesEndInATypedFailure) {
  filler fill(kSeed);
  ForAlternatives<cell::command_body>(
      fill, 4, [&](const cell::command_body& body, std::size_t) {
        Mutate(fill, cell::command{1, {"r"}, {"d"}, body}, 300);
      });
  ForAlternatives<consensus::message>(
      fill, 4, [&](const auto& m, std::size_t) { Mutate(fill, m, 300); });
  ForAlternatives<control::message>(
      fill, 4, [&](const auto& m, std::size_t) { Mutate(fill, m, 300); });
  cell::state_image image;
  fill.Fill(image);
  Mutate(fill, image, 2000);
}

// Guards against a small message that claims a list of millions of empty
// structs and makes the decoder allocate them.
TEST(CodecTest, RefusesAListThatTakesNoRoomInTheMessage) {
  std::string bytes = Encode(cell::command{
      0, {}, {}, cell::evict_tasks{std::vector<cell::task_id>(1)}});
  // The list is the last object: its pointer, a tag word and one task id.
  const std::size_t tag = bytes.size() - 24;
  const std::uint64_t empty_structs = std::uint64_t{100'000'000} << 2;
  std::memcpy(bytes.data() + tag, &empty_structs, sizeof(empty_structs));
  EXPECT_FALSE(TryDecode(bytes, cell::command{}));
}

// Guards against a corrupt file that is reported as a broken connection.
TEST(CodecTest, ReportsTheFailureOfTheCaller) {
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
