#pragma once

#include <google/protobuf/message.h>

#include <string>
#include <string_view>

#include "base/result.h"

namespace hawthornwheel::wire {

/// Returns the standard JSON mapping of a message on one line, with the field
/// names of the .proto file. Returns `{}` if the message cannot be mapped.
std::string ToJson(const google::protobuf::Message& message);

/// Fills `message` from JSON. Returns kInvalidRequest if the text is not a
/// valid mapping. Unknown fields are errors, so that misspelt names are
/// reported.
base::Result<bool> FromJson(std::string_view text,
                            google::protobuf::Message& message);

}  // namespace hawthornwheel::wire
