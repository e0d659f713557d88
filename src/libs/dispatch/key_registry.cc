#include "dispatch/key_registry.h"

#include <fmt/format.h>

#include <utility>

namespace hawthornwheel::dispatch {

KeyRegistry::KeyRegistry(const base::Clock& clock, std::string home,
                         base::Duration epoch_length, std::uint64_t epochs)
    : clock(clock),
      home(std::move(home)),
      epoch_length(epoch_length),
      epochs(epochs),
      started_at(clock.Now()) {}

std::string KeyRegistry::CurrentPrefix() const {
  return fmt::format("{}/{}/", this->home, this->CurrentEpoch());
}

SubmissionKey KeyRegistry::Mint() {
  return {this->home, this->CurrentEpoch(),
          fmt::format("auto-{}", ++this->minted)};
}

KeyStanding KeyRegistry::Check(const SubmissionKey& key) {
  this->ForgetOld();
  if (key.home != this->home) return KeyStanding::kForeign;
  if (key.epoch > this->CurrentEpoch()) return KeyStanding::kForeign;
  if (key.epoch < this->OldestEpoch()) return KeyStanding::kExpired;
  return this->Find(key) == nullptr ? KeyStanding::kFresh : KeyStanding::kKnown;
}

const KeyRegistry::Entry* KeyRegistry::Find(const SubmissionKey& key) const {
  if (key.home != this->home || key.epoch < this->first_epoch) return nullptr;
  const std::uint64_t index = key.epoch - this->first_epoch;
  if (index >= this->remembered.size()) return nullptr;
  const Epoch& epoch = this->remembered[index];
  const auto found = epoch.find(key.caller_part);
  return found == epoch.end() ? nullptr : &found->second;
}

void KeyRegistry::Remember(const SubmissionKey& key, Entry entry) {
  const std::uint64_t index = key.epoch - this->first_epoch;
  while (this->remembered.size() <= index) this->remembered.emplace_back();
  this->remembered[index][key.caller_part] = entry;
}

std::size_t KeyRegistry::Size() const {
  std::size_t size = 0;
  for (const Epoch& epoch : this->remembered) size += epoch.size();
  return size;
}

std::uint64_t KeyRegistry::CurrentEpoch() const {
  // Epoch 0 is never current, so that a parsed default is never valid.
  return 1 + static_cast<std::uint64_t>((this->clock.Now() - this->started_at) /
                                        this->epoch_length);
}

std::uint64_t KeyRegistry::OldestEpoch() const {
  const std::uint64_t current = this->CurrentEpoch();
  return current > this->epochs ? current - this->epochs : 1;
}

void KeyRegistry::ForgetOld() {
  const std::uint64_t oldest = this->OldestEpoch();
  while (this->first_epoch < oldest) {
    if (!this->remembered.empty()) this->remembered.pop_front();
    ++this->first_epoch;
  }
}

}  // namespace hawthornwheel::dispatch
