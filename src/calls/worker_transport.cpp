#include "mangoplank/calls/worker_transport.h"

namespace mangoplank::calls {

std::string_view Name(refusal reason) {
  switch (reason) {
    case refusal::kOther:
      return "other";
    case refusal::kNoSlot:
      return "no_slot";
    case refusal::kLeaseEnded:
      return "lease_ended";
    case refusal::kOtherIncarnation:
      return "other_incarnation";
    case refusal::kCancelled:
      return "given_up";
  }
  return "other";
}

std::string_view Name(fault_kind kind) {
  switch (kind) {
    case fault_kind::kConnectRefused:
      return "connect_refused";
    case fault_kind::kSilent:
      return "silent";
    case fault_kind::kNoAnswer:
      return "no_answer";
    case fault_kind::kMalformed:
      return "malformed";
    case fault_kind::kOtherCall:
      return "other_call";
    case fault_kind::kSecondAnswer:
      return "second_answer";
    case fault_kind::kClosed:
      return "closed";
    case fault_kind::kClosedInAnswer:
      return "closed_in_answer";
    case fault_kind::kNoConnection:
      return "no_connection";
  }
  return "closed";
}

void CountFault(metrics::registry& metrics, fault_kind kind) {
  metrics
      .Counter("mangoplank_call_faults_total",
               "Exchanges with workers that failed.",
               {{"kind", std::string(Name(kind))}})
      .Add();
}

std::string CallIdOf(core::revision intent_id) {
  return std::to_string(intent_id);
}

}  // namespace mangoplank::calls
