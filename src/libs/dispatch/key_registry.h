#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "base/error_kind.h"
#include "dispatch/submission_key.h"

namespace hawthornwheel::dispatch {

/// Internal number of a job in this process; 0 names none.
using JobId = std::uint64_t;

/// What the registry knows of a key.
enum class KeyStatus {
  /// Never seen, of an epoch that is remembered: the job may be admitted.
  kFresh,
  /// Seen before.
  kKnown,
  /// Of an epoch that is no longer remembered.
  kExpired,
  /// Refused before it was admitted, and never to be admitted.
  kSealed,
  /// Of another home, or of an epoch that has not begun.
  kForeign,
};

/// Remembers the submission keys of the latest epochs of this incarnation, so
/// that no key is admitted twice, and none after it was refused. Memory is
/// bounded by the number of epochs and of keys: above `max_keys` the oldest
/// epoch is forgotten early, which makes its keys expired.
class KeyRegistry {
 public:
  /// A key that was admitted.
  struct Entry {
    JobId job = 0;
    std::uint64_t fingerprint = 0;
  };

  /// `clock` must outlive the registry. Keys are remembered for `epochs` whole
  /// epochs beside the current one.
  KeyRegistry(const base::Clock& clock, std::string home,
              base::Duration epoch_length, std::uint64_t epochs,
              std::size_t max_keys);

  /// `home/epoch/` of the current epoch.
  std::string CurrentPrefix() const;

  /// A new key of the current epoch.
  SubmissionKey Mint();

  /// Standing of a key. Forgets epochs that have passed.
  KeyStatus Check(const SubmissionKey& key);

  /// Entry of a known key, or null.
  const Entry* Find(const SubmissionKey& key) const;

  /// Remembers a fresh key.
  void Remember(const SubmissionKey& key, Entry entry);

  /// Seals a fresh key: it will never be admitted. `reason` is what the caller
  /// was told.
  void Seal(const SubmissionKey& key, base::ErrorKind reason);

  /// Reason of a sealed key.
  base::ErrorKind SealReason(const SubmissionKey& key) const;

  /// Number of keys remembered, sealed ones included.
  std::size_t Size() const;

 private:
  struct Epoch {
    std::unordered_map<std::string, Entry> entries;
    /// By hash of the caller's part. A collision seals a key that was not
    /// refused, which is safe: it is then refused and does not run.
    std::unordered_map<std::uint64_t, base::ErrorKind> sealed;
  };

  Epoch* FindEpoch(std::uint64_t number);
  const Epoch* FindEpoch(std::uint64_t number) const;
  Epoch& FindOrCreateEpoch(std::uint64_t number);
  void ForgetFirstEpoch();
  std::uint64_t CurrentEpoch() const;
  std::uint64_t OldestRememberedEpoch() const;
  void ForgetExpiredEpochs();

  const base::Clock& clock;
  std::string home;
  base::Duration epoch_length;
  std::uint64_t epochs;
  std::size_t max_keys;
  std::size_t size = 0;
  base::TimePoint started_at;
  std::uint64_t minted = 0;
  /// Oldest epoch in `remembered`.
  std::uint64_t first_epoch = 0;
  std::deque<Epoch> remembered;
};

}  // namespace hawthornwheel::dispatch
