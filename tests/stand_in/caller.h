#ifndef MANGOPLANK_TESTS_STAND_IN_CALLER_H_
#define MANGOPLANK_TESTS_STAND_IN_CALLER_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "http_client.h"
#include "journal.h"
#include "mangoplank/core/clock.h"

namespace stand_in {

/// The platform's balancer: round robin over the entries that are ready.
class balancer {
 public:
  balancer(const std::vector<boost::asio::ip::tcp::endpoint>& entries,
           boost::asio::any_io_executor executor,
           mangoplank::core::clock& clock);
  /// Starts the health checks of /readyz.
  void Start();
  /// @return the next ready entry; any if none is known to be ready.
  std::shared_ptr<http_client> Next();

 private:
  struct entry {
    std::shared_ptr<http_client> calls;
    std::shared_ptr<http_client> checks;
    bool ready = true;
    int failures = 0;
  };
  boost::asio::awaitable<void> CheckLoop(std::shared_ptr<entry> e);

  boost::asio::any_io_executor executor_;
  mangoplank::core::clock& clock_;
  std::vector<std::shared_ptr<entry>> entries_;
  std::size_t next_ = 0;
};

/// One kind of call in the mix.
struct call_kind {
  std::string operation;
  bool once = false;
  std::chrono::milliseconds deadline{1000};
  double weight = 1;
};

struct caller_options {
  std::string name = "caller";
  std::string department;
  std::string service;
  std::string token;
  std::vector<call_kind> mix;
  /// Calls per second; arrivals are exponential.
  double rate = 100;
  std::size_t calls = 1000;
  /// Calls at once; an arrival beyond is not sent and counted.
  std::size_t max_in_flight = 200;
  /// Resends of a once-call whose answer did not come or was unknown.
  int resends = 3;
  std::size_t body_bytes = 64;
  std::uint64_t seed = 1;
};

/// Sends calls and keeps a journal of what it asked and heard.
class caller {
 public:
  caller(caller_options options, balancer& balancer,
         boost::asio::any_io_executor executor, mangoplank::core::clock& clock,
         journal& j);
  /// Sends all calls and waits for their ends.
  boost::asio::awaitable<void> Run();
  /// @return counts by outcome, `wrong_answer` and `lost` among them.
  const std::map<std::string, std::uint64_t>& Counts() const { return counts_; }
  /// @return the q-quantile of the time to the answer of done calls.
  std::chrono::microseconds Quantile(double q);

 private:
  boost::asio::awaitable<void> OneCall(call_kind kind, std::string body,
                                       std::string key);
  /// @return the outcome heard: that of Mangoplank-Outcome, `no_answer`, or
  /// `status_N`.
  boost::asio::awaitable<std::string> Send(call_kind kind, std::string body,
                                           std::string key);
  /// @return whether the answer holds the body that was sent.
  bool IsOwnAnswer(const std::string& answer, const std::string& body) const;

  caller_options options_;
  balancer& balancer_;
  boost::asio::any_io_executor executor_;
  mangoplank::core::clock& clock_;
  journal& journal_;
  std::mt19937_64 random_;
  std::size_t in_flight_ = 0;
  mangoplank::core::event ended_;
  std::map<std::string, std::uint64_t> counts_;
  std::vector<std::chrono::microseconds> times_;
};

}  // namespace stand_in

#endif  // MANGOPLANK_TESTS_STAND_IN_CALLER_H_
