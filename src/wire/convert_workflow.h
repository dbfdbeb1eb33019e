#ifndef MANGOPLANK_SRC_WIRE_CONVERT_WORKFLOW_H_
#define MANGOPLANK_SRC_WIRE_CONVERT_WORKFLOW_H_

#include <vector>

#include "mangoplank/workflow/messages.h"
#include "mangoplank/workflow/state.h"
#include "wire/convert.h"
#include "wire/workflow.capnp.h"

/// Conversions of the values of workflows; see convert.h.
namespace mangoplank::wire {

void Write(const workflow::job_spec& value, schema::JobSpec::Builder builder);
void Read(schema::JobSpec::Reader reader, workflow::job_spec& value,
          memory_budget& budget);
void Write(const workflow::catalog& value, schema::Catalog::Builder builder);
void Read(schema::Catalog::Reader reader, workflow::catalog& value,
          memory_budget& budget);
void Write(const workflow::worker_key& value,
           schema::WorkerKey::Builder builder);
void Read(schema::WorkerKey::Reader reader, workflow::worker_key& value,
          memory_budget& budget);
void Write(const workflow::worker& value, schema::WorkerSpec::Builder builder);
void Read(schema::WorkerSpec::Reader reader, workflow::worker& value,
          memory_budget& budget);
void Write(const workflow::task_id& value,
           schema::WorkflowTaskId::Builder builder);
void Read(schema::WorkflowTaskId::Reader reader, workflow::task_id& value,
          memory_budget& budget);

void Write(const workflow::run_id& value, schema::RunId::Builder builder);
void Read(schema::RunId::Reader reader, workflow::run_id& value,
          memory_budget& budget);
void Write(const workflow::order_request& value,
           schema::OrderRequest::Builder builder);
void Read(schema::OrderRequest::Reader reader, workflow::order_request& value,
          memory_budget& budget);
void Write(const workflow::order_reply& value,
           schema::OrderReply::Builder builder);
void Read(schema::OrderReply::Reader reader, workflow::order_reply& value,
          memory_budget& budget);

void Write(const std::vector<workflow::event>& value,
           schema::WorkflowEvents::Builder builder);
void Read(schema::WorkflowEvents::Reader reader,
          std::vector<workflow::event>& value, memory_budget& budget);
void Write(const workflow::state::image& value,
           schema::WorkflowImage::Builder builder);
void Read(schema::WorkflowImage::Reader reader, workflow::state::image& value,
          memory_budget& budget);
void Write(const workflow::message& value,
           schema::WorkflowMessage::Builder builder);
void Read(schema::WorkflowMessage::Reader reader, workflow::message& value,
          memory_budget& budget);

}  // namespace mangoplank::wire

#endif  // MANGOPLANK_SRC_WIRE_CONVERT_WORKFLOW_H_
