#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornwheel::base {

/// Describes one fault in an INI file.
struct IniFault {
  std::string file;
  int line = 0;
  /// `group.key`; empty if the fault does not concern a key.
  std::string key;
  std::string reason;
};

/// Formats a fault as `file:line: key: reason`, or as `file:line: reason` if it
/// has no key.
std::string FormatFault(const IniFault& fault);

/// Holds the key-value pairs of an INI file and their line numbers, which fault
/// reports refer to.
class IniFile {
 public:
  /// Parses `text`. Faults contain `name` as their file. Records a fault for
  /// each line that GLib's key file syntax does not allow and for each
  /// duplicate key.
  static IniFile Parse(std::string name, std::string_view text);

  /// Returns the syntax faults and duplicate keys.
  const std::vector<IniFault>& Faults() const { return this->faults; }

  /// Returns the value of a key, or nullopt if the key is absent.
  std::optional<std::string> Find(const std::string& group,
                                  const std::string& key) const;

  /// Returns the line of a key; the line of its group if the key is absent, or
  /// 1 if the group is absent too.
  int LineOf(const std::string& group, const std::string& key) const;

  /// Returns the groups in the order of the file.
  const std::vector<std::string>& Groups() const { return this->groups; }

  /// Returns the keys of a group in alphabetical order.
  std::vector<std::string> Keys(const std::string& group) const;

  const std::string& Name() const { return this->name; }

 private:
  struct Entry {
    std::string value;
    int line = 0;
  };

  void AddFault(int line, std::string key, std::string reason);
  void ReadLine(std::string_view line, int number);
  void ReadEntry(std::string_view line, int number);

  std::string name;
  std::string current_group;
  std::vector<std::string> groups;
  std::map<std::string, int> group_lines;
  std::map<std::string, std::map<std::string, Entry>> entries;
  std::vector<IniFault> faults;
};

}  // namespace hawthornwheel::base
