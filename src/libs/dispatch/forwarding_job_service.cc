#include "dispatch/forwarding_job_service.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

#include "base/metrics.h"
#include "base/timer.h"
#include "dispatch/failure.h"
#include "dispatch/submission_key.h"
#include "fleet/membership_controller.h"
#include "fleet/peer_messenger.h"

namespace hawthornwheel::dispatch {
namespace {

using base::Error;
using base::ErrorKind;
using std::chrono::milliseconds;

// Interval of the probes of a home whose answer is awaited.
constexpr base::Duration kProbeInterval = milliseconds(1'000);
// Time in which a home answers a probe, which does not wait for the job.
constexpr base::Duration kProbeTimeout = milliseconds(1'000);

std::uint32_t ToMilliseconds(base::Duration wait) {
  return static_cast<std::uint32_t>(wait / milliseconds(1));
}

}  // namespace

struct ForwardingJobService::ForwardedCall {
  ForwardedCall(base::Clock& clock, std::string key, std::string address,
                AnswerCallback done)
      : key(std::move(key)),
        address(std::move(address)),
        done(std::move(done)),
        probe_timer(clock) {}

  std::string key;
  /// Peer address of the home.
  std::string address;
  AnswerCallback done;
  bool answered = false;
  base::Timer probe_timer;
};

ForwardingJobService::ForwardingJobService(const Parts& parts) : parts(parts) {
  const auto serve = [this](const wire::Envelope& request) {
    this->Serve(request);
  };
  this->parts.messenger.SetHandler(wire::Envelope::kSubmit, serve);
  this->parts.messenger.SetHandler(wire::Envelope::kQuery, serve);
  this->parts.messenger.SetHandler(wire::Envelope::kCancel, serve);
}

ForwardingJobService::~ForwardingJobService() = default;

void ForwardingJobService::Submit(const wire::SubmitRequest& request,
                                  base::Duration wait, AnswerCallback done) {
  if (this->IsLocal(request.key())) {
    this->parts.local.Submit(request, wait, std::move(done));
    return;
  }
  wire::Envelope envelope;
  *envelope.mutable_submit()->mutable_request() = request;
  envelope.mutable_submit()->set_wait_ms(ToMilliseconds(wait));
  this->Forward(request.key(), std::move(envelope), wait, std::move(done));
}

void ForwardingJobService::Query(const std::string& key, base::Duration wait,
                                 AnswerCallback done) {
  if (this->IsLocal(key)) {
    this->parts.local.Query(key, wait, std::move(done));
    return;
  }
  wire::Envelope envelope;
  envelope.mutable_query()->set_key(key);
  envelope.mutable_query()->set_wait_ms(ToMilliseconds(wait));
  this->Forward(key, std::move(envelope), wait, std::move(done));
}

void ForwardingJobService::Cancel(const std::string& key, AnswerCallback done) {
  if (this->IsLocal(key)) {
    this->parts.local.Cancel(key, std::move(done));
    return;
  }
  wire::Envelope envelope;
  envelope.mutable_cancel()->set_key(key);
  this->Forward(key, std::move(envelope), base::Duration{0}, std::move(done));
}

std::string ForwardingJobService::CurrentPrefix() const {
  return this->parts.local.CurrentPrefix();
}

bool ForwardingJobService::IsReady() const {
  return this->parts.local.IsReady();
}

bool ForwardingJobService::IsLocal(const std::string& key) const {
  const auto parsed = SubmissionKey::Parse(key);
  // The local service refuses malformed keys.
  return !parsed || parsed->home == this->parts.fleet_board.self.incarnation();
}

void ForwardingJobService::Forward(const std::string& key,
                                   wire::Envelope envelope, base::Duration wait,
                                   AnswerCallback done) {
  this->parts.metrics.Count("jobs.forwards");
  const std::string home = SubmissionKey::Parse(key)->home;
  const auto found = this->parts.fleet_board.members.find(home);
  const fleet::Member* member =
      found == this->parts.fleet_board.members.end() ? nullptr : &found->second;
  const auto call = std::make_shared<ForwardedCall>(
      this->parts.clock, key,
      member == nullptr ? "" : member->announce.peer_address(),
      std::move(done));
  if (member == nullptr) {
    this->Fail(*call, fmt::format("process '{}' is not known", home));
    return;
  }
  // A process that leaves answers for its jobs until it stops.
  const bool lost = member->heartbeat_received && !member->left &&
                    !this->parts.membership.IsLive(*member);
  if (lost) {
    this->Fail(*call, fmt::format("process '{}' is lost", home));
    return;
  }
  this->parts.messenger.Request(
      call->address, std::move(envelope),
      wait + this->parts.settings.forward_grace,
      [this, call](const base::Result<wire::Envelope>& result) {
        if (call->answered) return;
        if (!result) {
          this->Fail(*call, result.GetError().detail);
          return;
        }
        if (!result->has_answer()) {
          this->Fail(*call, "the process gave no answer");
          return;
        }
        this->Complete(*call, result->answer().answer());
      });
  this->Probe(call);
}

// Asks the home for the state of the job without waiting for its end.
void ForwardingJobService::Probe(const CallPointer& call) {
  if (call->answered) return;
  wire::Envelope envelope;
  envelope.mutable_query()->set_key(call->key);
  this->parts.messenger.Request(
      call->address, std::move(envelope), kProbeTimeout,
      [this, call](const base::Result<wire::Envelope>& result) {
        if (call->answered) return;
        if (!result) {
          this->Fail(*call, result.GetError().detail);
          return;
        }
        // The call owns the timer, so the callback must not own the call.
        const std::weak_ptr<ForwardedCall> weak = call;
        call->probe_timer.StartOnce(kProbeInterval, [this, weak] {
          if (const CallPointer locked = weak.lock()) this->Probe(locked);
        });
      });
}

void ForwardingJobService::Complete(ForwardedCall& call,
                                    wire::JobAnswer answer) {
  call.answered = true;
  call.probe_timer.Stop();
  // The caller is connected to this process, so keys of its next jobs get this
  // process as their home.
  answer.set_next_prefix(this->CurrentPrefix());
  call.done(answer);
}

void ForwardingJobService::Fail(ForwardedCall& call,
                                const std::string& detail) {
  this->parts.metrics.Count("refusals.home_unreachable");
  this->Complete(
      call,
      MakeFailedAnswer(
          call.key, Error(ErrorKind::kHomeUnreachable, detail, "key"), true));
}

void ForwardingJobService::Serve(const wire::Envelope& request) {
  const auto reply = [this, request](const wire::JobAnswer& answer) {
    this->ReplyWithAnswer(request, answer);
  };
  std::string key;
  if (request.has_submit()) key = request.submit().request().key();
  if (request.has_query()) key = request.query().key();
  if (request.has_cancel()) key = request.cancel().key();
  // The message may be addressed to an earlier process at this address.
  if (!this->IsLocal(key)) {
    reply(MakeFailedAnswer(key,
                           Error(ErrorKind::kHomeUnreachable,
                                 "another process took over its address"),
                           true));
    return;
  }
  if (request.has_submit()) {
    this->parts.local.Submit(request.submit().request(),
                             milliseconds(request.submit().wait_ms()), reply);
  } else if (request.has_query()) {
    this->parts.local.Query(key, milliseconds(request.query().wait_ms()),
                            reply);
  } else {
    this->parts.local.Cancel(key, reply);
  }
}

void ForwardingJobService::ReplyWithAnswer(const wire::Envelope& request,
                                           const wire::JobAnswer& answer) {
  wire::Envelope envelope;
  *envelope.mutable_answer()->mutable_answer() = answer;
  this->parts.messenger.Reply(request, std::move(envelope));
}

}  // namespace hawthornwheel::dispatch
