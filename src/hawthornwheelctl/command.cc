#include "command.h"

#include <fmt/format.h>
#include <glib.h>
#include <google/protobuf/struct.pb.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <map>
#include <random>

#include "absl/strings/ascii.h"
#include "base/error_kind.h"
#include "control_log/http_control_client.h"
#include "http/http_client.h"
#include "operators/config_reader.h"
#include "operators/publisher.h"
#include "operators/service_folder.h"
#include "reports/html_page.h"
#include "reports/log_report.h"
#include "wire/caller.pb.h"
#include "wire/json.h"

namespace hawthornwheel::ctl {
namespace {

using google::protobuf::Struct;

constexpr base::Duration kPlatformTimeout = std::chrono::seconds(3);
constexpr base::Duration kAdminTimeout = std::chrono::seconds(3);
// Added to the job timeout to get the time limit of a call.
constexpr base::Duration kCallTimeoutMargin = std::chrono::seconds(5);
constexpr int kHttpOk = 200;

// Runs the main loop until an asynchronous call is done.
class MainLoopRunner final : public operators::LoopRunner {
 public:
  void RunUntil(const bool* done) override {
    while (!*done) g_main_context_iteration(nullptr, TRUE);
  }
};

// Prints a usage error and returns its exit code.
ExitCode Usage(const std::string& reason) {
  fmt::print(stderr, "hawthornwheelctl: {}\n", reason);
  return ExitCode::kUsage;
}

// Prints an error and returns its exit code.
ExitCode PrintError(const base::Error& error) {
  fmt::print(stderr, "hawthornwheelctl: {}: {}\n",
             base::DescribeError(error.Kind()).name, error.detail);
  switch (error.Kind()) {
    case base::ErrorKind::kConfigConflict:
      return ExitCode::kConflict;
    case base::ErrorKind::kLogUnavailable:
    case base::ErrorKind::kInternal:
      return ExitCode::kUnreachable;
    default:
      return ExitCode::kFailed;
  }
}

void PrintFaults(const std::vector<base::IniFault>& faults) {
  for (const base::IniFault& fault : faults) {
    fmt::print("{}\n", base::FormatFault(fault));
  }
}

// Checks the service files in a folder.
ExitCode Check(const std::string& folder, const CommandOptions& options) {
  const operators::ServiceFolder content = operators::ReadServiceFolder(folder);
  if (options.json) {
    Struct root;
    auto* faults = (*root.mutable_fields())["faults"].mutable_list_value();
    for (const base::IniFault& fault : content.faults) {
      faults->add_values()->set_string_value(base::FormatFault(fault));
    }
    (*root.mutable_fields())["services"].set_number_value(
        static_cast<double>(content.services.size()));
    fmt::print("{}\n", wire::ToJson(root));
  } else {
    PrintFaults(content.faults);
    fmt::print("{} services, {} faults\n", content.services.size(),
               content.faults.size());
  }
  return content.faults.empty() ? ExitCode::kOk : ExitCode::kFailed;
}

std::string NewRecordId(const std::string& operator_name) {
  std::random_device device;
  return fmt::format("{}-{:08x}{:08x}", operator_name, device(), device());
}

void Set(Struct& object, const std::string& name, const std::string& value) {
  (*object.mutable_fields())[name].set_string_value(value);
}

void Set(Struct& object, const std::string& name, double value) {
  (*object.mutable_fields())[name].set_number_value(value);
}

// Appends an empty object to a list of `root`.
Struct* AddObject(Struct& root, const std::string& list) {
  return (*root.mutable_fields())[list]
      .mutable_list_value()
      ->add_values()
      ->mutable_struct_value();
}

// Writes an HTML report of the logs in a folder.
ExitCode WriteReport(const std::string& folder, const CommandOptions& options) {
  const auto report = reports::LogReport::Read(folder);
  if (!report) return PrintError(report.GetError());
  const std::string page = reports::RenderPage(*report, options.job);
  if (options.out.empty()) {
    fmt::print("{}", page);
    return ExitCode::kOk;
  }
  std::ofstream file(options.out);
  file << page;
  file.flush();
  return file ? ExitCode::kOk
              : Usage("'" + options.out + "' cannot be written");
}

void PrintReport(const operators::PublishReport& report) {
  for (const operators::ServiceDifference& difference : report.differences) {
    fmt::print("{} {}\n", difference.kind, difference.service);
    for (const std::string& line : difference.lines) {
      fmt::print("  {}\n", line);
    }
  }
  if (report.differences.empty()) {
    fmt::print("nothing changed\n");
  } else {
    fmt::print("accepted at offset {}\n", report.offset);
  }
}

void PrintReportAsJson(const operators::PublishReport& report) {
  Struct root;
  (*root.mutable_fields())["differences"].mutable_list_value();
  for (const operators::ServiceDifference& difference : report.differences) {
    Struct* entry = AddObject(root, "differences");
    Set(*entry, "service", difference.service);
    Set(*entry, "kind", difference.kind);
  }
  if (!report.differences.empty()) {
    Set(root, "offset", static_cast<double>(report.offset));
  }
  fmt::print("{}\n", wire::ToJson(root));
}

void PrintConfigAsJson(const fleet::ConfigFold& fold) {
  Struct root;
  (*root.mutable_fields())["services"].mutable_list_value();
  for (const auto& [name, state] : fold.Services()) {
    Struct* entry = AddObject(root, "services");
    Set(*entry, "service", name);
    Set(*entry, "generation", static_cast<double>(state.generation));
    Set(*entry, "operator", state.operator_name);
    Set(*entry, "content", state.content);
    (*entry->mutable_fields())["removed"].set_bool_value(state.removed);
  }
  (*root.mutable_fields())["history"].mutable_list_value();
  for (const fleet::ChangeOutcome& outcome : fold.History()) {
    Struct* entry = AddObject(root, "history");
    Set(*entry, "offset", static_cast<double>(outcome.offset));
    Set(*entry, "verdict",
        std::string(fleet::ChangeVerdictName(outcome.verdict)));
    Set(*entry, "operator", outcome.operator_name);
    Set(*entry, "detail", outcome.detail);
  }
  fmt::print("{}\n", wire::ToJson(root));
}

ExitCode Publish(const std::string& folder, const CommandOptions& options) {
  if (options.platform_address.empty()) return Usage("--platform is missing");
  const operators::ServiceFolder content = operators::ReadServiceFolder(folder);
  if (!content.faults.empty()) {
    PrintFaults(content.faults);
    return ExitCode::kFailed;
  }
  control_log::HttpControlClient platform(options.platform_address,
                                          kPlatformTimeout);
  MainLoopRunner runner;
  operators::ConfigReader reader(platform, runner);
  operators::Publisher publisher(platform, runner, reader);
  const auto report = publisher.Publish(
      content.services, options.remove_missing, options.operator_name,
      NewRecordId(options.operator_name));
  if (!report) return PrintError(report.GetError());
  if (options.json) {
    PrintReportAsJson(*report);
  } else {
    PrintReport(*report);
  }
  return ExitCode::kOk;
}

ExitCode ShowConfig(const std::string& subcommand,
                    const CommandOptions& options) {
  if (options.platform_address.empty()) return Usage("--platform is missing");
  control_log::HttpControlClient platform(options.platform_address,
                                          kPlatformTimeout);
  MainLoopRunner runner;
  operators::ConfigReader reader(platform, runner);
  const auto caught_up = reader.CatchUp();
  if (!caught_up) return PrintError(caught_up.GetError());
  if (options.json) {
    PrintConfigAsJson(reader.Fold());
    return ExitCode::kOk;
  }
  if (subcommand == "show") {
    for (const auto& [name, state] : reader.Fold().Services()) {
      fmt::print("# service {} generation {} by {}{}\n{}\n", name,
                 state.generation, state.operator_name,
                 state.removed ? " (removed)" : "", state.content);
    }
    return ExitCode::kOk;
  }
  for (const fleet::ChangeOutcome& outcome : reader.Fold().History()) {
    fmt::print("{} {} by {} services {}{}\n", outcome.offset,
               fleet::ChangeVerdictName(outcome.verdict), outcome.operator_name,
               fmt::join(outcome.services, ","),
               outcome.detail.empty() ? "" : ": " + outcome.detail);
  }
  return ExitCode::kOk;
}

// Fetches a JSON object from the operator interface of a process.
base::Result<Struct> FetchJson(const std::string& address,
                               const std::string& target,
                               const CommandOptions& options) {
  http::HttpClient client(kAdminTimeout);
  const auto reply = client.Send("GET", address, target, "", options.token);
  if (!reply) return reply.GetError();
  if (reply->status != kHttpOk) {
    return base::Error(
        base::ErrorKind::kInternal,
        fmt::format("{} answered {}: {}", address, reply->status, reply->body));
  }
  Struct root;
  const auto parsed = wire::FromJson(reply->body, root);
  if (!parsed) return parsed.GetError();
  return root;
}

ExitCode Dump(const std::string& address, const CommandOptions& options) {
  http::HttpClient client(kAdminTimeout);
  const auto reply = client.Send("GET", address, "/dump", "", options.token);
  if (!reply) return PrintError(reply.GetError());
  fmt::print("{}\n", reply->body);
  return reply->status == kHttpOk ? ExitCode::kOk : ExitCode::kFailed;
}

// Returns a field of an object, or a null value when it is absent.
const google::protobuf::Value& Field(const Struct& object,
                                     const std::string& name) {
  static const google::protobuf::Value none;
  const auto found = object.fields().find(name);
  return found == object.fields().end() ? none : found->second;
}

// Prints the state of a process. Queries the process itself, because the
// configuration in force may differ between processes.
void PrintMember(const Struct& member, const CommandOptions& options) {
  const std::string address = Field(member, "admin_address").string_value();
  const bool live = Field(member, "live").bool_value();
  std::string state = live ? "live" : "gone";
  std::string config = "unknown";
  if (live) {
    const auto member_view = FetchJson(address, "/members", options);
    if (!member_view) {
      state = "unreachable";
    } else {
      if (Field(*member_view, "draining").bool_value()) state = "draining";
      config =
          fmt::format("next_offset={} generation={} ready={}",
                      Field(*member_view, "config_next_offset").number_value(),
                      Field(*member_view, "config_generation").number_value(),
                      Field(*member_view, "config_ready").bool_value());
    }
  }
  fmt::print("{} domain={} admin={} {} {}\n",
             Field(member, "incarnation").string_value(),
             Field(member, "domain").string_value(), address, state, config);
}

ExitCode Status(const CommandOptions& options) {
  if (options.admin_address.empty()) return Usage("--admin is missing");
  const auto root = FetchJson(options.admin_address, "/members", options);
  if (!root) return PrintError(root.GetError());
  if (options.json) {
    fmt::print("{}\n", wire::ToJson(*root));
    return ExitCode::kOk;
  }
  for (const auto& member : Field(*root, "members").list_value().values()) {
    PrintMember(member.struct_value(), options);
  }
  return ExitCode::kOk;
}

void PrintAnswer(const wire::JobAnswer& answer) {
  fmt::print("{} {}\n", wire::JobState_Name(answer.state()), answer.key());
  for (const wire::TaskResult& result : answer.results()) {
    fmt::print("  {}\n", result.payload());
  }
  if (answer.state() != wire::FAILED) return;
  const wire::Failure& failure = answer.failure();
  fmt::print("  {} ({}): {}{}\n", failure.kind(),
             wire::Execution_Name(failure.execution()),
             failure.field().empty() ? "" : failure.field() + " ",
             failure.message());
}

// Sends a request about a job to an entry VM and prints the answer.
ExitCode CallJobs(const std::string& method, const std::string& target,
                  const std::string& body, const CommandOptions& options) {
  if (options.entry_address.empty()) return Usage("--entry is missing");
  http::HttpClient client(std::chrono::milliseconds(options.timeout_ms) +
                          kCallTimeoutMargin);
  const auto reply = client.Send(method, options.entry_address, target, body);
  if (!reply) return PrintError(reply.GetError());
  wire::JobAnswer answer;
  const auto parsed = wire::FromJson(reply->body, answer);
  if (!parsed) return PrintError(parsed.GetError());
  if (options.json) {
    fmt::print("{}\n", reply->body);
  } else {
    PrintAnswer(answer);
  }
  return answer.state() == wire::FAILED ? ExitCode::kFailed : ExitCode::kOk;
}

// Returns the body of a submission from the job file or the flags.
base::Result<std::string> JobBody(const CommandOptions& options) {
  if (!options.job_file.empty()) {
    std::ifstream file(options.job_file);
    if (!file) {
      return base::Error(base::ErrorKind::kInvalidRequest,
                         options.job_file + " cannot be read");
    }
    return std::string{std::istreambuf_iterator<char>(file), {}};
  }
  wire::SubmitRequest request;
  request.set_key(options.key);
  // The callers' interface calls an organisation "team".
  request.set_team(options.organisation);
  request.set_service(options.service);
  request.set_timeout_ms(static_cast<std::uint32_t>(options.timeout_ms));
  wire::Urgency urgency = wire::NORMAL;
  if (!wire::Urgency_Parse(absl::AsciiStrToUpper(options.urgency), &urgency)) {
    return base::Error(base::ErrorKind::kInvalidRequest,
                       "--urgency must be urgent, normal or bulk");
  }
  request.set_urgency(urgency);
  for (const std::string& task : options.tasks) {
    request.add_tasks()->set_payload(task);
  }
  return wire::ToJson(request);
}

ExitCode Submit(const CommandOptions& options) {
  const auto body = JobBody(options);
  if (!body) return Usage(body.GetError().detail);
  return CallJobs("POST",
                  fmt::format("/v1/jobs?wait_ms={}", options.timeout_ms), *body,
                  options);
}

}  // namespace

ExitCode RunCommand(const std::vector<std::string>& arguments,
                    const CommandOptions& options) {
  const std::string& name = arguments.front();
  const std::string operand = arguments.size() > 1 ? arguments[1] : "";
  if (name == "status") return Status(options);
  if (name == "submit") return Submit(options);
  if (operand.empty()) return Usage("'" + name + "' needs an operand");
  if (name == "check") return Check(operand, options);
  if (name == "publish") return Publish(operand, options);
  if (name == "dump") return Dump(operand, options);
  if (name == "report") return WriteReport(operand, options);
  if (name == "cancel") {
    return CallJobs("DELETE", "/v1/jobs/" + operand, "", options);
  }
  if (name == "config" && (operand == "show" || operand == "history")) {
    return ShowConfig(operand, options);
  }
  return Usage("'" + name + "' is not a command; see --help");
}

}  // namespace hawthornwheel::ctl
