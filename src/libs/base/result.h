#pragma once

#include <utility>
#include <variant>

#include "base/error.h"

namespace hawthornwheel::base {

/// Holds either a value or an error.
template <typename T>
class [[nodiscard]] Result {
 public:
  Result(T value) : content(std::move(value)) {}      // NOLINT: implicit
  Result(Error error) : content(std::move(error)) {}  // NOLINT: implicit

  bool HasValue() const { return std::holds_alternative<T>(this->content); }
  explicit operator bool() const { return this->HasValue(); }

  /// Requires HasValue().
  const T& Value() const& { return std::get<T>(this->content); }
  T&& Value() && { return std::get<T>(std::move(this->content)); }
  const T& operator*() const& { return this->Value(); }
  const T* operator->() const { return &this->Value(); }

  /// Requires !HasValue().
  const Error& GetError() const { return std::get<Error>(this->content); }

 private:
  std::variant<T, Error> content;
};

}  // namespace hawthornwheel::base
