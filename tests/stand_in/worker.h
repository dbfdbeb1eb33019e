#ifndef MANGOPLANK_TESTS_STAND_IN_WORKER_H_
#define MANGOPLANK_TESTS_STAND_IN_WORKER_H_

#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "http_client.h"
#include "journal.h"
#include "mangoplank/core/clock.h"

/// Stand-ins for the outside systems; they know only the published protocols.
namespace stand_in {

enum class misbehaviour {
  kNone,
  /// Accepts connections and reads nothing.
  kSilent,
  /// Reads requests and never answers.
  kNoAnswer,
  kGarbage,
  /// Sends each answer twice.
  kTwice,
  kCloseInAnswer,
  /// Every task fails at once.
  kFailTasks
};

struct worker_options {
  std::string name;
  boost::asio::ip::tcp::endpoint listen;
  std::vector<boost::asio::ip::tcp::endpoint> announce;
  std::string token;
  std::string region;
  std::string data_centre;
  std::string rack;
  std::int64_t cpu_milli = 64000;
  std::int64_t memory_mib = 131072;
  std::int64_t accelerators = 0;
  std::int64_t slots = 8;
  std::chrono::milliseconds service_time{5};
  /// By operation, instead of service_time.
  std::map<std::string, std::chrono::milliseconds> operation_time;
  /// Run time of tasks that are not services; 0 until stopped.
  std::chrono::milliseconds task_time{1000};
  double task_failure_rate = 0;
  double call_failure_rate = 0;
  misbehaviour mode = misbehaviour::kNone;
  std::uint64_t seed = 1;
};

/// One worker: announces itself, runs tasks (as timers) and answers calls.
class worker {
 public:
  worker(worker_options options, boost::asio::any_io_executor executor,
         mangoplank::core::clock& clock, journal& j);
  /// Starts all tasks of the worker.
  void Start();
  /// Announces that the worker leaves; running work ends.
  void Leave();

 private:
  using time_point = mangoplank::core::time_point;
  template <class T>
  using awaitable = boost::asio::awaitable<T>;

  struct amounts {
    std::int64_t cpu_milli = 0;
    std::int64_t memory_mib = 0;
    std::int64_t accelerators = 0;
  };
  using task_key = std::pair<std::int64_t, std::int64_t>;
  struct task {
    std::int64_t attempt = 0;
    std::string phase = "running";
    std::string detail;
    std::string department;
    std::string name;
    bool service = false;
    amounts need;
    /// Announcement that first holds the end.
    std::uint64_t ended_in = 0;
  };
  struct answer {
    unsigned status = 0;
    std::string body;
    std::string reason;
  };
  struct once_entry {
    bool given_up = false;
    std::optional<answer> ended;
  };

  // Announcements.
  awaitable<void> AnnounceLoop();
  awaitable<void> AnnounceOnce();
  std::string AnnouncementBody();
  void ApplyReply(const boost::json::object& reply, time_point sent);
  void RestartUnderNewIncarnation(const char* why);
  bool HoldsLease() const;
  // Tasks.
  void ApplyOrder(const boost::json::object& order);
  void StartTask(task_key key, const boost::json::object& order);
  awaitable<void> RunTask(task_key key, std::int64_t attempt,
                          std::uint64_t incarnation, bool fails);
  void EndTask(task_key key, const char* phase, const std::string& detail);
  bool Fits(const amounts& need) const;
  bool RunsService(const std::string& department,
                   const std::string& service) const;
  // Calls.
  awaitable<void> Listen();
  awaitable<void> Serve(boost::asio::ip::tcp::socket socket);
  awaitable<bool> SendAnswer(boost::beast::tcp_stream& stream,
                             http_response response);
  awaitable<http_response> Handle(http_request request);
  awaitable<answer> HandleRun(std::string id, http_request request);
  awaitable<answer> RunCall(std::string id, http_request request);
  /// @return the refusal of a call, if it can't be started now.
  std::optional<answer> RefuseStart(const std::string& id,
                                    const http_request& request);
  answer HandleAsk(const std::string& id);
  answer HandleGiveUp(const std::string& id);
  void Note(const char* what, const std::string& id, std::string detail = {});
  void CheckOwnLimits();

  worker_options options_;
  boost::asio::any_io_executor executor_;
  mangoplank::core::clock& clock_;
  journal& journal_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<http_client>> clients_;
  std::size_t next_client_ = 0;
  std::uint64_t incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t term_ = 0;
  time_point lease_until_{};
  bool leaving_ = false;
  std::map<task_key, task> tasks_;
  std::map<task_key, std::int64_t> seen_attempts_;
  std::map<std::string, once_entry> once_;
  std::int64_t running_calls_ = 0;
  mangoplank::core::event phase_changed_;
  mangoplank::core::event once_changed_;
};

}  // namespace stand_in

#endif  // MANGOPLANK_TESTS_STAND_IN_WORKER_H_
