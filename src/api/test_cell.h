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

/// An entry for tests of api and ctl: the real interface and server on top of a
/// cell::state that stands in for the control processes.
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

/// Applies commands immediately and stores the changes for feeds.
class fake_client : public control::client {
 public:
  fake_client(boost::asio::any_io_executor executor, core::clock& clock,
              distribution::view& view)
      : changed(executor, clock), clock_(clock), view_(view) {}

  core::outcome<cell::accepted> Apply(cell::command command) {
    command.proposed_at = 1'000'000;
    const cell::effect effect = state.Apply(state.Revision() + 1, command);
    control::feed_batch batch;
    batch.to = state.Revision();
    batch.changes = effect.changes;
    batches.push_back(batch);
    view_.Apply(batch, clock_.Now());
    changed.NotifyAll();
    return effect.answer;
  }

  core::awaitable<core::outcome<control::answer>> Request(
      control::request request, core::time_point) override {
    if (delay.count() > 0) co_await core::SleepFor(clock_, delay);
    if (failure) co_return *failure;
    auto answer = Answer(request);
    if (failure_after_apply) co_return *failure_after_apply;
    co_return answer;
  }

  std::unique_ptr<control::feed> Subscribe(control::topic,
                                           const core::department_id&,
                                           core::revision from) override {
    return std::make_unique<fake_feed>(*this, from);
  }

  cell::state state;
  std::deque<control::feed_batch> batches;
  core::event changed;
  /// Oldest revision after which a feed can start.
  core::revision compacted = 0;
  /// If set, the answer to all requests, which are not applied.
  std::optional<core::failure> failure;
  /// If set, requests are applied but get this answer, as if theirs was lost.
  std::optional<core::failure> failure_after_apply;
  control::explain_answer explanation;
  control::status_answer status;
  /// Processing time of a request.
  core::milliseconds delay{0};

 private:
  class fake_feed : public control::feed {
   public:
    fake_feed(fake_client& client, core::revision from)
        : client_(client), revision_(from) {}

    core::awaitable<core::outcome<control::feed_batch>> Next(
        core::time_point deadline) override {
      if (revision_ != 0 && revision_ < client_.compacted) {
        co_return core::failure(core::revision_compacted{client_.compacted});
      }
      if (revision_ >= client_.state.Revision())
        co_await client_.changed.WaitUntil(deadline);
      control::feed_batch out;
      out.reset = revision_ == 0;
      for (const auto& b : client_.batches) {
        if (b.to <= revision_) continue;
        out.changes.insert(out.changes.end(), b.changes.begin(),
                           b.changes.end());
      }
      out.to = revision_ = client_.state.Revision();
      co_return out;
    }

   private:
    fake_client& client_;
    core::revision revision_;
  };

  core::outcome<control::answer> Answer(const control::request& request) {
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
        request);
  }

  core::outcome<control::answer> Propose(
      const control::propose_request& proposal) {
    const auto answer = proposal.dry_run ? state.DryRun(proposal.command).answer
                                         : Apply(proposal.command);
    if (!answer) return answer.error();
    return control::answer(*answer);
  }

  control::list_answer List(const control::list_request& request) const {
    control::list_answer out;
    out.revision = state.Revision();
    for (const auto& [key, o] : state.Objects()) {
      if (key.department != request.department ||
          (request.kind && key.kind != *request.kind))
        continue;
      if (!request.name.empty() && key.name != request.name) continue;
      if (key.name <= request.after) continue;
      if (out.objects.size() == request.limit) {
        out.more = true;
        break;
      }
      control::object_view view;
      view.object = o;
      view.status = state.StatusOf(o.uid);
      out.objects.push_back(std::move(view));
    }
    return out;
  }

  core::clock& clock_;
  distribution::view& view_;
};

class fake_runner : public calls::runner {
 public:
  core::awaitable<calls::call_end> Run(calls::call call) override {
    received.push_back(std::move(call));
    co_return next_end;
  }
  core::awaitable<core::outcome<calls::call_end>> Resolve(
      cell::call_key key, core::time_point) override {
    const auto it = recorded.find(key);
    if (it == recorded.end()) co_return core::failure(core::not_found{"call"});
    co_return it->second;
  }

  std::vector<calls::call> received;
  calls::call_end next_end;
  std::map<cell::call_key, calls::call_end> recorded;
};

class fake_announcer : public membership::announcer {
 public:
  core::awaitable<core::outcome<control::announcement_reply>> Announce(
      control::announcement announcement, core::time_point) override {
    if (failure) co_return *failure;
    control::announcement_reply reply;
    reply.worker = announcement.worker.id;
    reply.incarnation = announcement.worker.incarnation;
    reply.sequence = announcement.sequence;
    reply.term = 5;
    reply.lease = core::milliseconds(10'000);
    reply.orders = orders;
    received.push_back(std::move(announcement));
    co_return reply;
  }

  std::vector<control::announcement> received;
  std::vector<control::order> orders;
  std::optional<core::failure> failure;
};

inline constexpr const char* kAdminToken = "admin-token";
inline constexpr const char* kWorkerToken = "worker-token";
inline constexpr const char* kKitchensToken = "kitchens-operator";
inline constexpr const char* kViewerToken = "kitchens-viewer";
inline constexpr const char* kTallyToken = "tally-operator";

/// A running entry with the departments kitchens and tally. It has its own
/// thread; tests access its members with RunOnCell.
class test_cell {
 public:
  explicit test_cell(server_limits limits = {},
                     interface_settings base_settings = {},
                     process::memory_limits memory = {})
      : budget(io.get_executor(), clock, metrics, memory) {
    settings = std::move(base_settings);
    settings.admin_token_sha256 = Sha256Hex(kAdminToken);
    settings.worker_token_sha256 = Sha256Hex(kWorkerToken);
    settings.process_id = "entry-1:1";
    AddDepartment("kitchens", {{"ops", kKitchensToken, cell::role::kOperator},
                               {"view", kViewerToken, cell::role::kViewer}});
    AddDepartment("tally", {{"ops", kTallyToken, cell::role::kOperator}});
    handler = std::make_unique<resource_interface>(
        interface_dependencies{client, view, runner, announcer, metrics, clock},
        settings);
    http = std::make_unique<server>(io.get_executor(), clock, *handler, metrics,
                                    budget, limits);
    endpoint = *http->Listen({"127.0.0.1", 0});
    thread_ = std::thread([this] { io.run(); });
  }

  ~test_cell() {
    Stop(core::milliseconds(0));
    guard_.reset();
    io.stop();
    thread_.join();
  }

  /// Stops the server and waits until its connections are closed.
  void Stop(core::milliseconds linger) {
    std::promise<void> done;
    boost::asio::co_spawn(
        io, http->Stop(linger, clock.Now() + std::chrono::seconds(5)),
        [&](std::exception_ptr) { done.set_value(); });
    done.get_future().wait();
  }

  /// Runs `function` on the thread of the cell and waits until it returns.
  void RunOnCell(const std::function<void()>& function) {
    std::promise<void> done;
    boost::asio::post(io, [&] {
      function();
      done.set_value();
    });
    done.get_future().wait();
  }

  void Put(cell::object_key key, cell::object_spec spec) {
    cell::command command;
    command.body = cell::put_object{std::move(key), std::move(spec)};
    RunOnCell([&] { client.Apply(command); });
  }

  boost::asio::io_context io{1};
  core::system_clock clock{io.get_executor()};
  distribution::view view;
  metrics::registry metrics;
  process::memory_budget budget;
  fake_client client{io.get_executor(), clock, view};
  fake_runner runner;
  fake_announcer announcer;
  interface_settings settings;
  std::unique_ptr<resource_interface> handler;
  std::unique_ptr<server> http;
  core::endpoint endpoint;

 private:
  struct token {
    std::string name;
    std::string text;
    cell::role role;
  };

  void AddDepartment(const std::string& name,
                     const std::vector<token>& tokens) {
    cell::department_spec spec;
    for (const token& t : tokens) {
      spec.tokens.push_back({t.name, Sha256Hex(t.text), t.role});
    }
    cell::command command;
    command.body =
        cell::put_object{{cell::object_kind::kDepartment, {}, name}, spec};
    client.Apply(command);
  }

  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_ = boost::asio::make_work_guard(io);
  std::thread thread_;
};

/// A response as received over the connection.
struct answer {
  /// 0 if the connection ended without a response.
  unsigned status = 0;
  header_map headers;
  std::string body;
};

/// A blocking connection that sends raw bytes. Reads time out after 10 s.
class raw_client {
 public:
  explicit raw_client(const core::endpoint& server) {
    socket_.connect(
        {boost::asio::ip::make_address(server.address), server.port});
    const timeval limit{10, 0};
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
                 sizeof limit);
  }

  /// @return whether all bytes were sent.
  bool Write(const std::string& bytes) {
    return ::send(socket_.native_handle(), bytes.data(), bytes.size(),
                  MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
  }

  void HalfClose() {
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  }

  /// @return the bytes up to and including `delimiter`, or all to the end.
  std::string ReadUntil(const std::string& delimiter) {
    while (buffer_.find(delimiter) == std::string::npos && ReadMore()) {
    }
    const std::size_t position = buffer_.find(delimiter);
    return TakeBytes(position == std::string::npos
                         ? buffer_.size()
                         : position + delimiter.size());
  }

  /// @return whether the server closed the connection without sending more.
  bool IsClosed() { return buffer_.empty() && !ReadMore() && !timed_out_; }

  answer Read(bool head_only = false) {
    answer received;
    const std::string text = ReadUntil("\r\n\r\n");
    if (!text.starts_with("HTTP/1.1 ")) return received;
    received.status = static_cast<unsigned>(std::stoul(text.substr(9, 3)));
    for (std::size_t from = text.find("\r\n") + 2; from + 2 < text.size();) {
      const std::size_t end = text.find("\r\n", from);
      const std::size_t colon = text.find(": ", from);
      std::string name = text.substr(from, colon - from);
      for (char& c : name) c = static_cast<char>(std::tolower(c));
      received.headers[name] = text.substr(colon + 2, end - colon - 2);
      from = end + 2;
    }
    if (head_only || !received.headers.contains("content-length"))
      return received;
    const std::size_t length = std::stoul(received.headers["content-length"]);
    while (buffer_.size() < length && ReadMore()) {
    }
    received.body = TakeBytes(length);
    return received;
  }

  answer Send(const std::string& method, const std::string& target,
              const std::string& token, const std::string& body = {},
              const header_map& headers = {}) {
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: x\r\n";
    if (!token.empty()) text += "Authorization: Bearer " + token + "\r\n";
    for (const auto& [name, value] : headers)
      text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    Write(text + body);
    return Read(method == "HEAD");
  }

 private:
  bool ReadMore() {
    char bytes[4096];
    const ssize_t n = ::recv(socket_.native_handle(), bytes, sizeof bytes, 0);
    timed_out_ = n < 0 && errno == EAGAIN;
    if (n > 0) buffer_.append(bytes, static_cast<std::size_t>(n));
    return n > 0;
  }

  std::string TakeBytes(std::size_t count) {
    std::string out = buffer_.substr(0, count);
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
