#include "options.h"

#include "mangoplank/process/program.h"

namespace mangoplank::entry {

using settings::endpoint_option;
using settings::endpoint_table_option;
using settings::integer_option;
using settings::text_option;

std::vector<settings::option> Options() {
  return process::Join(
      {{"entry", "name", text_option{"", true, 63},
        "Name of this process among the entries of the cell."},
       {"entry", "cell", text_option{"", true, 63}, "Name of the cell."},
       {"entry", "region", text_option{"", true, 63},
        "Region in which this VM stands."},
       {"listen", "http", endpoint_option{"", true},
        "Address for callers, workers and operators."},
       {"listen", "max_connections", integer_option{4096, 1, 65'536, ""},
        "HTTP connections that are open at once."},
       {"listen", "max_body",
        integer_option{2 * 1024 * 1024, 1024, 64 * 1024 * 1024, "bytes"},
        "Largest body of a request."},
       {"control", "nearest", text_option{"", false, 63},
        "Control process that is followed first; that of the own region."},
       {"control_members", "", endpoint_table_option{},
        "Entry address of each control process."},
       {"auth", "admin_sha256", text_option{"", false, 64},
        "SHA-256 of the cell administrator's token, in hexadecimal."},
       {"auth", "worker_sha256", text_option{"", false, 64},
        "SHA-256 of the workers' token, in hexadecimal."},
       {"serve", "freshness", integer_option{6'000, 500, 60'000, "ms"},
        "Age of the last progress mark at which the entry stops serving."},
       {"serve", "slot_interval", integer_option{250, 20, 5'000, "ms"},
        "Interval of reports of demand for slots."},
       {"serve", "announcement_batch", integer_option{20, 1, 1'000, "ms"},
        "Time for which announcements are collected."},
       {"serve", "max_announcements", integer_option{8'192, 1, 65'536, ""},
        "Announcements that wait for a reply at once."},
       {"serve", "request_memory",
        integer_option{128 * 1024 * 1024, 8 * 1024 * 1024, 1'073'741'824,
                       "bytes"},
        "Memory that requests of clients hold together, about four times their "
        "bodies; those over it are refused with 503. At least eight times "
        "listen.max_body counts."},
       {"drain", "balancer_delay", integer_option{3'000, 0, 60'000, "ms"},
        "Time between failing the readiness check and refusing connections."},
       {"drain", "limit", integer_option{30'000, 0, 600'000, "ms"},
        "Longest time for requests in flight to end."}},
      process::LogOptions());
}

}  // namespace mangoplank::entry
