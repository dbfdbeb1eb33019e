#ifndef MANGOPLANK_SRC_WIRE_CONVERT_WORKFLOW_H_
#define MANGOPLANK_SRC_WIRE_CONVERT_WORKFLOW_H_

#include <vector>

#include "mangoplank/workflow/messages.h"
#include "mangoplank/workflow/state.h"
#include "wire/convert.h"
#include "wire/workflow.capnp.h"

/// Conversions of the values of workflows; see convert.h.
namespace mangoplank::wire {

void Write(const workflow::job_spec& v, schema::JobSpec::Builder b);
void Read(schema::JobSpec::Reader r, workflow::job_spec& v, budget& left);
void Write(const workflow::catalog& v, schema::Catalog::Builder b);
void Read(schema::Catalog::Reader r, workflow::catalog& v, budget& left);
void Write(const workflow::worker_key& v, schema::WorkerKey::Builder b);
void Read(schema::WorkerKey::Reader r, workflow::worker_key& v, budget& left);
void Write(const workflow::worker& v, schema::WorkerSpec::Builder b);
void Read(schema::WorkerSpec::Reader r, workflow::worker& v, budget& left);
void Write(const workflow::task_id& v, schema::WorkflowTaskId::Builder b);
void Read(schema::WorkflowTaskId::Reader r, workflow::task_id& v, budget& left);

void Write(const std::vector<workflow::event>& v,
           schema::WorkflowEvents::Builder b);
void Read(schema::WorkflowEvents::Reader r, std::vector<workflow::event>& v,
          budget& left);
void Write(const workflow::state::image& v, schema::WorkflowImage::Builder b);
void Read(schema::WorkflowImage::Reader r, workflow::state::image& v,
          budget& left);
void Write(const workflow::message& v, schema::WorkflowMessage::Builder b);
void Read(schema::WorkflowMessage::Reader r, workflow::message& v,
          budget& left);

}  // namespace mangoplank::wire

#endif  // MANGOPLANK_SRC_WIRE_CONVERT_WORKFLOW_H_
