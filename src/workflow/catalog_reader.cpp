#include "mangoplank/workflow/catalog_reader.h"

#include <utility>

namespace mangoplank::workflow {

class catalog_reader::open_request {
 public:
  explicit open_request(catalog_reader& reader) : reader_(reader) {
    reader_.is_request_open_ = true;
  }
  ~open_request() {
    reader_.is_request_open_ = false;
    reader_.request_ended_.NotifyAll();
  }
  open_request(const open_request&) = delete;
  open_request& operator=(const open_request&) = delete;

 private:
  catalog_reader& reader_;
};

catalog_reader::catalog_reader(boost::asio::any_io_executor executor,
                               core::clock& clock, source ask_leader)
    : ask_leader_(std::move(ask_leader)),
      request_ended_(std::move(executor), clock) {}

core::awaitable<answer_body> catalog_reader::Read(core::time_point deadline) {
  if (!next_) next_ = std::make_shared<shared_read>();
  const auto read = next_;
  while (!read->answer) {
    if (is_request_open_) {
      const bool ended = co_await request_ended_.WaitUntil(deadline);
      if (ended) continue;
      co_return core::failure(
          core::unavailable{"the leader has not answered earlier reads"});
    }
    const open_request request(*this);
    // Who comes later needs an answer to a later request.
    if (next_ == read) next_.reset();
    answer_body answer = co_await ask_leader_(deadline);
    // The others may have more time left than this caller had.
    if (std::holds_alternative<core::failure>(answer)) co_return answer;
    read->answer = std::move(answer);
  }
  co_return *read->answer;
}

}  // namespace mangoplank::workflow
