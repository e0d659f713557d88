// Load driver: submits jobs to real processes over loopback with open-loop
// arrivals. When a call fails, it resends the job under the same key to a
// random process. It compares the answers with the task starts counted by the
// stand-in endpoints. Exits with 1 when a guarantee was violated or no job was
// completed.

#include <fmt/format.h>
#include <libsoup/soup.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "base/glib_clock.h"
#include "wire/caller.pb.h"
#include "wire/json.h"

ABSL_FLAG(std::vector<std::string>, entries, {},
          "Addresses of the dispatchers' caller interfaces.");
ABSL_FLAG(std::vector<std::string>, controls, {},
          "Control addresses of the stand-in endpoints.");
ABSL_FLAG(double, jobs_per_second, 20, "Jobs per second.");
ABSL_FLAG(int, tasks, 4, "Tasks per job.");
ABSL_FLAG(int, run_ms, 100, "Mean run time of a task in milliseconds.");
ABSL_FLAG(int, seconds, 10, "Seconds during which jobs arrive.");
ABSL_FLAG(int, timeout_ms, 8000, "Timeout of a job in milliseconds.");
ABSL_FLAG(double, resubmit, 0,
          "Share of jobs that are always submitted twice.");
ABSL_FLAG(std::uint64_t, seed, 1, "Random seed.");
ABSL_FLAG(std::string, team, "laundry", "Organisation that submits the jobs.");
ABSL_FLAG(std::string, service, "booking", "Service that runs the tasks.");

namespace hawthornwheel::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kMaxSends = 4;
constexpr base::Duration kResendDelay = milliseconds(300);
constexpr double kMicrosecondsPerMillisecond = 1000;

/// Receives the HTTP status (0 when the call failed) and the body of an answer.
using Reply = std::function<void(guint status, const std::string& body)>;

struct PendingCall {
  SoupMessage* message;
  Reply done;
};

void OnReply(GObject* source, GAsyncResult* result, gpointer data) {
  std::unique_ptr<PendingCall> call(static_cast<PendingCall*>(data));
  GBytes* bytes =
      soup_session_send_and_read_finish(SOUP_SESSION(source), result, nullptr);
  std::string body;
  guint status = 0;
  if (bytes != nullptr) {
    gsize size = 0;
    const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    body.assign(text == nullptr ? "" : text, size);
    status = soup_message_get_status(call->message);
    g_bytes_unref(bytes);
  }
  g_object_unref(call->message);
  call->done(status, body);
}

/// One job, the answers to it, and its ideal response time.
struct SubmittedJob {
  wire::SubmitRequest request;
  base::TimePoint sent_at;
  double ideal_ms = 0;
  int sends = 0;
  bool done = false;
  std::vector<wire::JobAnswer> answers;
};

/// Submits the jobs, collects the answers, and checks them.
class Driver {
 public:
  Driver() : random(absl::GetFlag(FLAGS_seed)) {
    this->session =
        soup_session_new_with_options("max-conns", 4096, "max-conns-per-host",
                                      1024, "proxy-resolver", nullptr, nullptr);
    this->entries = absl::GetFlag(FLAGS_entries);
  }

  /// Runs the load to its end; returns the exit code of the program.
  int Run() {
    this->arrivals_end =
        this->clock.Now() + seconds(absl::GetFlag(FLAGS_seconds));
    this->ScheduleNext();
    this->RunUntil([this] {
      return this->clock.Now() >= this->arrivals_end && this->open_jobs == 0;
    });
    this->FetchStarts();
    this->RunUntil([this] { return this->open_fetches == 0; });
    return this->Report();
  }

 private:
  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) g_main_context_iteration(nullptr, TRUE);
  }

  double RandomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  void Call(const char* method, const std::string& address,
            const std::string& target, const std::string& body, Reply done) {
    const std::string uri = "http://" + address + target;
    SoupMessage* message = soup_message_new(method, uri.c_str());
    if (!body.empty()) {
      GBytes* bytes = g_bytes_new(body.data(), body.size());
      soup_message_set_request_body_from_bytes(message, "application/json",
                                               bytes);
      g_bytes_unref(bytes);
    }
    // Lets libsoup reuse connections. A resend by libsoup is safe, since every
    // job has a key.
    soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
    soup_session_send_and_read_async(this->session, message, G_PRIORITY_DEFAULT,
                                     nullptr, OnReply,
                                     new PendingCall{message, std::move(done)});
  }

  void ScheduleNext() {
    if (this->clock.Now() >= this->arrivals_end) return;
    const double mean_us = 1e6 / absl::GetFlag(FLAGS_jobs_per_second);
    const auto wait = static_cast<base::Duration::rep>(
        -mean_us * std::log(1 - this->RandomFraction()));
    this->clock.StartTimer(base::Duration(wait), [this] {
      if (this->clock.Now() >= this->arrivals_end) return;
      this->OnArrival();
      this->ScheduleNext();
    });
  }

  std::string RandomEntry() {
    return this->entries[this->random() % this->entries.size()];
  }

  void OnArrival() {
    ++this->open_jobs;
    const std::string entry = RandomEntry();
    const auto found = this->prefixes.find(entry);
    if (found != this->prefixes.end()) {
      this->SubmitJob(found->second, entry);
      return;
    }
    this->Call("GET", entry, "/v1/prefix", "",
               [this, entry](guint status, const std::string& body) {
                 wire::PrefixAnswer answer;
                 if (status != 200 || !wire::FromJson(body, answer)) {
                   ++this->no_prefix;
                   --this->open_jobs;
                   return;
                 }
                 this->SubmitJob(answer.prefix(), entry);
               });
  }

  void SubmitJob(const std::string& prefix, const std::string& entry) {
    const std::string key = fmt::format(
        "{}d{}-{}", prefix, absl::GetFlag(FLAGS_seed), ++this->last_job);
    SubmittedJob& job = this->jobs[key];
    job.request.set_key(key);
    job.request.set_team(absl::GetFlag(FLAGS_team));
    job.request.set_service(absl::GetFlag(FLAGS_service));
    job.request.set_timeout_ms(
        static_cast<std::uint32_t>(absl::GetFlag(FLAGS_timeout_ms)));
    for (int i = 0; i < absl::GetFlag(FLAGS_tasks); ++i) {
      const double run_ms =
          absl::GetFlag(FLAGS_run_ms) * 2 * this->RandomFraction();
      job.ideal_ms = std::max(job.ideal_ms, run_ms);
      wire::TaskSpec* task = job.request.add_tasks();
      task->set_payload(fmt::format("run={:.1f};say={}#{}", run_ms, key, i));
      task->set_run_time_ms(static_cast<std::uint32_t>(run_ms));
    }
    job.sent_at = this->clock.Now();
    this->Send(key, entry);
    if (this->RandomFraction() < absl::GetFlag(FLAGS_resubmit)) {
      this->Send(key, RandomEntry());
    }
  }

  void Send(const std::string& key, const std::string& entry) {
    SubmittedJob& job = this->jobs[key];
    ++job.sends;
    this->Call("POST", entry,
               fmt::format("/v1/jobs?wait_ms={}",
                           absl::GetFlag(FLAGS_timeout_ms) + 1000),
               wire::ToJson(job.request),
               [this, key, entry](guint, const std::string& body) {
                 this->OnAnswer(key, entry, body);
               });
  }

  void OnAnswer(const std::string& key, const std::string& entry,
                const std::string& body) {
    SubmittedJob& job = this->jobs[key];
    wire::JobAnswer answer;
    const bool parsed =
        !body.empty() && wire::FromJson(body, answer).HasValue();
    if (parsed) {
      job.answers.push_back(answer);
      if (answer.state() == wire::FAILED) {
        ++this->failure_kinds[answer.failure().kind()];
      }
      this->LearnPrefix(entry, answer.next_prefix());
    } else {
      fmt::print("no answer for {} from {}: '{}'\n", key, entry,
                 body.substr(0, 200));
      this->prefixes.erase(entry);
    }
    const bool settled =
        parsed && answer.failure().kind() != "home_unreachable";
    if (job.done) return;
    if (!settled && job.sends < kMaxSends) {
      this->clock.StartTimer(kResendDelay,
                             [this, key] { this->Send(key, RandomEntry()); });
      return;
    }
    job.done = true;
    --this->open_jobs;
    if (answer.state() != wire::COMPLETE) return;
    const double elapsed_ms =
        double((this->clock.Now() - job.sent_at).count()) /
        kMicrosecondsPerMillisecond;
    this->response_ms.push_back(elapsed_ms);
    this->ratios.push_back(elapsed_ms / job.ideal_ms);
  }

  void LearnPrefix(const std::string& entry, const std::string& prefix) {
    if (prefix.empty()) return;
    this->prefixes[entry] = prefix;
  }

  void FetchStarts() {
    for (const std::string& control : absl::GetFlag(FLAGS_controls)) {
      ++this->open_fetches;
      this->Call(
          "GET", control, "/starts", "",
          [this](guint, const std::string& body) {
            for (const absl::string_view line : absl::StrSplit(body, '\n')) {
              const std::vector<std::string> parts = absl::StrSplit(line, ' ');
              std::uint32_t count = 0;
              if (parts.size() == 2 && absl::SimpleAtoi(parts[1], &count)) {
                this->starts[parts[0]] += count;
              }
            }
            --this->open_fetches;
          });
    }
  }

  std::uint32_t StartsOf(const std::string& key, int index) const {
    const auto found = this->starts.find(fmt::format("{}#{}", key, index));
    return found == this->starts.end() ? 0 : found->second;
  }

  void ReportViolation(const std::string& description) {
    ++this->violations;
    fmt::print("BROKEN {}\n", description);
  }

  void CheckJob(const std::string& key, const SubmittedJob& job) {
    std::uint32_t started = 0;
    for (int i = 0; i < job.request.tasks_size(); ++i) {
      const std::uint32_t starts = this->StartsOf(key, i);
      if (starts > 1)
        ReportViolation(
            fmt::format("{}#{} was started {} times", key, i, starts));
      started += starts;
    }
    for (const wire::JobAnswer& answer : job.answers) {
      if (answer.state() == wire::COMPLETE) {
        bool matches = answer.results_size() == job.request.tasks_size();
        for (int i = 0; matches && i < answer.results_size(); ++i) {
          matches = answer.results(i).payload() == fmt::format("{}#{}", key, i);
        }
        if (!matches)
          ReportViolation(key + " received incomplete or mismatched results");
        continue;
      }
      if (answer.failure().execution() == wire::NOT_RUN && started > 0) {
        ReportViolation(key +
                        " was reported as not run although tasks started");
      }
    }
  }

  static double Quantile(std::vector<double>& values, double probability) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(
        probability * static_cast<double>(values.size() - 1))];
  }

  int Report() {
    std::uint64_t complete = 0;
    std::uint64_t not_run = 0;
    std::uint64_t may_have_run = 0;
    std::uint64_t unanswered = 0;
    for (const auto& [key, job] : this->jobs) {
      this->CheckJob(key, job);
      if (job.answers.empty()) {
        ++unanswered;
        continue;
      }
      const wire::JobAnswer& last = job.answers.back();
      if (last.state() == wire::COMPLETE) {
        ++complete;
      } else {
        ++(last.failure().execution() == wire::NOT_RUN ? not_run
                                                       : may_have_run);
      }
    }
    fmt::print(
        "jobs={} complete={} not_run={} may_have_run={} unanswered={} "
        "no_prefix={} p50_ms={:.1f} p99_ms={:.1f} ratio_p50={:.3f} "
        "ratio_p99={:.3f} tasks_started={} broken={}\n",
        this->jobs.size(), complete, not_run, may_have_run, unanswered,
        this->no_prefix, Quantile(this->response_ms, 0.5),
        Quantile(this->response_ms, 0.99), Quantile(this->ratios, 0.5),
        Quantile(this->ratios, 0.99), this->starts.size(), this->violations);
    for (const auto& [kind, count] : this->failure_kinds) {
      fmt::print("  {}={}\n", kind, count);
    }
    return this->violations == 0 && complete > 0 ? 0 : 1;
  }

  base::GlibClock clock;
  std::mt19937_64 random;
  SoupSession* session = nullptr;
  std::vector<std::string> entries;
  base::TimePoint arrivals_end;
  std::uint64_t last_job = 0;
  std::uint64_t open_jobs = 0;
  std::uint64_t open_fetches = 0;
  std::uint64_t no_prefix = 0;
  std::uint64_t violations = 0;
  std::map<std::string, std::string> prefixes;
  std::unordered_map<std::string, SubmittedJob> jobs;
  std::unordered_map<std::string, std::uint32_t> starts;
  std::map<std::string, std::uint64_t> failure_kinds;
  std::vector<double> response_ms;
  std::vector<double> ratios;
};

}  // namespace
}  // namespace hawthornwheel::bench

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  hawthornwheel::bench::Driver driver;
  return driver.Run();
}
