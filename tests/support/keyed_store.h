#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "catalog/metadata_store.h"

namespace hawthornwheel::testing {

/// Holds the keyed topics of a test, shared by all its processes.
class KeyedStore {
 public:
  explicit KeyedStore(base::Clock& clock) : clock(clock) {}

  /// Writes a record; an empty value deletes the key.
  void Write(catalog::Topic topic, const std::string& key,
             const std::string& value);

  /// Keeps only the newest record of each key, so that reads from older offsets
  /// fail.
  void Compact(catalog::Topic topic);

  /// Sets whether all calls of the process `client` fail. An empty name stands
  /// for all processes.
  void SetDown(const std::string& client, bool down);
  bool IsDown(const std::string& client) const;

  /// Sets whether all reads of one topic fail.
  void SetTopicDown(catalog::Topic topic, bool is_down);
  bool IsTopicDown(catalog::Topic topic) const {
    return this->topics_down.contains(topic);
  }

  /// Number of reads received, including those that failed.
  std::uint64_t Reads() const { return this->reads; }

 private:
  friend class KeyedStoreClient;

  struct TopicState {
    std::vector<catalog::StoreRecord> records;
    std::map<std::string, catalog::StoreRecord> newest;
    std::uint64_t first = 0;
    std::uint64_t end = 0;
  };

  base::Clock& clock;
  std::map<catalog::Topic, TopicState> topics;
  std::set<std::string> down;
  std::set<catalog::Topic> topics_down;
  std::uint64_t reads = 0;
};

}  // namespace hawthornwheel::testing
