#include "support/fake_platform.h"

#include <utility>

namespace hawthornwheel::testing {
namespace {

using base::Error;
using base::ErrorKind;

constexpr base::Duration kMinDelay{500};
constexpr base::Duration kTimeout{2'000'000};
constexpr int kRecordsPerBatch = 64;

Error Unavailable() {
  return {ErrorKind::kLogUnavailable, "the platform did not answer"};
}

}  // namespace

FakePlatformClient::FakePlatformClient(FakePlatform& platform,
                                       base::Clock& shared_clock,
                                       ProcessClock& process_clock,
                                       Random& random, std::string domain)
    : platform(platform),
      shared_clock(shared_clock),
      process_clock(process_clock),
      random(random),
      domain(std::move(domain)) {}

bool FakePlatformClient::IsReachable() const {
  return !this->platform.down &&
         !this->platform.partitioned_domains.contains(this->domain);
}

void FakePlatformClient::RunDelayed(std::function<void()> callback) {
  this->shared_clock.StartTimer(
      this->random.Between(kMinDelay, this->platform.max_delay),
      std::move(callback));
}

void FakePlatformClient::Append(
    const wire::LogRecord& record,
    std::function<void(base::Result<std::uint64_t>)> done) {
  struct Call {
    FakePlatform& platform;
    base::Clock& shared_clock;
    ProcessClock::Runner run;
    bool reachable;
    bool answer_lost;
  };
  const Call call{this->platform, this->shared_clock,
                  this->process_clock.GetRunner(), this->IsReachable(),
                  this->random.Chance(this->platform.lost_answers)};
  // The append takes effect even when its process is killed in the meantime.
  this->RunDelayed([call, record, done] {
    const auto fail = [call, done] {
      call.run([done] { done(Unavailable()); });
    };
    if (!call.reachable || call.platform.down) {
      call.shared_clock.StartTimer(kTimeout, fail);
      return;
    }
    const std::uint64_t offset = call.platform.log.Append(
        record.SerializeAsString(), call.shared_clock.WallMilliseconds());
    if (call.answer_lost) {
      call.shared_clock.StartTimer(kTimeout, fail);
      return;
    }
    call.run([done, offset] { done(offset); });
  });
}

void FakePlatformClient::Read(
    std::uint64_t offset,
    std::function<void(base::Result<control_log::LogBatch>)> done) {
  const auto answer = this->process_clock.Guard([this, offset, done] {
    if (!this->IsReachable()) {
      done(Unavailable());
      return;
    }
    this->platform.log.Expire(this->shared_clock.WallMilliseconds());
    done(this->platform.log.Read(offset, kRecordsPerBatch));
  });
  this->RunDelayed(answer);
}

void FakePlatformClient::Fetch(
    std::uint64_t known_version,
    std::function<void(base::Result<wire::VmList>)> done) {
  static_cast<void>(known_version);
  const auto answer = this->process_clock.Guard([this, done] {
    if (!this->IsReachable() || !this->vm_list_reachable) {
      done(Unavailable());
      return;
    }
    done(this->platform.vms);
  });
  this->RunDelayed(answer);
}

}  // namespace hawthornwheel::testing
