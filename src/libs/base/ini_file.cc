#include "base/ini_file.h"

#include <fmt/format.h>
#include <glib.h>

#include <memory>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"

namespace hawthornwheel::base {
namespace {

struct KeyFileDeleter {
  void operator()(GKeyFile* file) const { g_key_file_unref(file); }
};
using KeyFilePointer = std::unique_ptr<GKeyFile, KeyFileDeleter>;

// Parses `text` with GLib; returns null if it is invalid. Each line of a file
// is parsed separately, so that a fault can name its line.
KeyFilePointer LoadLine(const std::string& text) {
  KeyFilePointer file(g_key_file_new());
  const bool loaded = g_key_file_load_from_data(
      file.get(), text.data(), text.size(), G_KEY_FILE_NONE, nullptr);
  return loaded ? std::move(file) : nullptr;
}

}  // namespace

std::string FormatFault(const IniFault& fault) {
  if (fault.key.empty()) {
    return fmt::format("{}:{}: {}", fault.file, fault.line, fault.reason);
  }
  return fmt::format("{}:{}: {}: {}", fault.file, fault.line, fault.key,
                     fault.reason);
}

IniFile IniFile::Parse(std::string name, std::string_view text) {
  IniFile file;
  file.name = std::move(name);
  int number = 0;
  for (const absl::string_view line :
       absl::StrSplit(absl::string_view(text.data(), text.size()), '\n')) {
    ++number;
    file.ReadLine(std::string(absl::StripAsciiWhitespace(line)), number);
  }
  return file;
}

void IniFile::AddFault(int line, std::string key, std::string reason) {
  this->faults.push_back({this->name, line, std::move(key), std::move(reason)});
}

void IniFile::ReadLine(std::string_view line, int number) {
  if (line.empty() || line.front() == '#') return;
  if (line.front() != '[') {
    this->ReadEntry(line, number);
    return;
  }
  const KeyFilePointer parsed = LoadLine(std::string(line) + "\n");
  gsize count = 0;
  gchar** names =
      parsed ? g_key_file_get_groups(parsed.get(), &count) : nullptr;
  if (count == 1) {
    this->current_group = names[0];
    if (!this->group_lines.contains(this->current_group)) {
      this->groups.push_back(this->current_group);
      this->group_lines[this->current_group] = number;
    }
  } else {
    this->AddFault(number, "", "is not a group header");
  }
  g_strfreev(names);
}

void IniFile::ReadEntry(std::string_view line, int number) {
  if (this->current_group.empty()) {
    this->AddFault(number, "", "appears before the first group header");
    return;
  }
  const KeyFilePointer parsed = LoadLine("[line]\n" + std::string(line) + "\n");
  gsize count = 0;
  gchar** keys =
      parsed ? g_key_file_get_keys(parsed.get(), "line", &count, nullptr)
             : nullptr;
  if (count != 1) {
    this->AddFault(number, "", "is not of the form key = value");
    g_strfreev(keys);
    return;
  }
  const std::string key = keys[0];
  g_strfreev(keys);
  gchar* value =
      g_key_file_get_string(parsed.get(), "line", key.c_str(), nullptr);
  const std::string text = value == nullptr ? "" : value;
  g_free(value);
  auto& group = this->entries[this->current_group];
  const auto [position, inserted] = group.emplace(key, Entry{text, number});
  if (!inserted) {
    this->AddFault(number, this->current_group + "." + key,
                   fmt::format("is a duplicate, first defined in line {}",
                               position->second.line));
  }
}

std::optional<std::string> IniFile::Find(const std::string& group,
                                         const std::string& key) const {
  const auto found = this->entries.find(group);
  if (found == this->entries.end()) return std::nullopt;
  const auto entry = found->second.find(key);
  if (entry == found->second.end()) return std::nullopt;
  return entry->second.value;
}

int IniFile::LineOf(const std::string& group, const std::string& key) const {
  const auto found = this->entries.find(group);
  if (found != this->entries.end()) {
    const auto entry = found->second.find(key);
    if (entry != found->second.end()) return entry->second.line;
  }
  const auto line = this->group_lines.find(group);
  return line == this->group_lines.end() ? 1 : line->second;
}

std::vector<std::string> IniFile::Keys(const std::string& group) const {
  std::vector<std::string> keys;
  const auto found = this->entries.find(group);
  if (found == this->entries.end()) return keys;
  for (const auto& [key, entry] : found->second) keys.push_back(key);
  return keys;
}

}  // namespace hawthornwheel::base
