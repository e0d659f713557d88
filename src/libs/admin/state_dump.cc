#include "admin/state_dump.h"

#include <google/protobuf/struct.pb.h>

#include "base/metrics.h"
#include "dispatch/dispatch_board.h"
#include "dispatch/dispatcher.h"
#include "dispatch/job_controller.h"
#include "fleet/fleet_board.h"
#include "fleet/membership_controller.h"
#include "wire/json.h"

namespace hawthornwheel::admin {
namespace {

using google::protobuf::ListValue;
using google::protobuf::Struct;

constexpr double kMicrosecondsPerMillisecond = 1000;

void Set(Struct& object, const std::string& name, double value) {
  (*object.mutable_fields())[name].set_number_value(value);
}

void Set(Struct& object, const std::string& name, const std::string& value) {
  (*object.mutable_fields())[name].set_string_value(value);
}

void SetFlag(Struct& object, const std::string& name, bool value) {
  (*object.mutable_fields())[name].set_bool_value(value);
}

ListValue* AddList(Struct& object, const std::string& name) {
  return (*object.mutable_fields())[name].mutable_list_value();
}

Struct* AddObject(ListValue* list) {
  return list->add_values()->mutable_struct_value();
}

Struct* AddObject(Struct& object, const std::string& name) {
  return (*object.mutable_fields())[name].mutable_struct_value();
}

void FillIdentity(Struct& object, const wire::MemberAnnounce& member) {
  Set(object, "incarnation", member.incarnation());
  Set(object, "domain", member.domain());
  Set(object, "peer_address", member.peer_address());
  Set(object, "caller_address", member.caller_address());
  Set(object, "admin_address", member.admin_address());
}

void FillConfig(Struct& object, const fleet::FleetBoard& board) {
  SetFlag(object, "ready", board.config_ready);
  SetFlag(object, "log_reachable", board.log_reachable);
  Set(object, "next_offset", double(board.config.NextOffset()));
  Set(object, "generation", double(board.config.Generation()));
  ListValue* services = AddList(object, "services");
  for (const auto& [name, state] : board.config.Services()) {
    Struct* service = AddObject(services);
    Set(*service, "name", name);
    Set(*service, "generation", double(state.generation));
    SetFlag(*service, "removed", state.removed);
    Set(*service, "operator", state.operator_name);
  }
  ListValue* history = AddList(object, "history");
  for (const fleet::ChangeOutcome& outcome : board.config.History()) {
    Struct* entry = AddObject(history);
    Set(*entry, "offset", double(outcome.offset));
    Set(*entry, "verdict",
        std::string(fleet::ChangeVerdictName(outcome.verdict)));
    Set(*entry, "operator", outcome.operator_name);
    if (!outcome.detail.empty()) Set(*entry, "detail", outcome.detail);
  }
}

void FillMembers(ListValue* list, const dispatch::Dispatcher& dispatcher) {
  const fleet::FleetBoard& board = dispatcher.GetFleetBoard();
  Struct* self = AddObject(list);
  FillIdentity(*self, board.self);
  SetFlag(*self, "live", true);
  for (const auto& [incarnation, member] : board.members) {
    Struct* object = AddObject(list);
    FillIdentity(*object, member.announce);
    SetFlag(*object, "live", dispatcher.GetMembership().IsLive(member));
    SetFlag(*object, "left", member.left);
    SetFlag(*object, "draining", member.draining);
    Set(*object, "config_next_offset", double(member.config_next_offset));
    Set(*object, "free_slots", member.free_slots);
    Set(*object, "queued_tasks", member.queued_tasks);
  }
}

void FillEndpoints(ListValue* list, const dispatch::DispatchBoard& board) {
  for (const auto& [address, endpoint] : board.endpoints) {
    Struct* object = AddObject(list);
    Set(*object, "address", address);
    Set(*object, "domain", endpoint->domain);
    SetFlag(*object, "owned", endpoint->owned);
    SetFlag(*object, "leaving", endpoint->leaving);
    Set(*object, "health",
        std::string(dispatch::EndpointHealthName(endpoint->health)));
    Set(*object, "slots", endpoint->slots);
    Set(*object, "running", endpoint->running);
    Set(*object, "lent", endpoint->lent);
    Set(*object, "borrowed", endpoint->borrowed);
    Set(*object, "held_by_others", endpoint->held_by_others);
    Set(*object, "slowness", endpoint->slowness);
    Set(*object, "completed", double(endpoint->completed));
    Set(*object, "failed", double(endpoint->failed));
  }
}

void FillServices(ListValue* list, const dispatch::DispatchBoard& board) {
  for (const auto& [name, load] : board.services) {
    Struct* object = AddObject(list);
    Set(*object, "name", name);
    Set(*object, "queued_tasks", load.queued_tasks);
    Set(*object, "running_tasks", load.running_tasks);
    Set(*object, "endpoints", double(load.pool.size()));
    Set(*object, "mean_run_time_ms",
        double(load.run_time.Mean().count()) / kMicrosecondsPerMillisecond);
    Set(*object, "failure_share", load.failure_share);
  }
}

void FillMetrics(Struct& object, const base::Metrics& metrics) {
  for (const base::MetricSample& sample : metrics.Report()) {
    Set(object, sample.name, sample.value);
  }
}

}  // namespace

std::string DumpState(const dispatch::Dispatcher& dispatcher,
                      const base::Metrics& metrics) {
  const fleet::FleetBoard& fleet_board = dispatcher.GetFleetBoard();
  const dispatch::DispatchBoard& board = dispatcher.GetDispatchBoard();
  Struct root;
  FillIdentity(*AddObject(root, "self"), fleet_board.self);
  FillConfig(*AddObject(root, "config"), fleet_board);
  FillMembers(AddList(root, "members"), dispatcher);
  FillEndpoints(AddList(root, "endpoints"), board);
  FillServices(AddList(root, "services"), board);
  Struct* jobs = AddObject(root, "jobs");
  Set(*jobs, "open", double(dispatcher.OpenJobs()));
  Set(*jobs, "kept", double(board.jobs.size()));
  Set(*jobs, "attempts", double(board.attempts.size()));
  Set(*jobs, "remembered_keys",
      double(dispatcher.GetJobController().RememberedKeys()));
  SetFlag(root, "draining", board.draining);
  FillMetrics(*AddObject(root, "metrics"), metrics);
  return wire::ToJson(root);
}

std::string DumpMetrics(const base::Metrics& metrics) {
  Struct root;
  FillMetrics(root, metrics);
  return wire::ToJson(root);
}

std::string DumpMembers(const dispatch::Dispatcher& dispatcher) {
  Struct root;
  const fleet::FleetBoard& board = dispatcher.GetFleetBoard();
  Set(root, "config_next_offset", double(board.config.NextOffset()));
  Set(root, "config_generation", double(board.config.Generation()));
  SetFlag(root, "config_ready", board.config_ready);
  SetFlag(root, "draining", dispatcher.GetDispatchBoard().draining);
  FillMembers(AddList(root, "members"), dispatcher);
  return wire::ToJson(root);
}

}  // namespace hawthornwheel::admin
