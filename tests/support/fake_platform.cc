#include "support/fake_platform.h"

#include <utility>

namespace hawthornwheel::testing {
namespace {

using base::Error;
using base::ErrorKind;

constexpr base::Duration kShortestDelay{500};
constexpr base::Duration kTimeout{2'000'000};
constexpr int kRecordsPerBatch = 64;

Error Unavailable() {
  return {ErrorKind::kLogUnavailable, "the platform did not answer"};
}

}  // namespace

FakePlatformClient::FakePlatformClient(FakePlatform& platform,
                                       base::Clock& shared,
                                       ProcessClock& process, Random& random,
                                       std::string domain)
    : platform(platform),
      shared(shared),
      process(process),
      random(random),
      domain(std::move(domain)) {}

bool FakePlatformClient::IsReachable() const {
  return !this->platform.down &&
         !this->platform.partitioned_domains.contains(this->domain);
}

void FakePlatformClient::Later(std::function<void()> callback) {
  this->shared.StartTimer(
      this->random.Between(kShortestDelay, this->platform.max_delay),
      std::move(callback));
}

void FakePlatformClient::Append(
    const wire::LogRecord& record,
    std::function<void(base::Result<std::uint64_t>)> done) {
  struct Call {
    FakePlatform& platform;
    base::Clock& shared;
    ProcessClock::Runner run;
    bool reachable;
    bool lose;
  };
  const Call call{this->platform, this->shared, this->process.GetRunner(),
                  this->IsReachable(),
                  this->random.Chance(this->platform.lost_answers)};
  // The append takes effect even when its process dies meanwhile.
  this->Later([call, record, done] {
    const auto fail = [call, done] {
      call.run([done] { done(Unavailable()); });
    };
    if (!call.reachable || call.platform.down) {
      call.shared.StartTimer(kTimeout, fail);
      return;
    }
    const std::uint64_t offset = call.platform.log.Append(
        record.SerializeAsString(), call.shared.WallMilliseconds());
    if (call.lose) {
      call.shared.StartTimer(kTimeout, fail);
      return;
    }
    call.run([done, offset] { done(offset); });
  });
}

void FakePlatformClient::Read(
    std::uint64_t offset,
    std::function<void(base::Result<control_log::LogBatch>)> done) {
  const auto answer = this->process.Guard([this, offset, done] {
    if (!this->IsReachable()) {
      done(Unavailable());
      return;
    }
    this->platform.log.Expire(this->shared.WallMilliseconds());
    done(this->platform.log.Read(offset, kRecordsPerBatch));
  });
  this->Later(answer);
}

void FakePlatformClient::Fetch(
    std::uint64_t known_version,
    std::function<void(base::Result<wire::VmList>)> done) {
  static_cast<void>(known_version);
  const auto answer = this->process.Guard([this, done] {
    if (!this->IsReachable() || !this->vm_list_reachable) {
      done(Unavailable());
      return;
    }
    done(this->platform.vms);
  });
  this->Later(answer);
}

}  // namespace hawthornwheel::testing
