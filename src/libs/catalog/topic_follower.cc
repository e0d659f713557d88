#include "catalog/topic_follower.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/logger.h"

namespace hawthornwheel::catalog {
namespace {

using base::Error;
using base::ErrorKind;
using base::Result;
using std::chrono::milliseconds;

constexpr base::Logger kLog("store");

// First and longest delay before a failed read is retried. The first is short,
// since most failures are single lost answers.
constexpr base::Duration kFirstRetry = milliseconds(100);
constexpr base::Duration kLongestRetry = milliseconds(800);

}  // namespace

TopicFollower::TopicFollower(MetadataStore& store, base::Clock& clock,
                             FollowSettings settings, Receiver receiver)
    : store(store),
      clock(clock),
      settings(std::move(settings)),
      receiver(std::move(receiver)),
      timer(clock),
      connection_changed_at(clock.Now()),
      last_read(clock.Now()) {}

void TopicFollower::Start() { this->ReadPage(""); }

void TopicFollower::ReadPage(const std::string& after_key) {
  if (after_key.empty()) this->snapshot_records.clear();
  this->store.ReadNewest(
      this->settings.topic, after_key,
      [this, after_key](const Result<StorePage>& page) {
        if (!page) {
          this->HandleError(page.GetError());
          return;
        }
        this->SetConnected(true, "");
        // Pages are not a consistent snapshot: records that were appended
        // while they were read are read again, from the end offset of the
        // first page.
        if (after_key.empty()) this->next_offset = page->end_offset;
        this->snapshot_records.insert(this->snapshot_records.end(),
                                      page->records.begin(),
                                      page->records.end());
        if (page->has_more && !page->records.empty()) {
          this->ReadPage(page->records.back().key);
          return;
        }
        this->has_snapshot = true;
        this->receiver(this->snapshot_records, true, this->next_offset);
        this->snapshot_records.clear();
        this->ReadRecords();
      });
}

void TopicFollower::ReadRecords() {
  this->store.ReadFrom(
      this->settings.topic, this->next_offset, this->settings.read_wait,
      [this](const Result<std::vector<StoreRecord>>& records) {
        if (!records) {
          this->HandleError(records.GetError());
          return;
        }
        this->SetConnected(true, "");
        if (!records->empty()) {
          this->next_offset = records->back().offset + 1;
        }
        this->receiver(*records, false, this->next_offset);
        if (records->empty() && this->settings.read_wait > base::Duration{0}) {
          this->ReadRecords();
          return;
        }
        this->Pause();
      });
}

void TopicFollower::Pause() {
  this->pausing = true;
  this->timer.StartOnce(this->settings.pause, [this] {
    this->pausing = false;
    this->Continue();
  });
}

void TopicFollower::Continue() {
  this->halted = !this->active;
  if (this->halted) return;
  if (this->has_snapshot) {
    this->ReadRecords();
  } else {
    this->ReadPage("");
  }
}

void TopicFollower::SetActive(bool now_active) {
  this->active = now_active;
  if (this->halted && now_active) this->Continue();
}

void TopicFollower::SetPause(base::Duration pause) {
  if (pause == this->settings.pause) return;
  this->settings.pause = pause;
  if (this->pausing) this->Pause();
}

void TopicFollower::HandleError(const Error& error) {
  if (error.Kind() == ErrorKind::kLogRecordsLost) {
    kLog.Info(
        "Unread records were deleted; reading all keys again. topic={} "
        "offset={}",
        this->settings.name, this->next_offset);
    this->has_snapshot = false;
  } else {
    this->SetConnected(false, error.detail);
  }
  const base::Duration delay =
      std::min(kLongestRetry, kFirstRetry * (1 << std::min(this->failures, 8)));
  ++this->failures;
  this->timer.StartOnce(delay, [this] { this->Continue(); });
}

void TopicFollower::SetConnected(bool now_connected, const std::string& cause) {
  if (now_connected) {
    this->failures = 0;
    this->last_read = this->clock.Now();
  }
  if (this->connected == now_connected) return;
  this->connected = now_connected;
  this->connection_changed_at = this->clock.Now();
  if (now_connected) {
    kLog.Info("Store is reachable. topic={} next_offset={}",
              this->settings.name, this->next_offset);
  } else {
    kLog.Warning("Store is lost. topic={} next_offset={} cause=\"{}\"",
                 this->settings.name, this->next_offset, cause);
  }
}

}  // namespace hawthornwheel::catalog
