#include "wire/json.h"

#include <google/protobuf/util/json_util.h>

#include "base/excerpt.h"

namespace hawthornwheel::wire {

namespace util = google::protobuf::util;

std::string ToJson(const google::protobuf::Message& message) {
  std::string text;
  util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  const util::Status status =
      util::MessageToJsonString(message, &text, options);
  return status.ok() ? text : "{}";
}

base::Result<bool> FromJson(std::string_view text,
                            google::protobuf::Message& message) {
  const util::Status status = util::JsonStringToMessage(
      google::protobuf::StringPiece(text.data(), text.size()), &message);
  if (status.ok()) return true;
  return base::Error(
      base::ErrorKind::kInvalidRequest,
      base::Excerpt({status.message().data(), status.message().size()}),
      "body");
}

}  // namespace hawthornwheel::wire
