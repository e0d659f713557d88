#include "operators/publisher.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <set>

#include "absl/strings/str_split.h"

namespace hawthornwheel::operators {
namespace {

using base::Error;
using base::ErrorKind;

constexpr int kMaxAppendAttempts = 4;

std::vector<std::string> DiffLines(const std::string& before,
                                   const std::string& after) {
  const std::vector<std::string> old_lines = absl::StrSplit(before, '\n');
  const std::vector<std::string> new_lines = absl::StrSplit(after, '\n');
  const std::multiset<std::string> old_set(old_lines.begin(), old_lines.end());
  const std::multiset<std::string> new_set(new_lines.begin(), new_lines.end());
  std::vector<std::string> lines;
  for (const std::string& line : old_lines) {
    if (!line.empty() && !new_set.contains(line)) lines.push_back("-" + line);
  }
  for (const std::string& line : new_lines) {
    if (!line.empty() && !old_set.contains(line)) lines.push_back("+" + line);
  }
  return lines;
}

}  // namespace

Publisher::Publisher(control_log::LogClient& log, LoopRunner& runner,
                     ConfigReader& reader)
    : log(log), runner(runner), reader(reader) {}

std::vector<ServiceDifference> Publisher::Compare(
    const std::map<std::string, std::string>& services,
    bool remove_missing) const {
  std::vector<ServiceDifference> differences;
  const auto& in_force = this->reader.Fold().Services();
  for (const auto& [name, text] : services) {
    const auto found = in_force.find(name);
    const bool exists = found != in_force.end() && !found->second.removed;
    const std::string before = exists ? found->second.content : "";
    if (exists && before == text) continue;
    differences.push_back(
        {name, exists ? "changed" : "added", DiffLines(before, text)});
  }
  if (!remove_missing) return differences;
  for (const auto& [name, state] : in_force) {
    if (state.removed || services.contains(name)) continue;
    differences.push_back({name, "removed", DiffLines(state.content, "")});
  }
  return differences;
}

base::Result<PublishReport> Publisher::Publish(
    const std::map<std::string, std::string>& services, bool remove_missing,
    const std::string& operator_name, const std::string& record_id) {
  auto caught_up = this->reader.CatchUp();
  if (!caught_up) return caught_up.GetError();
  PublishReport report;
  report.differences = this->Compare(services, remove_missing);
  if (report.differences.empty()) return report;
  const wire::LogRecord record =
      this->MakeRecord(report.differences, services, operator_name, record_id);
  for (int attempt = 0; attempt < kMaxAppendAttempts; ++attempt) {
    this->Append(record);
    // The result of Append() is ignored: after an error the record may still
    // have been written, so only reading the log shows it.
    caught_up = this->reader.CatchUp();
    if (!caught_up) continue;
    const fleet::ChangeOutcome* outcome = this->FindOutcome(record_id);
    if (outcome == nullptr) continue;
    switch (outcome->verdict) {
      case fleet::ChangeVerdict::kAccepted:
        report.offset = outcome->offset;
        return report;
      case fleet::ChangeVerdict::kConflict:
        return Error(ErrorKind::kConfigConflict, outcome->detail);
      case fleet::ChangeVerdict::kInvalid:
        return Error(ErrorKind::kInvalidConfig, outcome->detail);
    }
  }
  return Error(ErrorKind::kLogUnavailable,
               fmt::format("the log did not confirm record '{}'; it may have "
                           "been appended, publish again to check",
                           record_id));
}

wire::LogRecord Publisher::MakeRecord(
    const std::vector<ServiceDifference>& differences,
    const std::map<std::string, std::string>& services,
    const std::string& operator_name, const std::string& record_id) const {
  wire::LogRecord record;
  record.set_id(record_id);
  record.mutable_change()->set_operator_name(operator_name);
  const auto& in_force = this->reader.Fold().Services();
  for (const ServiceDifference& difference : differences) {
    wire::ServiceChange* change = record.mutable_change()->add_changes();
    change->set_service(difference.service);
    const auto found = in_force.find(difference.service);
    if (found != in_force.end()) {
      change->set_base_generation(found->second.generation);
    }
    const auto text = services.find(difference.service);
    if (text == services.end()) {
      change->set_remove(true);
    } else {
      change->set_content(text->second);
    }
  }
  return record;
}

bool Publisher::Append(const wire::LogRecord& record) {
  struct State {
    bool done = false;
    bool appended = false;
  };
  const auto state = std::make_shared<State>();
  this->log.Append(record, [state](const base::Result<std::uint64_t>& result) {
    state->appended = result.HasValue();
    state->done = true;
  });
  this->runner.RunUntil(&state->done);
  return state->appended;
}

const fleet::ChangeOutcome* Publisher::FindOutcome(
    const std::string& record_id) const {
  const auto& history = this->reader.Fold().History();
  // The verdict on the first record with this id counts, because a duplicate is
  // never accepted.
  const auto found = std::find_if(
      history.begin(), history.end(),
      [&](const auto& outcome) { return outcome.record_id == record_id; });
  return found == history.end() ? nullptr : &*found;
}

}  // namespace hawthornwheel::operators
