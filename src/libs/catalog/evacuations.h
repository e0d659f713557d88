#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "catalog/metadata_store.h"

namespace hawthornwheel::catalog {

/// Holds the set of evacuated failure domains. The set is a function of the
/// configuration topic up to an offset, so of two processes the one that knows
/// the topic up to the higher offset is right. Records, snapshots and sets of
/// peers that cover less than is known here have no effect.
class Evacuations {
 public:
  /// Holds a record about one domain.
  struct Record {
    std::string domain;
    /// False when the record takes the domain back into use.
    bool evacuated = false;
    std::uint64_t offset = 0;
  };

  const std::set<std::string>& Domains() const { return this->domains; }
  bool Contains(const std::string& domain) const {
    return this->domains.contains(domain);
  }

  /// Returns the offset up to which the set is announced to peers; 0 when no
  /// evacuation has been seen.
  std::uint64_t Revision() const { return this->revision; }

  /// Returns the offset up to which the set is known, by the own reads of the
  /// store or by peers. At least Revision().
  std::uint64_t KnownOffset() const { return this->known_offset; }

  /// Applies records that were read from the store, up to `next_offset`.
  void ApplyRecords(const std::vector<Record>& records,
                    std::uint64_t next_offset);

  /// Applies a read of the newest records of all keys; `listed` are the domains
  /// that it shows as evacuated.
  void ApplySnapshot(std::set<std::string> listed, std::uint64_t end_offset);

  /// Applies the set that a peer announces under `peer_revision`.
  void ApplyPeer(std::set<std::string> peer_domains,
                 std::uint64_t peer_revision);

  /// Raises the revision above `peer_revision` when the topic is known further
  /// here than at a peer that announces that revision. Otherwise a peer without
  /// access to the store would keep a set that was removed before this process
  /// started, since this process has seen no change.
  void Supersede(std::uint64_t peer_revision);

 private:
  std::set<std::string> domains;
  std::uint64_t revision = 0;
  std::uint64_t known_offset = 0;
};

}  // namespace hawthornwheel::catalog
