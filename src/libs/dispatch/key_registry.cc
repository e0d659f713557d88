#include "dispatch/key_registry.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <utility>

namespace hawthornwheel::dispatch {
namespace {

std::uint64_t HashOf(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

KeyRegistry::KeyRegistry(const base::Clock& clock, std::string home,
                         base::Duration epoch_length, std::uint64_t epochs,
                         std::size_t max_keys)
    : clock(clock),
      home(std::move(home)),
      epoch_length(epoch_length),
      epochs(epochs),
      max_keys(max_keys),
      started_at(clock.Now()) {}

std::string KeyRegistry::CurrentPrefix() const {
  return fmt::format("{}/{}/", this->home, this->CurrentEpoch());
}

SubmissionKey KeyRegistry::Mint() {
  return {this->home, this->CurrentEpoch(),
          fmt::format("auto-{}", ++this->minted)};
}

KeyStatus KeyRegistry::Check(const SubmissionKey& key) {
  this->ForgetExpiredEpochs();
  if (key.home != this->home) return KeyStatus::kForeign;
  if (key.epoch > this->CurrentEpoch()) return KeyStatus::kForeign;
  if (key.epoch < this->first_epoch) return KeyStatus::kExpired;
  if (this->Find(key) != nullptr) return KeyStatus::kKnown;
  const Epoch* epoch = this->FindEpoch(key.epoch);
  const bool sealed =
      epoch != nullptr && epoch->sealed.contains(HashOf(key.caller_part));
  return sealed ? KeyStatus::kSealed : KeyStatus::kFresh;
}

const KeyRegistry::Entry* KeyRegistry::Find(const SubmissionKey& key) const {
  const Epoch* epoch = this->FindEpoch(key.epoch);
  if (epoch == nullptr) return nullptr;
  const auto found = epoch->entries.find(key.caller_part);
  return found == epoch->entries.end() ? nullptr : &found->second;
}

void KeyRegistry::Remember(const SubmissionKey& key, Entry entry) {
  this->FindOrCreateEpoch(key.epoch).entries[key.caller_part] = entry;
  ++this->size;
}

void KeyRegistry::Seal(const SubmissionKey& key, base::ErrorKind reason) {
  this->FindOrCreateEpoch(key.epoch).sealed.emplace(HashOf(key.caller_part),
                                                    reason);
  ++this->size;
}

base::ErrorKind KeyRegistry::SealReason(const SubmissionKey& key) const {
  const Epoch* epoch = this->FindEpoch(key.epoch);
  if (epoch == nullptr) return base::ErrorKind::kKeyExpired;
  const auto found = epoch->sealed.find(HashOf(key.caller_part));
  return found == epoch->sealed.end() ? base::ErrorKind::kKeyExpired
                                      : found->second;
}

std::size_t KeyRegistry::Size() const { return this->size; }

KeyRegistry::Epoch* KeyRegistry::FindEpoch(std::uint64_t number) {
  if (number < this->first_epoch) return nullptr;
  const std::uint64_t index = number - this->first_epoch;
  return index < this->remembered.size() ? &this->remembered[index] : nullptr;
}

const KeyRegistry::Epoch* KeyRegistry::FindEpoch(std::uint64_t number) const {
  return const_cast<KeyRegistry*>(this)->FindEpoch(number);
}

KeyRegistry::Epoch& KeyRegistry::FindOrCreateEpoch(std::uint64_t number) {
  while (this->size >= this->max_keys && this->first_epoch < number) {
    this->ForgetFirstEpoch();
  }
  while (this->FindEpoch(number) == nullptr) this->remembered.emplace_back();
  return *this->FindEpoch(number);
}

void KeyRegistry::ForgetFirstEpoch() {
  if (!this->remembered.empty()) {
    const Epoch& first = this->remembered.front();
    this->size -= first.entries.size() + first.sealed.size();
    this->remembered.pop_front();
  }
  ++this->first_epoch;
}

std::uint64_t KeyRegistry::CurrentEpoch() const {
  // Epochs count from 1. Epoch 0 is never current, so that a
  // default-constructed key is never valid.
  return 1 + static_cast<std::uint64_t>((this->clock.Now() - this->started_at) /
                                        this->epoch_length);
}

std::uint64_t KeyRegistry::OldestRememberedEpoch() const {
  const std::uint64_t current = this->CurrentEpoch();
  return current > this->epochs ? current - this->epochs : 1;
}

void KeyRegistry::ForgetExpiredEpochs() {
  const std::uint64_t oldest = this->OldestRememberedEpoch();
  while (this->first_epoch < oldest) this->ForgetFirstEpoch();
}

}  // namespace hawthornwheel::dispatch
