#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "base/error_kind.h"
#include "dispatch/submission_key.h"

namespace hawthornwheel::dispatch {

/// Identifies a job in this process; 0 means none.
using JobId = std::uint64_t;

/// Status of a submission key in the registry.
enum class KeyStatus {
  /// Unknown key of a remembered epoch: its job may be admitted.
  kFresh,
  /// A job was admitted under this key.
  kKnown,
  /// The key's epoch is no longer remembered.
  kExpired,
  /// A submission with this key was refused, or the key was cancelled before it
  /// was submitted. No job is ever admitted under it.
  kSealed,
  /// The key belongs to another home, or to an epoch that has not begun.
  kForeign,
};

/// Remembers the submission keys of the latest epochs of this incarnation, so
/// that no key is admitted twice or after it was refused. The number of epochs
/// and the number of keys bound the memory: at `max_keys` keys the registry
/// drops its oldest epochs early, and their keys become expired. The epoch of a
/// new key is never dropped, so the keys of one epoch can exceed `max_keys`.
class KeyRegistry {
 public:
  /// Job and request that belong to an admitted key.
  struct Entry {
    JobId job = 0;
    /// Hash of the request; tells a resubmission from a conflicting request.
    std::uint64_t fingerprint = 0;
  };

  /// `clock` must outlive the registry. Keys are remembered for `epochs` full
  /// epochs in addition to the current one.
  KeyRegistry(const base::Clock& clock, std::string home,
              base::Duration epoch_length, std::uint64_t epochs,
              std::size_t max_keys);

  /// Returns the key prefix of the current epoch, `home/epoch/`.
  std::string CurrentPrefix() const;

  /// Returns a new, unique key of the current epoch.
  SubmissionKey Mint();

  /// Returns the status of a key. Drops expired epochs first.
  KeyStatus Check(const SubmissionKey& key);

  /// Returns the entry of a known key, or null.
  const Entry* Find(const SubmissionKey& key) const;

  /// Records that a job was admitted under a fresh key.
  void Remember(const SubmissionKey& key, Entry entry);

  /// Seals a fresh key, so that no job is ever admitted under it. `reason` is
  /// the error that the caller received.
  void Seal(const SubmissionKey& key, base::ErrorKind reason);

  /// Returns the reason for which a key was sealed, or kKeyExpired when the key
  /// is not sealed.
  base::ErrorKind SealReason(const SubmissionKey& key) const;

  /// Returns the number of remembered keys, sealed ones included.
  std::size_t Size() const;

 private:
  struct Epoch {
    std::unordered_map<std::string, Entry> entries;
    /// Reasons by hash of the caller part. A hash collision seals a key that
    /// was not refused. This is safe, because its job is refused and does not
    /// run.
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
  /// Number of the first epoch in `remembered`.
  std::uint64_t first_epoch = 0;
  std::deque<Epoch> remembered;
};

}  // namespace hawthornwheel::dispatch
