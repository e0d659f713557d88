#pragma once

#include <google/protobuf/message.h>

#include <string>
#include <string_view>

#include "base/result.h"

namespace hawthornwheel::wire {

/// Standard JSON mapping of a message, on one line.
std::string ToJson(const google::protobuf::Message& message);

/// Fills `message` from JSON. Returns the error when the text is not a valid
/// mapping; unknown fields are errors, so that a misspelt one is not lost.
base::Result<bool> FromJson(std::string_view text,
                            google::protobuf::Message& message);

}  // namespace hawthornwheel::wire
