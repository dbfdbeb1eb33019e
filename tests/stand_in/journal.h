#ifndef MANGOPLANK_TESTS_STAND_IN_JOURNAL_H_
#define MANGOPLANK_TESTS_STAND_IN_JOURNAL_H_

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <fstream>
#include <string>
#include <string_view>

namespace stand_in {

/// JSON lines of what a stand-in did, flushed line by line so that they
/// survive a kill. Times are microseconds of the steady clock, which all
/// processes of one VM share.
class journal {
 public:
  /// @param path file to append to; empty for none.
  explicit journal(const std::string& path) {
    if (!path.empty()) out_.open(path, std::ios::app);
  }
  void Write(std::string_view what, boost::json::object line) {
    if (!out_.is_open()) return;
    line["what"] = what;
    line["at_us"] = std::chrono::duration_cast<std::chrono::microseconds>(
                        std::chrono::steady_clock::now().time_since_epoch())
                        .count();
    out_ << boost::json::serialize(line) << std::endl;
  }

 private:
  std::ofstream out_;
};

}  // namespace stand_in

#endif  // MANGOPLANK_TESTS_STAND_IN_JOURNAL_H_
