#include "dispatch/forwarding_job_service.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

#include "base/metrics.h"
#include "dispatch/failure.h"
#include "dispatch/submission_key.h"
#include "fleet/peer_messenger.h"

namespace hawthornwheel::dispatch {
namespace {

using base::Error;
using base::ErrorKind;
using std::chrono::milliseconds;

std::uint32_t ToMilliseconds(base::Duration wait) {
  return static_cast<std::uint32_t>(wait / milliseconds(1));
}

}  // namespace

ForwardingJobService::ForwardingJobService(JobService& local,
                                           fleet::PeerMessenger& messenger,
                                           const fleet::FleetBoard& fleet_board,
                                           base::Metrics& metrics,
                                           const DispatchSettings& settings)
    : local(local),
      messenger(messenger),
      fleet_board(fleet_board),
      metrics(metrics),
      settings(settings) {
  const auto serve = [this](const wire::Envelope& request) {
    this->Serve(request);
  };
  this->messenger.SetHandler(wire::Envelope::kSubmit, serve);
  this->messenger.SetHandler(wire::Envelope::kQuery, serve);
  this->messenger.SetHandler(wire::Envelope::kCancel, serve);
}

void ForwardingJobService::Submit(const wire::SubmitRequest& request,
                                  base::Duration wait, AnswerCallback done) {
  if (this->IsLocal(request.key())) {
    this->local.Submit(request, wait, std::move(done));
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
    this->local.Query(key, wait, std::move(done));
    return;
  }
  wire::Envelope envelope;
  envelope.mutable_query()->set_key(key);
  envelope.mutable_query()->set_wait_ms(ToMilliseconds(wait));
  this->Forward(key, std::move(envelope), wait, std::move(done));
}

void ForwardingJobService::Cancel(const std::string& key, AnswerCallback done) {
  if (this->IsLocal(key)) {
    this->local.Cancel(key, std::move(done));
    return;
  }
  wire::Envelope envelope;
  envelope.mutable_cancel()->set_key(key);
  this->Forward(key, std::move(envelope), base::Duration{0}, std::move(done));
}

std::string ForwardingJobService::CurrentPrefix() const {
  return this->local.CurrentPrefix();
}

bool ForwardingJobService::IsReady() const { return this->local.IsReady(); }

bool ForwardingJobService::IsLocal(const std::string& key) const {
  const auto parsed = SubmissionKey::Parse(key);
  // The local service refuses malformed keys.
  return !parsed || parsed->home == this->fleet_board.self.incarnation();
}

void ForwardingJobService::Forward(const std::string& key,
                                   wire::Envelope envelope, base::Duration wait,
                                   AnswerCallback done) {
  this->metrics.Count("jobs.forwards");
  const std::string home = SubmissionKey::Parse(key)->home;
  const auto fail = [this, key, done](const std::string& detail) {
    this->metrics.Count("refusals.home_unreachable");
    wire::JobAnswer answer = MakeFailedAnswer(
        key, Error(ErrorKind::kHomeUnreachable, detail, "key"), true);
    answer.set_next_prefix(this->CurrentPrefix());
    done(answer);
  };
  const auto member = this->fleet_board.members.find(home);
  if (member == this->fleet_board.members.end()) {
    fail(fmt::format("process '{}' is not known", home));
    return;
  }
  this->messenger.Request(
      member->second.announce.peer_address(), std::move(envelope),
      wait + this->settings.forward_grace,
      [this, done, fail](const base::Result<wire::Envelope>& result) {
        if (!result) {
          fail(result.GetError().detail);
          return;
        }
        if (!result->has_answer()) {
          fail("the process gave no answer");
          return;
        }
        wire::JobAnswer answer = result->answer().answer();
        // The caller is connected to this process, so keys of its next jobs get
        // this process as their home.
        answer.set_next_prefix(this->CurrentPrefix());
        done(answer);
      });
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
    this->local.Submit(request.submit().request(),
                       milliseconds(request.submit().wait_ms()), reply);
  } else if (request.has_query()) {
    this->local.Query(key, milliseconds(request.query().wait_ms()), reply);
  } else {
    this->local.Cancel(key, reply);
  }
}

void ForwardingJobService::ReplyWithAnswer(const wire::Envelope& request,
                                           const wire::JobAnswer& answer) {
  wire::Envelope envelope;
  *envelope.mutable_answer()->mutable_answer() = answer;
  this->messenger.Reply(request, std::move(envelope));
}

}  // namespace hawthornwheel::dispatch
