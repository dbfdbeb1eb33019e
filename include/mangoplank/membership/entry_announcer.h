#ifndef MANGOPLANK_MEMBERSHIP_ENTRY_ANNOUNCER_H_
#define MANGOPLANK_MEMBERSHIP_ENTRY_ANNOUNCER_H_

#include <functional>
#include <map>
#include <memory>

#include "mangoplank/membership/announcer.h"

namespace mangoplank::membership {

/// Collects the announcements received by an entry and sends them to the leader
/// in batches, so that a thousand workers cost the leader few messages.
class entry_announcer : public announcer {
 public:
  /// Sends a batch to the leader.
  /// @return false if no leader is connected.
  using sender = std::function<bool(control::announcement_batch)>;

  /// @param batch_interval time that the first announcement of a batch waits.
  /// @param max_pending number of announcements that may wait for a reply.
  entry_announcer(boost::asio::any_io_executor executor, core::clock& clock,
                  sender send, core::milliseconds batch_interval,
                  std::size_t max_pending);
  ~entry_announcer() override;

  core::awaitable<core::outcome<control::announcement_reply>> Announce(
      control::announcement announcement, core::time_point deadline) override;

  /// Handles replies of the leader. A reply to no pending announcement is
  /// dropped; the worker then repeats its announcement.
  void OnReplies(control::reply_batch batch);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::membership

#endif  // MANGOPLANK_MEMBERSHIP_ENTRY_ANNOUNCER_H_
