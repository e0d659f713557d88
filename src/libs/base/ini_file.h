#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornwheel::base {

/// One fault in an INI file.
struct IniFault {
  std::string file;
  int line = 0;
  /// `group.key`, or empty when the fault concerns no key.
  std::string key;
  std::string reason;
};

/// Text of a fault as `file:line: key: reason`.
std::string FormatFault(const IniFault& fault);

/// Key-value pairs of an INI text with the line of each, for exact reports.
class IniFile {
 public:
  /// Reads `text`; `name` stands in the faults. Lines that GLib's key file
  /// syntax does not allow, and keys that stand twice, become faults.
  static IniFile Parse(std::string name, std::string_view text);

  /// Faults of syntax.
  const std::vector<IniFault>& Faults() const { return this->faults; }

  /// Value of a key; empty when it is absent.
  std::optional<std::string> Find(const std::string& group,
                                  const std::string& key) const;

  /// Line of a key, or of its group, or 1.
  int LineOf(const std::string& group, const std::string& key) const;

  /// Groups in the order of the file.
  const std::vector<std::string>& Groups() const { return this->groups; }

  /// Keys of a group in alphabetical order.
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
