#include "catalog/evacuations.h"

#include <algorithm>
#include <utility>

namespace hawthornwheel::catalog {

void Evacuations::ApplyRecords(const std::vector<Record>& records,
                               std::uint64_t next_offset) {
  for (const Record& record : records) {
    if (record.offset < this->known_offset) continue;
    if (record.evacuated) {
      this->domains.insert(record.domain);
    } else if (this->domains.erase(record.domain) == 0 && this->revision == 0) {
      // No evacuation has been seen, so there is nothing to announce.
      continue;
    }
    // Also without a change of the set: a snapshot may have shown the change
    // under an earlier offset, if the record was appended between two pages.
    this->revision = record.offset + 1;
    this->known_offset = this->revision;
  }
  this->known_offset = std::max(this->known_offset, next_offset);
}

void Evacuations::ApplySnapshot(std::set<std::string> listed,
                                std::uint64_t end_offset) {
  if (end_offset < this->known_offset) return;
  this->known_offset = end_offset;
  if (listed == this->domains) return;
  this->domains = std::move(listed);
  this->revision = end_offset;
}

void Evacuations::ApplyPeer(std::set<std::string> peer_domains,
                            std::uint64_t peer_revision) {
  if (peer_revision <= this->known_offset) return;
  this->domains = std::move(peer_domains);
  this->revision = peer_revision;
  this->known_offset = peer_revision;
}

void Evacuations::Supersede(std::uint64_t peer_revision) {
  if (peer_revision <= this->revision) return;
  if (peer_revision >= this->known_offset) return;
  this->revision = this->known_offset;
}

}  // namespace hawthornwheel::catalog
