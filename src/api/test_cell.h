#ifndef MANGOPLANK_API_TEST_CELL_H_
#define MANGOPLANK_API_TEST_CELL_H_

#include <openssl/sha.h>
#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "mangoplank/api/resource_interface.h"
#include "mangoplank/api/server.h"
#include "mangoplank/cell/state.h"

/// The parts of an entry for tests of api and ctl: the real interface and
/// server, over a cell::state in place of the control processes.
namespace mangoplank::api::fakes {

inline std::string Sha256Hex(const std::string& text) {
  unsigned char bytes[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         bytes);
  std::string hex;
  for (const unsigned char b : bytes) {
    hex += "0123456789abcdef"[b >> 4];
    hex += "0123456789abcdef"[b & 15];
  }
  return hex;
}

/// Applies commands at once and keeps the changes for feeds.
class fake_client : public control::client {
 public:
  fake_client(boost::asio::any_io_executor executor, core::clock& clock,
              distribution::view& view)
      : changed(executor, clock), clock_(clock), view_(view) {}

  core::outcome<cell::accepted> Apply(cell::command c) {
    c.proposed_at = 1'000'000;
    const cell::effect e = state.Apply(state.Revision() + 1, c);
    control::feed_batch batch;
    batch.to = state.Revision();
    batch.changes = e.changes;
    batches.push_back(batch);
    view_.Apply(batch, clock_.Now());
    changed.NotifyAll();
    return e.answer;
  }

  core::awaitable<core::outcome<control::answer>> Request(
      control::request r, core::time_point) override {
    if (delay.count() > 0) co_await core::SleepFor(clock_, delay);
    if (fails) co_return *fails;
    auto a = Answer(r);
    if (loses) co_return *loses;
    co_return a;
  }

  std::unique_ptr<control::feed> Subscribe(control::topic,
                                           const core::department_id&,
                                           core::revision from) override {
    return std::make_unique<fake_feed>(*this, from);
  }

  cell::state state;
  std::deque<control::feed_batch> batches;
  core::event changed;
  /// Oldest revision that a feed can begin after.
  core::revision compacted = 0;
  /// Answer to all requests instead of the state's.
  std::optional<core::failure> fails;
  /// Changes are applied, but this is the answer, as when it is lost.
  std::optional<core::failure> loses;
  control::explain_answer explanation;
  control::status_answer status;
  /// Time that a request takes.
  core::milliseconds delay{0};

 private:
  class fake_feed : public control::feed {
   public:
    fake_feed(fake_client& c, core::revision from) : c_(c), at_(from) {}

    core::awaitable<core::outcome<control::feed_batch>> Next(
        core::time_point deadline) override {
      if (at_ != 0 && at_ < c_.compacted) {
        co_return core::failure(core::revision_compacted{c_.compacted});
      }
      if (at_ >= c_.state.Revision()) co_await c_.changed.WaitUntil(deadline);
      control::feed_batch out;
      out.reset = at_ == 0;
      for (const auto& b : c_.batches) {
        if (b.to <= at_) continue;
        out.changes.insert(out.changes.end(), b.changes.begin(),
                           b.changes.end());
      }
      out.to = at_ = c_.state.Revision();
      co_return out;
    }

   private:
    fake_client& c_;
    core::revision at_;
  };

  core::outcome<control::answer> Answer(const control::request& r) {
    return std::visit(
        core::overloaded{
            [&](const control::propose_request& p) { return Propose(p); },
            [&](const control::list_request& l) {
              return core::outcome<control::answer>(List(l));
            },
            [&](const control::explain_request& e) {
              return state.Find(e.key) == nullptr
                         ? core::outcome<control::answer>(
                               core::failure(core::not_found{e.key.name}))
                         : core::outcome<control::answer>(explanation);
            },
            [&](const control::call_request&) {
              return core::outcome<control::answer>(control::call_answer{});
            },
            [&](const control::status_request&) {
              return core::outcome<control::answer>(status);
            }},
        r);
  }

  core::outcome<control::answer> Propose(const control::propose_request& p) {
    const auto a =
        p.dry_run ? state.DryRun(p.command).answer : Apply(p.command);
    if (!a) return a.error();
    return control::answer(*a);
  }

  control::list_answer List(const control::list_request& r) const {
    control::list_answer out;
    out.revision = state.Revision();
    for (const auto& [key, o] : state.Objects()) {
      if (key.department != r.department || (r.kind && key.kind != *r.kind))
        continue;
      if (!r.name.empty() && key.name != r.name) continue;
      if (key.name <= r.after) continue;
      if (out.objects.size() == r.limit) {
        out.more = true;
        break;
      }
      control::object_view v;
      v.object = o;
      v.status = state.StatusOf(o.uid);
      out.objects.push_back(std::move(v));
    }
    return out;
  }

  core::clock& clock_;
  distribution::view& view_;
};

class fake_runner : public calls::runner {
 public:
  core::awaitable<calls::call_end> Run(calls::call c) override {
    seen.push_back(std::move(c));
    co_return next;
  }
  core::awaitable<core::outcome<calls::call_end>> Resolve(
      cell::call_key key, core::time_point) override {
    const auto it = known.find(key);
    if (it == known.end()) co_return core::failure(core::not_found{"call"});
    co_return it->second;
  }

  std::vector<calls::call> seen;
  calls::call_end next;
  std::map<cell::call_key, calls::call_end> known;
};

class fake_announcer : public membership::announcer {
 public:
  core::awaitable<core::outcome<control::announcement_reply>> Announce(
      control::announcement a, core::time_point) override {
    if (fails) co_return *fails;
    control::announcement_reply r;
    r.worker = a.worker.id;
    r.incarnation = a.worker.incarnation;
    r.sequence = a.sequence;
    r.term = 5;
    r.lease = core::milliseconds(10'000);
    r.orders = orders;
    seen.push_back(std::move(a));
    co_return r;
  }

  std::vector<control::announcement> seen;
  std::vector<control::order> orders;
  std::optional<core::failure> fails;
};

inline constexpr const char* kAdmin = "admin-token";
inline constexpr const char* kWorker = "worker-token";
inline constexpr const char* kKitchens = "kitchens-operator";
inline constexpr const char* kViewer = "kitchens-viewer";
inline constexpr const char* kTally = "tally-operator";

/// A served cell with the departments kitchens and tally. It runs on a thread
/// of its own; OnCell reaches its parts from the test.
class test_cell {
 public:
  explicit test_cell(server_limits limits = {},
                     interface_settings changes = {}) {
    settings = std::move(changes);
    settings.admin_token_sha256 = Sha256Hex(kAdmin);
    settings.worker_token_sha256 = Sha256Hex(kWorker);
    settings.process_id = "entry-1:1";
    AddDepartment("kitchens", {{"ops", kKitchens, cell::role::kOperator},
                               {"view", kViewer, cell::role::kViewer}});
    AddDepartment("tally", {{"ops", kTally, cell::role::kOperator}});
    handler = std::make_unique<resource_interface>(
        interface_parts{client, view, runner, announcer, metrics, clock},
        settings);
    http = std::make_unique<server>(io.get_executor(), clock, *handler, metrics,
                                    limits);
    at = *http->Listen({"127.0.0.1", 0});
    thread_ = std::thread([this] { io.run(); });
  }

  ~test_cell() {
    Stop(core::milliseconds(0));
    guard_.reset();
    io.stop();
    thread_.join();
  }

  /// Stops the server and waits for the end of its connections.
  void Stop(core::milliseconds linger) {
    std::promise<void> done;
    boost::asio::co_spawn(
        io, http->Stop(linger, clock.Now() + std::chrono::seconds(5)),
        [&](std::exception_ptr) { done.set_value(); });
    done.get_future().wait();
  }

  /// Runs `f` on the thread of the cell and waits for its end.
  void OnCell(const std::function<void()>& f) {
    std::promise<void> done;
    boost::asio::post(io, [&] {
      f();
      done.set_value();
    });
    done.get_future().wait();
  }

  void Put(cell::object_key key, cell::object_spec spec) {
    cell::command c;
    c.body = cell::put_object{std::move(key), std::move(spec)};
    OnCell([&] { client.Apply(c); });
  }

  boost::asio::io_context io{1};
  core::system_clock clock{io.get_executor()};
  distribution::view view;
  metrics::registry metrics;
  fake_client client{io.get_executor(), clock, view};
  fake_runner runner;
  fake_announcer announcer;
  interface_settings settings;
  std::unique_ptr<resource_interface> handler;
  std::unique_ptr<server> http;
  core::endpoint at;

 private:
  struct token {
    std::string name;
    std::string text;
    cell::role r;
  };

  void AddDepartment(const std::string& name,
                     const std::vector<token>& tokens) {
    cell::department_spec spec;
    for (const token& t : tokens) {
      spec.tokens.push_back({t.name, Sha256Hex(t.text), t.r});
    }
    cell::command c;
    c.body = cell::put_object{{cell::object_kind::kDepartment, {}, name}, spec};
    client.Apply(c);
  }

  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_ = boost::asio::make_work_guard(io);
  std::thread thread_;
};

/// One response as it came over the connection.
struct answer {
  /// 0 if the connection ended without a response.
  unsigned status = 0;
  header_map headers;
  std::string body;
};

/// A blocking connection that sends bytes as told. A read ends after 10 s.
class raw_client {
 public:
  explicit raw_client(const core::endpoint& at) {
    socket_.connect({boost::asio::ip::make_address(at.address), at.port});
    const timeval limit{10, 0};
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
                 sizeof limit);
  }

  /// @return whether all was sent.
  bool Write(const std::string& bytes) {
    return ::send(socket_.native_handle(), bytes.data(), bytes.size(),
                  MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
  }

  void HalfClose() {
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  }

  /// @return bytes up to and with `mark`, or all until the end.
  std::string ReadUntil(const std::string& mark) {
    while (buffer_.find(mark) == std::string::npos && More()) {
    }
    const std::size_t at = buffer_.find(mark);
    return Take(at == std::string::npos ? buffer_.size() : at + mark.size());
  }

  /// @return whether the server closed without more bytes.
  bool Closed() { return buffer_.empty() && !More() && !timed_out_; }

  answer Read(bool head = false) {
    answer a;
    const std::string text = ReadUntil("\r\n\r\n");
    if (!text.starts_with("HTTP/1.1 ")) return a;
    a.status = static_cast<unsigned>(std::stoul(text.substr(9, 3)));
    for (std::size_t from = text.find("\r\n") + 2; from + 2 < text.size();) {
      const std::size_t end = text.find("\r\n", from);
      const std::size_t colon = text.find(": ", from);
      std::string name = text.substr(from, colon - from);
      for (char& c : name) c = static_cast<char>(std::tolower(c));
      a.headers[name] = text.substr(colon + 2, end - colon - 2);
      from = end + 2;
    }
    if (head || !a.headers.contains("content-length")) return a;
    const std::size_t length = std::stoul(a.headers["content-length"]);
    while (buffer_.size() < length && More()) {
    }
    a.body = Take(length);
    return a;
  }

  answer Send(const std::string& method, const std::string& target,
              const std::string& token, const std::string& body = {},
              const header_map& headers = {}) {
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: x\r\n";
    if (!token.empty()) text += "Authorization: Bearer " + token + "\r\n";
    for (const auto& [name, v] : headers) text += name + ": " + v + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    Write(text + body);
    return Read(method == "HEAD");
  }

 private:
  bool More() {
    char bytes[4096];
    const ssize_t n = ::recv(socket_.native_handle(), bytes, sizeof bytes, 0);
    timed_out_ = n < 0 && errno == EAGAIN;
    if (n > 0) buffer_.append(bytes, static_cast<std::size_t>(n));
    return n > 0;
  }

  std::string Take(std::size_t n) {
    std::string out = buffer_.substr(0, n);
    buffer_.erase(0, out.size());
    return out;
  }

  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_{io_};
  std::string buffer_;
  bool timed_out_ = false;
};

}  // namespace mangoplank::api::fakes

#endif  // MANGOPLANK_API_TEST_CELL_H_
