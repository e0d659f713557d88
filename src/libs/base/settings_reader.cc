#include "base/settings_reader.h"

#include <fmt/format.h>

#include <array>
#include <cmath>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "base/address.h"

namespace hawthornwheel::base {
namespace {

struct Unit {
  std::string_view suffix;
  std::int64_t microseconds;
};

// "ms" precedes "s", because the first matching suffix is used.
constexpr std::array kUnits = {Unit{"ms", 1'000}, Unit{"min", 60'000'000},
                               Unit{"s", 1'000'000}};

std::string FormatDuration(Duration value) {
  for (const Unit& unit : {kUnits[1], kUnits[2], kUnits[0]}) {
    if (value.count() != 0 && value.count() % unit.microseconds == 0) {
      return fmt::format("{}{}", value.count() / unit.microseconds,
                         unit.suffix);
    }
  }
  return fmt::format("{}us", value.count());
}

// Parses a number, which may be a fraction, with a unit. Rounds to whole
// microseconds.
bool ParseDuration(std::string_view text, Duration* value) {
  for (const Unit& unit : kUnits) {
    if (!text.ends_with(unit.suffix)) continue;
    const std::string_view digits =
        text.substr(0, text.size() - unit.suffix.size());
    double count = 0;
    if (!absl::SimpleAtod(absl::string_view(digits.data(), digits.size()),
                          &count)) {
      return false;
    }
    constexpr double kMaxCount = 1e9;
    // A value that is not a number fails both comparisons.
    if (!(count >= 0 && count <= kMaxCount)) return false;
    *value =
        Duration(std::llround(count * static_cast<double>(unit.microseconds)));
    return true;
  }
  return false;
}

}  // namespace

SettingsReader::SettingsReader(const IniFile& file)
    : file(file), faults(file.Faults()) {}

std::string SettingsReader::ReadValue(const std::string& group,
                                      const std::string& key, Presence presence,
                                      bool* found) {
  this->known_keys.insert(group + "." + key);
  const auto value = this->file.Find(group, key);
  *found = value.has_value();
  if (!*found && presence == Presence::kRequired) {
    this->AddFault(group, key, "is missing");
  }
  return value.value_or("");
}

std::string SettingsReader::Text(const std::string& group,
                                 const std::string& key, Presence presence,
                                 std::string fallback) {
  bool found = false;
  std::string value = this->ReadValue(group, key, presence, &found);
  if (!found) return fallback;
  if (value.empty()) this->AddFault(group, key, "is empty");
  return value;
}

std::int64_t SettingsReader::Integer(const std::string& group,
                                     const std::string& key,
                                     std::int64_t fallback,
                                     std::int64_t minimum,
                                     std::int64_t maximum) {
  bool found = false;
  const std::string text =
      this->ReadValue(group, key, Presence::kOptional, &found);
  if (!found) return fallback;
  std::int64_t value = 0;
  if (!absl::SimpleAtoi(text, &value) || value < minimum || value > maximum) {
    this->AddFault(
        group, key,
        fmt::format("must be a whole number from {} to {}", minimum, maximum));
    return fallback;
  }
  return value;
}

double SettingsReader::Number(const std::string& group, const std::string& key,
                              double fallback, double minimum, double maximum) {
  bool found = false;
  const std::string text =
      this->ReadValue(group, key, Presence::kOptional, &found);
  if (!found) return fallback;
  double value = 0;
  if (!absl::SimpleAtod(text, &value) ||
      !(value >= minimum && value <= maximum)) {
    this->AddFault(
        group, key,
        fmt::format("must be a number from {} to {}", minimum, maximum));
    return fallback;
  }
  return value;
}

Duration SettingsReader::Time(const std::string& group, const std::string& key,
                              Duration fallback, Duration minimum,
                              Duration maximum) {
  bool found = false;
  const std::string text =
      this->ReadValue(group, key, Presence::kOptional, &found);
  if (!found) return fallback;
  Duration value{0};
  if (!ParseDuration(text, &value)) {
    this->AddFault(group, key,
                   "must be a number of at least 0 with a unit: ms, s or min");
    return fallback;
  }
  if (value < minimum || value > maximum) {
    this->AddFault(group, key,
                   fmt::format("must be from {} to {}", FormatDuration(minimum),
                               FormatDuration(maximum)));
    return fallback;
  }
  return value;
}

bool SettingsReader::Flag(const std::string& group, const std::string& key,
                          bool fallback) {
  bool found = false;
  const std::string text =
      this->ReadValue(group, key, Presence::kOptional, &found);
  if (!found) return fallback;
  if (text == "true") return true;
  if (text == "false") return false;
  this->AddFault(group, key, "must be true or false");
  return fallback;
}

std::vector<std::string> SettingsReader::List(const std::string& group,
                                              const std::string& key,
                                              Presence presence) {
  bool found = false;
  const std::string text = this->ReadValue(group, key, presence, &found);
  std::vector<std::string> values;
  if (!found) return values;
  for (absl::string_view part : absl::StrSplit(text, ',')) {
    const absl::string_view value = absl::StripAsciiWhitespace(part);
    if (value.empty()) {
      this->AddFault(group, key, "has an empty value between commas");
      continue;
    }
    values.emplace_back(value);
  }
  return values;
}

std::string SettingsReader::Address(const std::string& group,
                                    const std::string& key, Presence presence,
                                    bool allow_port_zero) {
  bool found = false;
  std::string text = this->ReadValue(group, key, presence, &found);
  if (!found) return "";
  const auto address = ParseAddress(text);
  if (!address) {
    this->AddFault(group, key, "must be an IP address and a port, as IP:port");
  } else if (address->port == 0 && !allow_port_zero) {
    this->AddFault(group, key, "must name a port other than 0");
  }
  return text;
}

void SettingsReader::AddFault(const std::string& group, const std::string& key,
                              std::string reason) {
  this->faults.push_back({this->file.Name(), this->file.LineOf(group, key),
                          group + "." + key, std::move(reason)});
}

std::vector<IniFault> SettingsReader::Finish() {
  for (const std::string& group : this->file.Groups()) {
    for (const std::string& key : this->file.Keys(group)) {
      if (this->known_keys.contains(fmt::format("{}.{}", group, key))) continue;
      this->AddFault(group, key, "is not a known key");
    }
  }
  return this->faults;
}

}  // namespace hawthornwheel::base
