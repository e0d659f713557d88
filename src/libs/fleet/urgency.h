#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace hawthornwheel::fleet {

/// Urgency class of a job, most urgent first.
enum class Urgency { kUrgent, kNormal, kBulk };

inline constexpr std::size_t kUrgencyCount = 3;

/// Names of the urgency classes in service files, in the order of Urgency.
inline constexpr std::array<std::string_view, kUrgencyCount> kUrgencyNames = {
    "urgent", "normal", "bulk"};

/// Returns the name of an urgency class.
constexpr std::string_view UrgencyName(Urgency urgency) {
  return kUrgencyNames[static_cast<std::size_t>(urgency)];
}

/// Returns the urgency class with the given name, or nothing when there is
/// none.
constexpr std::optional<Urgency> FindUrgency(std::string_view name) {
  for (std::size_t i = 0; i < kUrgencyCount; ++i) {
    if (kUrgencyNames[i] == name) return static_cast<Urgency>(i);
  }
  return std::nullopt;
}

}  // namespace hawthornwheel::fleet
