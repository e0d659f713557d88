#include "fleet/leaving_controller.h"

#include <chrono>
#include <utility>

#include "base/address.h"
#include "base/logger.h"
#include "base/metrics.h"

namespace hawthornwheel::fleet {
namespace {

using std::chrono::seconds;

constexpr base::Logger kLog("leaving");

// Time until a notice that is not renewed expires. The endpoint is then tried
// again.
constexpr base::Duration kNoticeLifetime = seconds(30);

std::string IpOf(const std::string& address) {
  const auto parsed = base::ParseAddress(address);
  return parsed ? parsed->ip : address;
}

}  // namespace

LeavingController::LeavingController(base::Clock& clock,
                                     control_log::VmListClient& vm_list,
                                     FleetBoard& board, base::Metrics& metrics,
                                     const FleetSettings& settings)
    : clock(clock),
      vm_list(vm_list),
      board(board),
      metrics(metrics),
      settings(settings),
      poll_timer(clock) {}

void LeavingController::Start() { this->Poll(); }

void LeavingController::MarkLeaving(const std::string& address) {
  this->own_notices[address] = this->clock.Now();
  const bool is_new = !this->board.leaving.contains(address);
  this->board.leaving[address] = this->clock.Now() + kNoticeLifetime;
  if (!is_new) return;
  kLog.Info("An endpoint is leaving. endpoint={}", address);
  if (this->change_listener) this->change_listener();
  if (this->notice_listener) this->notice_listener();
}

bool LeavingController::IsLeaving(const std::string& address) const {
  if (this->HasNotice(address) || this->HasNotice(IpOf(address))) return true;
  auto vm = this->board.vms.find(address);
  if (vm == this->board.vms.end()) vm = this->board.vms.find(IpOf(address));
  return vm != this->board.vms.end() && vm->second.state() == wire::VM_LEAVING;
}

bool LeavingController::HasNotice(const std::string& address) const {
  const auto notice = this->board.leaving.find(address);
  return notice != this->board.leaving.end() &&
         notice->second > this->clock.Now();
}

void LeavingController::FillHeartbeat(wire::Heartbeat& heartbeat) const {
  for (const auto& [address, seen_at] : this->own_notices) {
    if (this->clock.Now() - seen_at > kNoticeLifetime) continue;
    heartbeat.add_leaving(address);
  }
  for (const auto& [ip, vm] : this->board.vms) {
    if (vm.state() == wire::VM_LEAVING) heartbeat.add_leaving(ip);
  }
}

void LeavingController::OnHeartbeat(const wire::Heartbeat& heartbeat) {
  bool changed = false;
  for (const std::string& address : heartbeat.leaving()) {
    changed |= !this->board.leaving.contains(address);
    this->board.leaving[address] = this->clock.Now() + kNoticeLifetime;
  }
  if (changed && this->change_listener) this->change_listener();
}

void LeavingController::SetChangeListener(std::function<void()> listener) {
  this->change_listener = std::move(listener);
}

void LeavingController::SetNoticeListener(std::function<void()> listener) {
  this->notice_listener = std::move(listener);
}

void LeavingController::Poll() {
  this->RemoveExpiredNotices();
  this->metrics.Count("platform.vm_list_reads");
  this->vm_list.Fetch(this->board.vm_list_version,
                      [this](base::Result<wire::VmList> list) {
                        this->OnList(std::move(list));
                      });
}

void LeavingController::OnList(base::Result<wire::VmList> list) {
  if (list && list->version() > this->board.vm_list_version) {
    this->board.vm_list_version = list->version();
    this->board.vms.clear();
    for (const wire::Vm& vm : list->vms()) {
      this->board.vms[vm.address()] = vm;
    }
    if (this->change_listener) this->change_listener();
    if (this->notice_listener) this->notice_listener();
  }
  if (!list) this->metrics.Count("platform.vm_list_errors");
  this->poll_timer.StartOnce(this->settings.poll_interval,
                             [this] { this->Poll(); });
}

void LeavingController::RemoveExpiredNotices() {
  const base::TimePoint now = this->clock.Now();
  std::erase_if(this->board.leaving,
                [now](const auto& notice) { return notice.second <= now; });
  std::erase_if(this->own_notices, [now](const auto& notice) {
    return now - notice.second > kNoticeLifetime;
  });
}

}  // namespace hawthornwheel::fleet
